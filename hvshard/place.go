package hvshard

import (
	"fmt"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

const (
	// minRetryDelay and maxRetryDelay bound the exponential wait of a task for
	// which no host had free resources. Urgent tasks are retried more often, as
	// they must start within 5 s.
	minRetryDelay       = 200 * time.Millisecond
	maxRetryDelay       = 5 * time.Second
	maxRetryDelayUrgent = 400 * time.Millisecond
)

// queuePlacements decides on due tasks and queues the resulting operations for
// the next record.
func (o *Owner) queuePlacements(now time.Time) {
	due := o.duePlacements(now)
	planned := o.plannedUse()
	for _, e := range due {
		op, ok := o.decide(e, o.waits[e.Task.ID], planned, now)
		switch {
		case !ok:
		case !o.enqueue(op):
			if op.Op == hvtask.OpPlace {
				o.Placer.Release(e.Task, op.Host)
			}
		case op.Op == hvtask.OpPlace:
			planned[e.Task.Team] = planned[e.Task.Team].Add(e.Task.Need)
		}
	}
}

// plannedUse sums by team the quota that queued operations will use or give
// away; the state does not reflect them yet.
func (o *Owner) plannedUse() map[string]hv.Resources {
	sums := make(map[string]hv.Resources)
	for _, t := range o.queue {
		switch t.op.Op {
		case hvtask.OpPlace:
			if e, ok := o.state.Lookup(t.op.TaskID); ok {
				sums[e.Task.Team] = sums[e.Task.Team].Add(e.Task.Need)
			}
		case hvtask.OpGiveQuota:
			more := t.op.Amount.Sub(o.state.QuotaGiven(t.op.Team, t.op.Shard))
			sums[t.op.Team] = sums[t.op.Team].Add(more)
		}
	}
	return sums
}

// duePlacements returns the next queued tasks that are due, the most urgent
// first.
func (o *Owner) duePlacements(now time.Time) []hvtask.Entry {
	var list []hvtask.Entry
	o.state.EachQueued(func(e *hvtask.Entry) bool {
		if o.isDue(e, now) {
			list = append(list, *e)
		}
		return len(list) < maxPlacementsPerFlush
	})
	return list
}

func (o *Owner) isDue(e *hvtask.Entry, now time.Time) bool {
	w := o.waits[e.Task.ID]
	if w == nil || w.attempt != e.Number {
		backoff := failureBackoff(e.Failures)
		w = &wait{attempt: e.Number, next: now.Add(backoff)}
		if backoff > 0 {
			w.reason = fmt.Sprintf("backoff of %s after %d failed attempts", backoff, e.Failures)
		}
		o.waits[e.Task.ID] = w
	}
	notBefore := o.placeAfter
	if e.Task.Urgent {
		notBefore = o.placeUrgentAfter
	}
	return !now.Before(w.next) && !now.Before(notBefore)
}

// failureBackoff returns the wait before the next attempt of a task.
func failureBackoff(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(minFailureBackoff<<min(failures-1, 10), maxFailureBackoff)
}

// decide returns the operation for a queued task, or false if the task has to
// wait.
func (o *Owner) decide(e hvtask.Entry, w *wait, planned map[string]hv.Resources, now time.Time) (hvtask.Op, bool) {
	t := e.Task
	if reason, faulty := o.faulty(e); faulty {
		return hvtask.Op{Op: hvtask.OpDrop, TaskID: t.ID, Number: e.Number, State: hvtask.Failed, Reason: reason}, true
	}
	if limit, ok := o.teamQuota(t.Team); ok {
		if !t.Need.Fits(limit) {
			return o.waitUnplaceable(e, w, "the task needs more than the quota of team "+t.Team, now)
		}
		used := o.state.TeamUsage(t.Team).Add(planned[t.Team]).Add(t.Need)
		if share := o.state.QuotaShare(o.config.Shard, t.Team, limit); !used.Fits(share) {
			o.requestQuota(t.Team, shortage(used, share))
			op, ok := o.retryLater(e, w, "the quota of team "+t.Team+" is in use", now)
			w.forQuota = true
			return op, ok
		}
	}
	name, err := o.Placer.Place(t, e.FailedHosts...)
	switch {
	case err != nil && o.noSides(now):
		return o.retryLater(e, w, "no heartbeats received from any host", now)
	case err != nil && hv.KindOf(err) == hv.NotFound:
		return o.waitUnplaceable(e, w, "no host can hold the task", now)
	case err != nil && hv.KindOf(err) == hv.Full:
		return o.retryLater(e, w, "no host has enough free resources now", now)
	case err != nil:
		return o.retryLater(e, w, err.Error(), now)
	}
	if o.silent(name, now) || o.hosts[name].leaving {
		o.Placer.Release(t, name)
		return o.retryLater(e, w, "host "+name+" sends no heartbeats or is leaving", now)
	}
	w.unplaceableSince = time.Time{}
	return hvtask.Op{Op: hvtask.OpPlace, TaskID: t.ID, Number: e.Number + 1, Host: name, SideIncarnation: o.hosts[name].sideIncarnation}, true
}

// faulty reports whether the failed attempts of a job are the job's own fault,
// and the reason.
func (o *Owner) faulty(e hvtask.Entry) (string, bool) {
	if e.Task.Kind != hv.Job || e.Failures == 0 {
		return "", false
	}
	if e.Failures >= maxFailures {
		return fmt.Sprintf("%d attempts failed; the last: %s", e.Failures, e.Reason), true
	}
	if len(e.FailedHosts) >= faultyJobHosts && (o.Health == nil || o.Health.Faulty(e.Task.ID)) {
		return fmt.Sprintf("it failed on %d different hosts; the last: %s", len(e.FailedHosts), e.Reason), true
	}
	return "", false
}

// waitUnplaceable keeps a task that fits on no host queued for the grace
// period, and then ends it as impossible.
func (o *Owner) waitUnplaceable(e hvtask.Entry, w *wait, reason string, now time.Time) (hvtask.Op, bool) {
	if w.unplaceableSince.IsZero() {
		w.unplaceableSince = now
	}
	if now.Sub(w.unplaceableSince) >= impossibleGracePeriod {
		return hvtask.Op{Op: hvtask.OpDrop, TaskID: e.Task.ID, Number: e.Number, State: hvtask.Impossible, Reason: reason}, true
	}
	since := w.unplaceableSince
	op, ok := o.retryLater(e, w, reason, now)
	w.unplaceableSince = since
	return op, ok
}

// retryLater makes a task wait with exponential backoff.
func (o *Owner) retryLater(e hvtask.Entry, w *wait, reason string, now time.Time) (hvtask.Op, bool) {
	maxDelay := maxRetryDelay
	if e.Task.Urgent {
		maxDelay = maxRetryDelayUrgent
	}
	w.delay = min(max(2*w.delay, minRetryDelay), maxDelay)
	w.next, w.reason, w.unplaceableSince, w.forQuota = now.Add(w.delay), reason, time.Time{}, false
	return hvtask.Op{}, false
}
