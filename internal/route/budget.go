package route

import "sync"

const (
	// budgetUnit is the cost of one retry; requests earn their share of it in
	// per cent.
	budgetUnit = 100
	// budgetMax bounds the retries saved up.
	budgetMax = 20 * budgetUnit
)

// retryBudget bounds retries to a share of the requests, so that they don't
// multiply the load on servers in trouble. The zero value has no retries spent.
type retryBudget struct {
	mu sync.Mutex
	// spent counts from a full budget down.
	spent int
}

// earn adds one request's share, in per cent.
func (b *retryBudget) earn(share int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-share)
}

// spend takes one retry; it reports false if there is none.
func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+budgetUnit > budgetMax {
		return false
	}
	b.spent += budgetUnit
	return true
}
