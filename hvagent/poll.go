package hvagent

import (
	"context"
	"maps"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhost"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// poll compares the ledger with the attempts that the worker lists.
func (t *tasks) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l := t.ledger.Load()
	// The ledger is read before the worker, so that an attempt that starts in
	// between is not mistaken for a missing one.
	before := l.Live()
	listed, err := t.worker.Tasks(ctx)
	if err != nil {
		logWarn(t.logger, "msg", "listing attempts at the worker failed", "err", err)
		return
	}
	byAttempt := make(map[hv.Attempt]hv.RunningAttempt, len(listed))
	var unheld []hv.RunningAttempt
	for _, r := range listed {
		byAttempt[r.Attempt] = r
		if !t.applyListed(l, r) {
			unheld = append(unheld, r)
		}
	}
	for _, r := range before {
		if _, ok := byAttempt[r.Attempt]; !ok && !t.isStopping(r.Attempt) {
			t.recordEnd(hvhost.Report{Attempt: r.Attempt, Event: hvwire.EventLapsed, Reason: "the worker no longer runs the attempt"})
		}
	}
	forEach(unheld, func(r hv.RunningAttempt) { t.removeUnheld(ctx, l, r) })
	t.prune(l)
}

// prune removes the state of attempts that the ledger no longer holds.
func (t *tasks) prune(l *hvhost.Ledger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone := func(a hv.Attempt) bool { _, held := l.Find(a); return !held }
	maps.DeleteFunc(t.workerLeaseEnds, func(a hv.Attempt, _ time.Time) bool { return gone(a) })
	maps.DeleteFunc(t.checkpoints, func(a hv.Attempt, _ string) bool { return gone(a) })
	maps.DeleteFunc(t.uncertainStarts, func(a hv.Attempt, _ time.Time) bool { return gone(a) })
}

// applyListed applies the state that the worker lists for a held attempt. It
// returns false for an attempt that is not held.
func (t *tasks) applyListed(l *hvhost.Ledger, r hv.RunningAttempt) bool {
	if _, held := l.Find(r.Attempt); !held {
		return false
	}
	if r.State == hv.StateRunning {
		if r.Checkpoint != "" {
			t.setCheckpoint(r.Attempt, r.Checkpoint)
		}
		return true
	}
	if !t.isStopping(r.Attempt) {
		t.recordEnd(hvhost.Report{Attempt: r.Attempt, Event: r.State, Reason: r.Reason, Checkpoint: r.Checkpoint})
	}
	return true
}

func (t *tasks) isStopping(a hv.Attempt) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.stopping[a]
	return ok
}

// removeUnheld removes an attempt that the ledger does not hold from the worker.
// A running attempt is removed at once, an ended one only after its report has
// been acknowledged, so that a side that restarts before still finds it.
func (t *tasks) removeUnheld(ctx context.Context, l *hvhost.Ledger, r hv.RunningAttempt) {
	release, err := t.locks.lock(ctx, r.Attempt)
	if err != nil {
		return
	}
	defer release()
	if _, held := l.Find(r.Attempt); held {
		return
	}
	if r.State == hv.StateRunning {
		logWarn(t.logger, "msg", "stopping attempt that the ledger does not hold", "attempt", r.Attempt)
	} else if awaitsAck(l, r.Attempt) {
		return
	}
	if err := t.worker.Stop(ctx, r.Attempt); err != nil {
		logWarn(t.logger, "msg", "removing attempt from the worker failed", "attempt", r.Attempt, "err", err)
	}
}

// awaitsAck reports whether the report about an attempt has not been
// acknowledged yet.
func awaitsAck(l *hvhost.Ledger, a hv.Attempt) bool {
	for _, e := range l.Reports(maxReports) {
		if e.Attempt == a {
			return true
		}
	}
	return false
}
