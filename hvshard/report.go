package hvshard

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Report takes the report of a side about an attempt. It acknowledges the
// report only when the log reflects it, so that a report outlives its owner.
func (o *Owner) Report(r hvwire.Report) hvwire.Ack {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.sync(now)
	if o.epoch == 0 {
		return hvwire.Ack{Reason: "this gate does not own the shard"}
	}
	e, ok := o.current(r.Attempt, r.Host)
	if !ok || (r.Event == hvwire.EventStarted && !e.Placement.StartedAt.IsZero()) {
		return hvwire.Ack{OK: true}
	}
	op, ok := operation(e, r)
	if !ok {
		return hvwire.Ack{Reason: "the event is not known"}
	}
	if o.emit(op) {
		o.observe(e, r, now)
	}
	return hvwire.Ack{Reason: "not in the log yet"}
}

// operation translates an event into the operation that records it.
func operation(e hvtask.Entry, r hvwire.Report) (hvtask.Op, bool) {
	op := hvtask.Op{Task: r.Attempt.Task, Number: r.Attempt.Number, Reason: r.Reason}
	switch r.Event {
	case hvwire.EventStarted:
		op.Op = hvtask.OpRun
	case hvwire.EventDone:
		op.Op, op.State = hvtask.OpEnd, hvtask.Done
	case hvwire.EventFailed:
		op.Op, op.State = hvtask.OpEnd, hvtask.Failed
	case hvwire.EventRefused:
		op.Op = hvtask.OpRefuse
		if !e.Placement.StartedAt.IsZero() {
			op.Op = hvtask.OpLose
		}
	case hvwire.EventEvicted:
		op.Op, op.Checkpoint = hvtask.OpEvict, r.Checkpoint
		if e.Task.Once && r.Checkpoint == "" {
			op.Op = hvtask.OpLose
		}
	case hvwire.EventStopped, hvwire.EventLapsed:
		op.Op = hvtask.OpLose
		if op.Reason == "" {
			op.Reason = r.Event
		}
	default:
		return op, false
	}
	return op, true
}

// observe tells the health policy of ends, and the placer of free room.
func (o *Owner) observe(e hvtask.Entry, r hvwire.Report, now time.Time) {
	if r.Event == hvwire.EventStarted {
		return
	}
	o.Placer.Release(e.Task, r.Host)
	if o.Health == nil || (r.Event != hvwire.EventDone && r.Event != hvwire.EventFailed) {
		return
	}
	rack := ""
	if h := o.hosts[r.Host]; h != nil {
		rack = h.rack
	}
	o.Health.Record(now, r.Host, rack, e.Task.ID, r.Event == hvwire.EventDone)
}
