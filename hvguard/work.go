package hvguard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// attemptWork is the work of an attempt since its last checkpoint, in
// core-seconds.
type attemptWork struct {
	checkpoint string
	work       float64
	lastSeen   time.Time
}

// workTracker tracks the work that each attempt of a host would lose if it were
// evicted.
type workTracker map[hv.Attempt]*attemptWork

func (w workTracker) update(now time.Time, tasks []hv.RunningAttempt) {
	for _, t := range tasks {
		a := w[t.Attempt]
		if a == nil {
			w[t.Attempt] = &attemptWork{checkpoint: t.Checkpoint, lastSeen: now}
			continue
		}
		rate := float64(t.Committed.Processors) / 1000 * float64(t.Share) / fullShare
		a.work += rate * now.Sub(a.lastSeen).Seconds()
		if t.Checkpoint != a.checkpoint {
			a.checkpoint, a.work = t.Checkpoint, 0
		}
		a.lastSeen = now
	}
	for id, a := range w {
		if a.lastSeen != now {
			delete(w, id)
		}
	}
}

// leastLoss returns the attempt that loses the least work. Attempts of tasks
// with Once set come last, as they can only be evicted if their checkpoint
// succeeds.
func (w workTracker) leastLoss(tasks []hv.RunningAttempt) (hv.Attempt, bool) {
	var best *hv.RunningAttempt
	for i := range tasks {
		t := &tasks[i]
		if preemptible(*t) && (best == nil || w.losesLess(t, best)) {
			best = t
		}
	}
	if best == nil {
		return hv.Attempt{}, false
	}
	return best.Attempt, true
}

func (w workTracker) losesLess(t, u *hv.RunningAttempt) bool {
	if t.Task.Once != u.Task.Once {
		return u.Task.Once
	}
	return w[t.Attempt].work < w[u.Attempt].work
}
