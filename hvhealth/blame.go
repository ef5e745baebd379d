package hvhealth

import "time"

const (
	// faultyHosts is the number of healthy hosts on which a task must fail to
	// be at fault itself.
	faultyHosts = 3
	// surelyFaultyHosts is the number of hosts that are not suspect on which a
	// task must fail when no host has shown since that it is healthy.
	surelyFaultyHosts = 6
)

// Faulty implements hibiscusvane.Health. A host counts as healthy if another
// task has succeeded there since the failure: a host that has just broken
// looks healthy by its older results.
func (h *Health) Faulty(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	j, ok := h.tasks.Peek(task)
	return ok && h.convinced(j)
}

func (h *Health) convinced(j *job) bool {
	if j.succeeded {
		return false
	}
	proven, likely := 0, 0
	for name, failed := range j.failed {
		w, ok := h.hosts.Peek(name)
		if !ok || w.probe.active || w.odds > clearOdds {
			continue
		}
		likely++
		if healthySince(w, failed) {
			proven++
		}
	}
	return proven >= faultyHosts || likely >= surelyFaultyHosts
}

func healthySince(w *worker, failed time.Time) bool { return w.succeeded.After(failed) }
