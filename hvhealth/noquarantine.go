package hvhealth

import (
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	hv "hibiscusvane.example/hibiscusvane"
)

// NoQuarantine is the baseline: every host is usable, and a task that failed on
// three hosts is faulty.
type NoQuarantine struct {
	mu    sync.Mutex
	tasks *lru.Cache[string, map[string]bool]
}

var _ hv.Health = (*NoQuarantine)(nil)

// NewNoQuarantine returns the baseline without records.
func NewNoQuarantine() *NoQuarantine {
	return &NoQuarantine{tasks: newCache[map[string]bool](maxTasks, nil)}
}

// Record implements hibiscusvane.Health.
func (n *NoQuarantine) Record(_ time.Time, host, _, task string, ok bool) {
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
func (n *NoQuarantine) Usable(time.Time, string) bool { return true }

// Faulty implements hibiscusvane.Health.
func (n *NoQuarantine) Faulty(task string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	hosts, _ := n.tasks.Peek(task)
	return len(hosts) >= minHealthyFailures
}
