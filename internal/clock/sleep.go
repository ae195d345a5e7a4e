package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx is done, whichever comes first. It reports
// whether it waited for d with ctx not done at the end.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
