package hvhealth

import "time"

const (
	// minHealthyFailures is the number of healthy hosts on which a task must
	// fail to be considered faulty.
	minHealthyFailures = 3
	// minUnconfirmedFailures is the number of hosts with odds up to
	// healthyLogOdds on which a task must fail to be considered faulty if no
	// success of another task has confirmed that they are healthy.
	minUnconfirmedFailures = 6
	// recentSuccessWindow is how long a host counts as probably healthy after a
	// success. A host rarely breaks by chance within this time: 9 of 790 hosts
	// fail in a day.
	recentSuccessWindow = time.Minute
)

// Faulty implements hibiscusvane.Health.
func (h *Health) Faulty(task string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	ts, ok := h.tasks.Peek(task)
	return ok && h.taskFaulty(ts)
}

// taskFaulty reports whether a task failed on enough healthy hosts. A host is
// proven healthy if another task has succeeded there since the failure. A host
// that completed another task shortly before is probably healthy; as a whole
// rack can break at once, such hosts count only if they are in two racks or
// more.
func (h *Health) taskFaulty(ts *taskState) bool {
	if ts.succeeded {
		return false
	}
	proven, probable, unsuspected := 0, 0, 0
	racks := map[string]bool{}
	for name, f := range ts.failures {
		hs, ok := h.hosts.Peek(name)
		if !ok || hs.quarantine.active || hs.logOdds > healthyLogOdds {
			continue
		}
		unsuspected++
		racks[hs.rack] = true
		switch {
		case hs.lastSuccess.After(f.time):
			proven++
		case f.time.Sub(f.lastSuccess) < recentSuccessWindow:
			probable++
		}
	}
	return proven >= minHealthyFailures || (proven+probable >= minHealthyFailures && len(racks) > 1) || unsuspected >= minUnconfirmedFailures
}
