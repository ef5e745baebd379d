package hvshard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// sendStarts sends a start for attempts whose placement is recorded but which
// are not known to run.
func (o *Owner) sendStarts(now time.Time) {
	for _, e := range o.state.AwaitingStart() {
		a := o.attemptOf(&e, now)
		if a.lastListed.IsZero() && now.Sub(a.startSent) >= missingTimeout {
			o.sendStart(e, a, now)
		}
	}
}

func (o *Owner) sendStart(e hvtask.Entry, a *attempt, now time.Time) {
	h := o.hosts[e.Placement.Host]
	if a.ending || o.silent(e.Placement.Host, now) || h.sideIncarnation != e.Placement.SideIncarnation {
		if a.startSent.IsZero() && e.Placement.Epoch == o.epoch {
			o.enqueue(hvtask.Op{Op: hvtask.OpRefuse, TaskID: e.Task.ID, Number: a.number, Reason: "host " + e.Placement.Host + " went away before the start was sent"})
		}
		return
	}
	// The side counts the lease from the time at which it sent the heartbeat,
	// which is not later than its receipt here.
	leaseEnd, ok := o.Quorum.StartUntil(o.stream, o.epoch)
	lease := leaseEnd.Sub(h.received)
	if !ok || leaseEnd.Sub(now) < o.config.LeaseDuration/4 {
		return
	}
	a.startSent, a.leaseEnd = now, latest(a.leaseEnd, leaseEnd)
	o.Hosts.Start(e.Placement.Host, hvwire.Start{
		Task: e.Task, Attempt: e.Attempt(), Shard: o.config.Shard, Epoch: o.epoch, Incarnation: h.sideIncarnation,
		Lease: hv.Duration(lease), HeartbeatSequence: h.sequence, Committed: e.Task.Need, Checkpoint: e.Checkpoint,
	})
}

// sendStop requests that the side end the current attempt of a task.
func (o *Owner) sendStop(e *hvtask.Entry, checkpoint bool, reason string) {
	o.Hosts.Stop(e.Placement.Host, hvwire.Stop{
		Attempt: e.Attempt(), Shard: o.config.Shard, Epoch: o.epoch, Checkpoint: checkpoint, Reason: reason,
	})
}

// Evict requests the eviction of a running task with a checkpoint.
func (o *Owner) Evict(task, reason string) error {
	return o.withPlacement("evict", task, func(e hvtask.Entry, now time.Time) {
		a := o.attemptOf(&e, now)
		a.evictReason, a.evictRequested = reason, now
		o.sendStop(&e, true, reason)
	})
}

// Throttle sets the share of its processors that a running task keeps, in
// thousandths.
func (o *Owner) Throttle(task string, share int) error {
	return o.withPlacement("throttle", task, func(e hvtask.Entry, _ time.Time) {
		o.Hosts.Throttle(e.Placement.Host, hvwire.Throttle{Attempt: e.Attempt(), Share: share})
	})
}

// Drain evicts all tasks of the shard from a host.
func (o *Owner) Drain(host, reason string) {
	for _, e := range o.state.OnHost(host) {
		// A task that has ended in the meantime needs no eviction.
		_ = o.Evict(e.Task.ID, reason)
	}
}

func (o *Owner) withPlacement(op, task string, f func(e hvtask.Entry, now time.Time)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.syncOwnership(now)
	if o.epoch == 0 {
		return errorf(op, hv.Unavailable, "this gate does not own shard %d", o.config.Shard)
	}
	e, ok := o.state.Lookup(task)
	if !ok || e.Placement == nil || e.State.Terminal() {
		return errorf(op, hv.NotFound, "task %q occupies no host", task)
	}
	f(e, now)
	return nil
}

func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
