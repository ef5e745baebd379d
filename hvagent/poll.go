package hvagent

import (
	"context"
	"maps"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhost"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// poll compares the ledger with what the worker lists.
func (t *tasks) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l := t.ledger.Load()
	// The ledger is read first, so that an attempt that starts meanwhile is
	// not taken for a missing one.
	before := l.Live()
	listed, err := t.worker.Tasks(ctx)
	if err != nil {
		logWarn(t.logger, "msg", "the worker was not read", "err", err)
		return
	}
	byAttempt := make(map[hv.Attempt]hv.RunningAttempt, len(listed))
	var foreign []hv.RunningAttempt
	for _, r := range listed {
		byAttempt[r.Attempt] = r
		if !t.applyListed(l, r) {
			foreign = append(foreign, r)
		}
	}
	for _, r := range before {
		if _, ok := byAttempt[r.Attempt]; !ok && !t.isStopping(r.Attempt) {
			t.recordEnd(hvhost.Report{Attempt: r.Attempt, Event: hvwire.EventLapsed, Reason: "the worker no longer runs the attempt"})
		}
	}
	forEach(foreign, func(r hv.RunningAttempt) { t.removeUnheld(ctx, l, r) })
	t.prune(l)
}

// prune forgets attempts that are no longer held.
func (t *tasks) prune(l *hvhost.Ledger) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone := func(a hv.Attempt) bool { _, held := l.Find(a); return !held }
	maps.DeleteFunc(t.workerLeaseEnds, func(a hv.Attempt, _ time.Time) bool { return gone(a) })
	maps.DeleteFunc(t.checkpoints, func(a hv.Attempt, _ string) bool { return gone(a) })
	maps.DeleteFunc(t.uncertainStarts, func(a hv.Attempt, _ time.Time) bool { return gone(a) })
}

// applyListed takes what the worker lists of a held attempt. It reports false for
// one that is not held.
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

// removeUnheld takes an attempt off the worker that the ledger does not hold: one
// that still runs at once, and one that has ended when its report has been
// acknowledged, so that a restarted side finds it until then.
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
		logWarn(t.logger, "msg", "an attempt that is not held is stopped", "attempt", r.Attempt)
	} else if awaitsAck(l, r.Attempt) {
		return
	}
	if err := t.worker.Stop(ctx, r.Attempt); err != nil {
		logWarn(t.logger, "msg", "an attempt was not removed", "attempt", r.Attempt, "err", err)
	}
}

// awaitsAck reports whether an end still waits for its acknowledgement.
func awaitsAck(l *hvhost.Ledger, a hv.Attempt) bool {
	for _, e := range l.Reports(maxReports) {
		if e.Attempt == a {
			return true
		}
	}
	return false
}
