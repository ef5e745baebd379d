package hvshard

import (
	"fmt"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

const (
	// firstRetry and maxRetry bound the wait of a task for which no host had
	// room. Urgent tasks are tried more often, as they start within 5 s.
	firstRetry     = 200 * time.Millisecond
	maxRetry       = 5 * time.Second
	maxRetryUrgent = 400 * time.Millisecond
)

// place decides placements for the next record.
func (o *Owner) place(now time.Time) {
	due := o.due(now)
	planned := o.planned()
	for _, e := range due {
		op, ok := o.decide(e, o.waits[e.Task.ID], planned, now)
		switch {
		case !ok:
		case !o.emit(op):
			if op.Op == hvtask.OpPlace {
				o.Placer.Release(e.Task, op.Host)
			}
		case op.Op == hvtask.OpPlace:
			planned[e.Task.Team] = planned[e.Task.Team].Add(e.Task.Need)
		}
	}
}

// planned sums by team the quota that waiting operations will use or give
// away; the state does not reflect them yet.
func (o *Owner) planned() map[string]hv.Resources {
	sums := make(map[string]hv.Resources)
	for _, t := range o.waiting {
		switch t.op.Op {
		case hvtask.OpPlace:
			if e, ok := o.state.Lookup(t.op.Task); ok {
				sums[e.Task.Team] = sums[e.Task.Team].Add(e.Task.Need)
			}
		case hvtask.OpGiveQuota:
			more := t.op.Amount.Sub(o.state.QuotaGiven(t.op.Team, t.op.Shard))
			sums[t.op.Team] = sums[t.op.Team].Add(more)
		}
	}
	return sums
}

// due returns the next queued tasks whose wait is over, the most pressing first.
func (o *Owner) due(now time.Time) []hvtask.Entry {
	var due []hvtask.Entry
	o.state.EachQueued(func(e *hvtask.Entry) bool {
		if o.isDue(e, now) {
			due = append(due, *e)
		}
		return len(due) < placesPerFlush
	})
	return due
}

func (o *Owner) isDue(e *hvtask.Entry, now time.Time) bool {
	w := o.waits[e.Task.ID]
	if w == nil || w.number != e.Number {
		pause := pauseAfter(e.Failures)
		w = &wait{number: e.Number, next: now.Add(pause)}
		if pause > 0 {
			w.reason = fmt.Sprintf("a pause of %s after %d failures", pause, e.Failures)
		}
		o.waits[e.Task.ID] = w
	}
	calm := o.calm
	if e.Task.Urgent {
		calm = o.calmUrgent
	}
	return !now.Before(w.next) && !now.Before(calm)
}

// pauseAfter is the pause before the next attempt of a task.
func pauseAfter(failures int) time.Duration {
	if failures == 0 {
		return 0
	}
	return min(firstPause<<min(failures-1, 10), maxPause)
}

// decide returns what to do with a queued task now, or false if it has to wait.
func (o *Owner) decide(e hvtask.Entry, w *wait, planned map[string]hv.Resources, now time.Time) (hvtask.Op, bool) {
	t := e.Task
	if reason, faulty := o.faulty(e); faulty {
		return hvtask.Op{Op: hvtask.OpDrop, Task: t.ID, Number: e.Number, State: hvtask.Failed, Reason: reason}, true
	}
	if limit, ok := o.quota(t.Team); ok {
		if !t.Need.Fits(limit) {
			return o.misfit(e, w, "the task needs more than the quota of team "+t.Team, now)
		}
		used := o.state.TeamUsage(t.Team).Add(planned[t.Team]).Add(t.Need)
		if share := o.state.QuotaShare(o.config.Shard, t.Team, limit); !used.Fits(share) {
			o.ask(t.Team, missing(used, share))
			op, ok := o.later(e, w, "the quota of team "+t.Team+" is in use", now)
			w.quota = true
			return op, ok
		}
	}
	name, err := o.Placer.Place(t, e.FailedHosts...)
	switch {
	case err != nil && o.blind(now):
		return o.later(e, w, "no host is heard", now)
	case err != nil && hv.KindOf(err) == hv.NotFound:
		return o.misfit(e, w, "no host can hold the task", now)
	case err != nil && hv.KindOf(err) == hv.Full:
		return o.later(e, w, "no host has room now", now)
	case err != nil:
		return o.later(e, w, err.Error(), now)
	}
	if o.silent(name, now) || o.hosts[name].leaving {
		o.Placer.Release(t, name)
		return o.later(e, w, "host "+name+" is not heard", now)
	}
	w.misfit = time.Time{}
	return hvtask.Op{Op: hvtask.OpPlace, Task: t.ID, Number: e.Number + 1, Host: name, SideIncarnation: o.hosts[name].side}, true
}

// faulty reports whether a job itself is at fault for its failed attempts.
func (o *Owner) faulty(e hvtask.Entry) (string, bool) {
	if e.Task.Kind != hv.Job || e.Failures == 0 {
		return "", false
	}
	if e.Failures >= maxFailures {
		return fmt.Sprintf("%d attempts failed; the last: %s", e.Failures, e.Reason), true
	}
	if len(e.FailedHosts) >= faultyHosts && (o.Health == nil || o.Health.Faulty(e.Task.ID)) {
		return fmt.Sprintf("it failed on %d different hosts; the last: %s", len(e.FailedHosts), e.Reason), true
	}
	return "", false
}

// misfit lets a task that can never run wait for the grace period, and then
// ends it.
func (o *Owner) misfit(e hvtask.Entry, w *wait, reason string, now time.Time) (hvtask.Op, bool) {
	if w.misfit.IsZero() {
		w.misfit = now
	}
	if now.Sub(w.misfit) >= grace {
		return hvtask.Op{Op: hvtask.OpDrop, Task: e.Task.ID, Number: e.Number, State: hvtask.Impossible, Reason: reason}, true
	}
	misfit := w.misfit
	op, ok := o.later(e, w, reason, now)
	w.misfit = misfit
	return op, ok
}

// later makes a task wait, each time longer.
func (o *Owner) later(e hvtask.Entry, w *wait, reason string, now time.Time) (hvtask.Op, bool) {
	longest := maxRetry
	if e.Task.Urgent {
		longest = maxRetryUrgent
	}
	w.delay = min(max(2*w.delay, firstRetry), longest)
	w.next, w.reason, w.misfit, w.quota = now.Add(w.delay), reason, time.Time{}, false
	return hvtask.Op{}, false
}
