// Package hvretry limits the retries of requests that ended as not-run.
package hvretry

import "sync"

const (
	// depositSize is what one request adds to the budget, in thousandths of a
	// retry. It limits the load to 1.1 dispatches per request when every
	// dispatch fails.
	depositSize = 100
	// retryCost is the cost of one retry, in thousandths.
	retryCost = 1000
	// maxBalance bounds the budget that accumulates while no retries are needed,
	// in thousandths of a retry.
	maxBalance = 10 * retryCost
	// maxServices bounds the number of services with a budget of their own.
	// Further services share one budget.
	maxServices = 1024
)

// Budget is a retry budget per service: requests make deposits and retries make
// withdrawals. It is safe for concurrent use.
type Budget struct {
	mu       sync.Mutex
	balances map[string]int
}

// New returns an empty budget, which permits no retry before requests have made
// deposits.
func New() *Budget { return &Budget{balances: map[string]int{}} }

// Deposit adds the share of one request to the budget. It must be called once per
// request, at its first dispatch.
func (b *Budget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.account(service)
	b.balances[s] = min(b.balances[s]+depositSize, maxBalance)
}

// TryWithdraw reports whether a retry may be sent and, if so, takes its cost from
// the budget.
func (b *Budget) TryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.account(service)
	if b.balances[s] < retryCost {
		return false
	}
	b.balances[s] -= retryCost
	return true
}

func (b *Budget) account(service string) string {
	if _, ok := b.balances[service]; ok || len(b.balances) < maxServices {
		return service
	}
	return ""
}
