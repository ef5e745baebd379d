// Package hvretry limits the retries of requests that were not run.
package hvretry

import "sync"

const (
	// share is what one request adds to the budget in thousandths of a retry.
	// It bounds the amplification to 1.1 when every dispatch fails.
	share = 100
	// unit is one retry.
	unit = 1000
	// burst bounds the budget saved in quiet times, in thousandths.
	burst = 10 * unit
	// maxServices bounds the number of budgets. Further services share one.
	maxServices = 1024
)

// Budget counts requests and the retries that they pay for.
type Budget struct {
	mu   sync.Mutex
	left map[string]int
}

// New returns an empty budget: retries must be earned by requests first.
func New() *Budget { return &Budget{left: map[string]int{}} }

// Deposit records a first dispatch.
func (b *Budget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slot(service)
	b.left[s] = min(b.left[s]+share, burst)
}

// TryWithdraw reports whether a retry may be sent, and counts it.
func (b *Budget) TryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.slot(service)
	if b.left[s] < unit {
		return false
	}
	b.left[s] -= unit
	return true
}

func (b *Budget) slot(service string) string {
	if _, ok := b.left[service]; ok || len(b.left) < maxServices {
		return service
	}
	return ""
}
