package hvhealth

import "time"

const (
	// faultyHosts is the number of healthy hosts on which a task must fail to
	// be at fault itself.
	faultyHosts = 3
	// surelyFaultyHosts is the number of hosts that are not suspect on which a
	// task must fail when no host has shown since that it is healthy.
	surelyFaultyHosts = 6
	// recentSuccess is the time in which a host hardly ever breaks by chance:
	// 9 of 790 hosts fail in a day.
	recentSuccess = time.Minute
)

// Faulty implements hibiscusvane.Health.
func (h *Health) Faulty(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	j, ok := h.tasks.Peek(task)
	return ok && h.convinced(j)
}

// convinced reports whether a task failed on enough healthy hosts. A host is
// proven healthy if another task has succeeded there since the failure. A host
// that completed another task shortly before is probably healthy; as a rack
// can break at once, such hosts count only from two racks or more.
func (h *Health) convinced(j *job) bool {
	if j.succeeded {
		return false
	}
	proven, probable, likely := 0, 0, 0
	racks := map[string]bool{}
	for name, f := range j.failed {
		w, ok := h.hosts.Peek(name)
		if !ok || w.probe.active || w.odds > clearOdds {
			continue
		}
		likely++
		racks[w.rack] = true
		switch {
		case w.succeeded.After(f.time):
			proven++
		case f.time.Sub(f.success) < recentSuccess:
			probable++
		}
	}
	return proven >= faultyHosts || (proven+probable >= faultyHosts && len(racks) > 1) || likely >= surelyFaultyHosts
}
