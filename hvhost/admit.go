package hvhost

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const fullShare = 1000

// StartRequest is a request to run an attempt on the host.
type StartRequest struct {
	Task       hv.Task
	Attempt    hv.Attempt
	Shard      int
	Epoch      int64
	Committed  hv.Resources
	Checkpoint string
	// LeaseEnd is the end of the first lease of the attempt.
	LeaseEnd time.Time
}

func (r StartRequest) check() error {
	switch {
	case r.Attempt.Task != r.Task.ID || r.Task.ID == "":
		return errorf("admit", hv.Invalid, "attempt.task: got %q, the task is %q", r.Attempt.Task, r.Task.ID)
	case r.Attempt.Number < 1:
		return errorf("admit", hv.Invalid, "attempt.number: %d is not positive", r.Attempt.Number)
	}
	return r.Committed.Check()
}

// Admit commits the resources for an attempt. It returns false without an error
// if the host already holds the attempt. An error of kind Full, Conflict or
// Expired refuses the attempt; the request has then not started it.
func (l *Ledger) Admit(req StartRequest) (bool, error) {
	if err := req.check(); err != nil {
		return false, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	if err := l.checkAdmitting(); err != nil {
		return false, err
	}
	if req.Epoch < l.epochs[req.Shard] {
		return false, errorf("admit", hv.Expired, "epoch %d of shard %d is below %d", req.Epoch, req.Shard, l.epochs[req.Shard])
	}
	if e := l.find(req.Attempt); e != nil && e.phase != stopping {
		return false, nil
	}
	if err := l.checkAdmission(req, now); err != nil {
		return false, err
	}
	l.epochs[req.Shard] = req.Epoch
	l.add(&entry{run: req.runningAttempt(), leaseEnd: req.LeaseEnd, startedAt: now}, now)
	return true, nil
}

func (r StartRequest) runningAttempt() hv.RunningAttempt {
	return hv.RunningAttempt{
		Attempt: r.Attempt, Task: r.Task, Shard: r.Shard, Epoch: r.Epoch, Committed: r.Committed,
		Checkpoint: r.Checkpoint, State: hv.StateRunning, Share: fullShare,
	}
}

func (l *Ledger) checkAdmitting() error {
	switch {
	case !l.ready:
		return errorf("admit", hv.Unavailable, "running attempts have not been read from the worker yet")
	case l.draining:
		return errorf("admit", hv.Unavailable, "the host is draining")
	}
	return nil
}

func (l *Ledger) checkAdmission(req StartRequest, now time.Time) error {
	l.pruneNumbers(now)
	switch {
	case !now.Before(req.LeaseEnd):
		return errorf("admit", hv.Expired, "the lease of %s expired before the start", req.Attempt)
	case l.entries[req.Task.ID] != nil:
		return errorf("admit", hv.Conflict, "attempt %s of the same task is still on this host", l.entries[req.Task.ID].run.Attempt)
	case req.Attempt.Number <= l.lastNumber(req.Task.ID):
		return errorf("admit", hv.Conflict, "attempt %s or a later one has been on this host before", req.Attempt)
	case len(l.entries)+len(l.outbox) >= l.config.MaxAttempts || len(l.numberOrder) >= 2*l.config.MaxAttempts:
		return errorf("admit", hv.Full, "the host holds %d attempts and %d unacknowledged reports", len(l.entries), len(l.outbox))
	case !l.committed.Add(req.Committed).Fits(l.config.Capacity):
		return errorf("admit", hv.Full, "not enough free resources for %s", req.Attempt)
	}
	return nil
}

// add is the only place where an attempt is added to the ledger.
func (l *Ledger) add(e *entry, now time.Time) {
	task := e.run.Task.ID
	if other := l.entries[task]; other != nil {
		l.violations(2, fmt.Sprintf("attempts %s and %s of one task on the same host", other.run.Attempt, e.run.Attempt))
		return
	}
	committed := e.run.Committed
	e.run.Committed = hv.Resources{}
	l.entries[task] = e
	l.setCommitment(e, committed)
	e.floor = minCommitment(committed)
	l.recordNumber(e.run.Attempt, now)
}

// recordNumber stores the number of an attempt, so that neither it nor an earlier
// attempt of its task is admitted again.
func (l *Ledger) recordNumber(a hv.Attempt, now time.Time) {
	if _, ok := l.lastNumbers[a.Task]; !ok {
		l.numberOrder = append(l.numberOrder, a.Task)
	}
	l.lastNumbers[a.Task] = admittedNumber{number: max(a.Number, l.lastNumber(a.Task)), recordedAt: now}
}

// MarkStarted records that the worker runs an attempt.
func (l *Ledger) MarkStarted(a hv.Attempt) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e := l.find(a); e != nil && e.phase == starting {
		e.phase = running
	}
}

