package route

import "sync"

const (
	// retryCost is the credit that one retry costs. Each request deposits a
	// percentage of it.
	retryCost = 100
	// maxRetryCredit limits the credit that can accumulate.
	maxRetryCredit = 20 * retryCost
)

// retryBudget limits retries to a percentage of the requests, so that retries
// don't multiply the load on overloaded or failing servers. The zero value is a
// full budget. It is safe for concurrent use.
type retryBudget struct {
	mu sync.Mutex
	// spent is the credit used, 0 for a full budget.
	spent int
}

// deposit adds the credit of one request, as a percentage of retryCost.
func (b *retryBudget) deposit(share int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.spent = max(0, b.spent-share)
}

// withdraw takes the credit for one retry and reports whether there was enough.
func (b *retryBudget) withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.spent+retryCost > maxRetryCredit {
		return false
	}
	b.spent += retryCost
	return true
}
