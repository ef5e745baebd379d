package hvguard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// account is the work of an attempt since its last checkpoint, in
// core-seconds.
type account struct {
	checkpoint string
	work       float64
	seen       time.Time
}

// ledger counts the work that each attempt of a host would lose.
type ledger map[hv.Attempt]*account

func (l ledger) update(now time.Time, tasks []hv.RunningAttempt) {
	for _, t := range tasks {
		a := l[t.Attempt]
		if a == nil {
			l[t.Attempt] = &account{checkpoint: t.Checkpoint, seen: now}
			continue
		}
		rate := float64(t.Committed.Processors) / 1000 * float64(t.Share) / fullShare
		a.work += rate * now.Sub(a.seen).Seconds()
		if t.Checkpoint != a.checkpoint {
			a.checkpoint, a.work = t.Checkpoint, 0
		}
		a.seen = now
	}
	for id, a := range l {
		if a.seen != now {
			delete(l, id)
		}
	}
}

// cheapest returns the attempt that loses the least work. An attempt of a once
// task comes last, as it can only be evicted if its checkpoint succeeds.
func (l ledger) cheapest(tasks []hv.RunningAttempt) (hv.Attempt, bool) {
	var best *hv.RunningAttempt
	for i := range tasks {
		t := &tasks[i]
		if yields(*t) && (best == nil || l.cheaper(t, best)) {
			best = t
		}
	}
	if best == nil {
		return hv.Attempt{}, false
	}
	return best.Attempt, true
}

func (l ledger) cheaper(t, u *hv.RunningAttempt) bool {
	if t.Task.Once != u.Task.Once {
		return u.Task.Once
	}
	return l[t.Attempt].work < l[u.Attempt].work
}