// MarkStopping marks an attempt as stopping, so that its lease is no longer
// renewed. The attempt keeps its commitment until ReportEnd. An epoch below the
// highest of the shard is refused.
func (l *Ledger) MarkStopping(a hv.Attempt, epoch int64) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(a)
	switch {
	case e == nil:
		return errorf("stop", hv.NotFound, "attempt %s is not on this host", a)
	case epoch < l.epochs[e.run.Shard]:
		return errorf("stop", hv.Expired, "epoch %d of shard %d is below %d", epoch, e.run.Shard, l.epochs[e.run.Shard])
	}
	e.phase = stopping
	return nil
}

// Recover adds the attempts that the worker listed after a restart of the side.
// asOf is a time before the list was requested, from which the remaining leases
// count. Reports of ended attempts are added to the outbox. Recover returns the
// attempts that can't be kept and must be stopped, such as the older of two
// attempts of one task.
func (l *Ledger) Recover(asOf time.Time, found []hv.RunningAttempt) []hv.RunningAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	found = slices.Clone(found)
	slices.SortFunc(found, func(a, b hv.RunningAttempt) int { return cmp.Compare(b.Attempt.Number, a.Attempt.Number) })
	var rejected []hv.RunningAttempt
	for _, r := range found {
		l.epochs[r.Shard] = max(l.epochs[r.Shard], r.Epoch)
		if r.State != hv.StateRunning {
			l.outbox = append(l.outbox, endReport(r))
			l.recordNumber(r.Attempt, asOf)
			continue
		}
		if l.entries[r.Task.ID] != nil || r.Committed.Check() != nil || !l.committed.Add(r.Committed).Fits(l.config.Capacity) {
			rejected = append(rejected, r)
			continue
		}
		l.add(&entry{run: r, phase: running, leaseEnd: asOf.Add(r.Lease.Std()), startedAt: asOf}, asOf)
	}
	l.ready = true
	return rejected
}

// endReport returns the report of an attempt that ended while the side was not
// running.
func endReport(r hv.RunningAttempt) Report {
	return Report{Attempt: r.Attempt, Shard: r.Shard, Event: r.State, Reason: r.Reason, Checkpoint: r.Checkpoint}
}

// StopAdmission makes the ledger refuse all further attempts.
func (l *Ledger) StopAdmission() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
}

func (l *Ledger) lastNumber(task string) int { return l.lastNumbers[task].number }

// pruneNumbers drops the numbers that were recorded at least numberRetention ago
// and whose tasks have no attempt on the host.
func (l *Ledger) pruneNumbers(now time.Time) {
	for range l.numberOrder {
		task := l.numberOrder[0]
		if l.entries[task] == nil && now.Sub(l.lastNumbers[task].recordedAt) < numberRetention {
			return
		}
		l.numberOrder = l.numberOrder[1:]
		if l.entries[task] != nil {
			l.numberOrder = append(l.numberOrder, task)
			continue
		}
		delete(l.lastNumbers, task)
	}
}
