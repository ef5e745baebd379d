package hvhost

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const fullShare = 1000

// StartRequest asks the host to run an attempt.
type StartRequest struct {
	Task       hv.Task
	Attempt    hv.Attempt
	Shard      int
	Epoch      int64
	Committed     hv.Resources
	Checkpoint string
	// LeaseEnd is when the first lease of the attempt ends.
	LeaseEnd time.Time
}

func (o StartRequest) check() error {
	switch {
	case o.Attempt.Task != o.Task.ID || o.Task.ID == "":
		return errorf("admit", hv.Invalid, "attempt: task %q does not match %q", o.Attempt.Task, o.Task.ID)
	case o.Attempt.Number < 1:
		return errorf("admit", hv.Invalid, "attempt: number %d is not positive", o.Attempt.Number)
	}
	return o.Committed.Check()
}

// Admit reserves room for an attempt. It reports false without an error for an
// attempt that the host already holds. Errors of kind Full, Conflict and
// Expired refuse an attempt that has not started here.
func (l *Ledger) Admit(o StartRequest) (bool, error) {
	if err := o.check(); err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if err := l.open(); err != nil {
		return false, err
	}
	if o.Epoch < l.epochs[o.Shard] {
		return false, errorf("admit", hv.Expired, "epoch %d of shard %d is below %d", o.Epoch, o.Shard, l.epochs[o.Shard])
	}
	if e := l.find(o.Attempt); e != nil && e.phase != stopping {
		return false, nil
	}
	if err := l.fits(o, now); err != nil {
		return false, err
	}
	l.epochs[o.Shard] = o.Epoch
	l.add(&entry{run: o.running(), end: o.LeaseEnd, started: now}, now)
	return true, nil
}

func (o StartRequest) running() hv.RunningAttempt {
	return hv.RunningAttempt{
		Attempt: o.Attempt, Task: o.Task, Shard: o.Shard, Epoch: o.Epoch, Committed: o.Committed,
		Checkpoint: o.Checkpoint, State: hv.StateRunning, Share: fullShare,
	}
}

func (l *Ledger) open() error {
	switch {
	case !l.ready:
		return errorf("admit", hv.Unavailable, "running attempts have not been read from the worker yet")
	case l.closed:
		return errorf("admit", hv.Unavailable, "the host is draining")
	}
	return nil
}

func (l *Ledger) fits(o StartRequest, now time.Time) error {
	l.forget(now)
	switch {
	case !now.Before(o.LeaseEnd):
		return errorf("admit", hv.Expired, "the lease of %s ended before the start", o.Attempt)
	case l.entries[o.Task.ID] != nil:
		return errorf("admit", hv.Conflict, "attempt %s still occupies the host", l.entries[o.Task.ID].run.Attempt)
	case o.Attempt.Number <= l.last(o.Task.ID):
		return errorf("admit", hv.Conflict, "attempt %s was already here", o.Attempt)
	case len(l.entries)+len(l.outbox) >= l.config.MaxAttempts || len(l.order) >= 2*l.config.MaxAttempts:
		return errorf("admit", hv.Full, "the host holds %d attempts and %d unacknowledged ends", len(l.entries), len(l.outbox))
	case !l.committed.Add(o.Committed).Fits(l.config.Capacity):
		return errorf("admit", hv.Full, "no room: %s", o.Attempt)
	}
	return nil
}

// add is the only place where an attempt comes into the ledger.
func (l *Ledger) add(e *entry, now time.Time) {
	task := e.run.Task.ID
	if other := l.entries[task]; other != nil {
		l.violations(2, fmt.Sprintf("attempts %s and %s on one host", other.run.Attempt, e.run.Attempt))
		return
	}
	commit := e.run.Committed
	e.run.Committed = hv.Resources{}
	l.entries[task] = e
	l.commit(e, commit)
	e.floor = quarter(commit)
	l.remember(e.run.Attempt, now)
}

// remember keeps an attempt from being admitted again.
func (l *Ledger) remember(a hv.Attempt, now time.Time) {
	if _, ok := l.seen[a.Task]; !ok {
		l.order = append(l.order, a.Task)
	}
	l.seen[a.Task] = number{attempt: max(a.Number, l.last(a.Task)), at: now}
}

// MarkStarted records that the worker runs an attempt.
func (l *Ledger) MarkStarted(a hv.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(a); e != nil && e.phase == starting {
		e.phase = running
	}
}

// MarkStopping marks an attempt so that it is renewed no more. It keeps its
// commitment until End. An epoch below the highest of the shard is refused.
func (l *Ledger) MarkStopping(a hv.Attempt, epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(a)
	switch {
	case e == nil:
		return errorf("stop", hv.NotFound, "attempt %s is not here", a)
	case epoch < l.epochs[e.run.Shard]:
		return errorf("stop", hv.Expired, "epoch %d of shard %d is below %d", epoch, e.run.Shard, l.epochs[e.run.Shard])
	}
	e.phase = stopping
	return nil
}

// Recover takes over the attempts that the worker runs after a restart of the
// side. Asof is a time before the worker was asked, from which the remaining
// leases count. Ended attempts go to the outbox. It returns attempts that
// cannot be kept and must be stopped, such as the older of two of one task.
func (l *Ledger) Recover(asof time.Time, found []hv.RunningAttempt) []hv.RunningAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	found = slices.Clone(found)
	slices.SortFunc(found, func(a, b hv.RunningAttempt) int { return cmp.Compare(b.Attempt.Number, a.Attempt.Number) })
	var reject []hv.RunningAttempt
	for _, r := range found {
		l.epochs[r.Shard] = max(l.epochs[r.Shard], r.Epoch)
		if r.State != hv.StateRunning {
			l.outbox = append(l.outbox, ended(r))
			l.remember(r.Attempt, asof)
			continue
		}
		if l.entries[r.Task.ID] != nil || r.Committed.Check() != nil || !l.committed.Add(r.Committed).Fits(l.config.Capacity) {
			reject = append(reject, r)
			continue
		}
		l.add(&entry{run: r, phase: running, end: asof.Add(r.Lease.Std()), started: asof}, asof)
	}
	l.ready = true
	return reject
}

// ended reports an attempt that ended while the side was away.
func ended(r hv.RunningAttempt) Report {
	return Report{Attempt: r.Attempt, Shard: r.Shard, Event: r.State, Reason: r.Reason, Checkpoint: r.Checkpoint}
}

// StopAdmission refuses all further attempts.
func (l *Ledger) StopAdmission() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
}

func (l *Ledger) last(task string) int { return l.seen[task].attempt }

// forget drops the numbers of attempts that ended long ago.
func (l *Ledger) forget(now time.Time) {
	for range l.order {
		task := l.order[0]
		if l.entries[task] == nil && now.Sub(l.seen[task].at) < defaultMemory {
			return
		}
		l.order = l.order[1:]
		if l.entries[task] != nil {
			l.order = append(l.order, task)
			continue
		}
		delete(l.seen, task)
	}
}
