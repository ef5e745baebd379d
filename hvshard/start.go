package hvshard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// startPlaced sends a start for attempts that are recorded but not known to run.
func (o *Owner) startPlaced(now time.Time) {
	for _, e := range o.state.AwaitingStart() {
		a := o.attemptOf(&e, now)
		if a.listed.IsZero() && now.Sub(a.sent) >= missingAfter {
			o.start(e, a, now)
		}
	}
}

func (o *Owner) start(e hvtask.Entry, a *attempt, now time.Time) {
	h := o.hosts[e.Placement.Host]
	if a.closed || o.silent(e.Placement.Host, now) || h.side != e.Placement.SideIncarnation {
		if a.sent.IsZero() && e.Placement.Epoch == o.epoch {
			o.emit(hvtask.Op{Op: hvtask.OpRefuse, Task: e.Task.ID, Number: a.number, Reason: "host " + e.Placement.Host + " went away before the start was sent"})
		}
		return
	}
	// The side counts the lease from its own send time of the heartbeat, which
	// is not later than its receipt here.
	until, ok := o.View.StartUntil(o.stream, o.epoch)
	lease := until.Sub(h.received)
	if !ok || until.Sub(now) < o.config.LeaseDuration/4 {
		return
	}
	a.sent, a.until = now, latest(a.until, until)
	o.Hosts.Start(e.Placement.Host, hvwire.Start{
		Task: e.Task, Attempt: e.Attempt(), Shard: o.config.Shard, Epoch: o.epoch, Incarnation: h.side,
		Lease: hv.Duration(lease), HeartbeatSequence: h.sequence, Committed: e.Task.Need, Checkpoint: e.Checkpoint,
	})
}

// stop asks the side to end the current attempt of a task.
func (o *Owner) stop(e *hvtask.Entry, checkpoint bool, reason string) {
	o.Hosts.Stop(e.Placement.Host, hvwire.Stop{
		Attempt: e.Attempt(), Shard: o.config.Shard, Epoch: o.epoch, Checkpoint: checkpoint, Reason: reason,
	})
}

// Evict asks for the eviction of a running task with a checkpoint.
func (o *Owner) Evict(task, reason string) error {
	return o.withHold("evict", task, func(e hvtask.Entry, now time.Time) {
		a := o.attemptOf(&e, now)
		a.evict, a.evictAt = reason, now
		o.stop(&e, true, reason)
	})
}

// Throttle sets the share of its processors that a running task keeps, in
// thousandths.
func (o *Owner) Throttle(task string, share int) error {
	return o.withHold("throttle", task, func(e hvtask.Entry, _ time.Time) {
		o.Hosts.Throttle(e.Placement.Host, hvwire.Throttle{Attempt: e.Attempt(), Share: share})
	})
}

// Drain evicts all tasks of the shard from a host.
func (o *Owner) Drain(host, reason string) {
	for _, e := range o.state.OnHost(host) {
		// A task that ended meanwhile needs no eviction.
		_ = o.Evict(e.Task.ID, reason)
	}
}

func (o *Owner) withHold(op, task string, f func(e hvtask.Entry, now time.Time)) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.sync(now)
	if o.epoch == 0 {
		return errorf(op, hv.Unavailable, "this gate does not own shard %d", o.config.Shard)
	}
	e, ok := o.state.Lookup(task)
	if !ok || e.Placement == nil || e.State.Terminal() {
		return errorf(op, hv.NotFound, "task %q holds no host", task)
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
