package clock

import (
	"context"
	"time"
)

// Sleep waits for d; it reports false if ctx has ended by then.
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
