package hvroute

import (
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// RoundRobin is the baseline picker: it takes the targets of a service in turn.
type RoundRobin struct {
	mu   sync.Mutex
	next map[string]int
}

var _ hv.Picker = (*RoundRobin)(nil)

// NewRoundRobin returns a round robin picker.
func NewRoundRobin() *RoundRobin { return &RoundRobin{next: map[string]int{}} }

// Pick implements hibiscusvane.Picker.
func (r *RoundRobin) Pick(service string, targets []hv.UpstreamView) int {
	if len(targets) == 0 {
		return -1
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.next[service]; !ok && len(r.next) >= maxServices {
		service = ""
	}
	n := r.next[service]
	r.next[service] = n + 1
	return n % len(targets)
}

// Observe implements hibiscusvane.Picker. The baseline ignores results.
func (r *RoundRobin) Observe(string, string, time.Duration, hv.DispatchResult) {}
