package hvhealth

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	hv "hibiscusvane.example/hibiscusvane"
)

// None is the baseline: every host is usable, and a task that failed on three
// hosts is at fault.
type None struct {
	mu    sync.Mutex
	tasks *lru.Cache[string, map[string]bool]
}

var _ hv.Health = (*None)(nil)

// NewNone returns the baseline without records.
func NewNone() *None { return &None{tasks: newCache[map[string]bool](tasksKept, nil)} }

// Record implements hibiscusvane.Health.
func (n *None) Record(_ time.Time, host, _, task string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts, found := n.tasks.Get(task)
	if !found {
		hosts = map[string]bool{}
		n.tasks.Add(task, hosts)
	}
	if !ok && len(hosts) < maxFailedHosts {
		hosts[host] = true
	}
}

// Usable implements hibiscusvane.Health.
func (n *None) Usable(time.Time, string) bool { return true }

// Faulty implements hibiscusvane.Health.
func (n *None) Faulty(task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts, _ := n.tasks.Peek(task)
	return len(hosts) >= faultyHosts
}
