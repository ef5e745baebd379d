package hvshard

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Report processes the report of a side about an attempt. It acknowledges the
// report only once the log reflects it, so that the side keeps a report that
// this owner fails to record.
func (o *Owner) Report(r hvwire.Report) hvwire.Ack {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := o.Clock.Now()
	o.syncOwnership(now)
	if o.epoch == 0 {
		return hvwire.Ack{Reason: "this gate does not own the shard"}
	}
	e, ok := o.current(r.Attempt, r.Host)
	if !ok || (r.Event == hvwire.EventStarted && !e.Placement.StartedAt.IsZero()) {
		return hvwire.Ack{OK: true}
	}
	op, ok := operationFor(e, r)
	if !ok {
		return hvwire.Ack{Reason: "the event is not known"}
	}
	if o.enqueue(op) {
		o.observe(e, r, now)
	}
	return hvwire.Ack{Reason: "not in the log yet"}
}

// operationFor returns the operation that records an event, or false for an
// unknown event.
func operationFor(e hvtask.Entry, r hvwire.Report) (hvtask.Op, bool) {
	op := hvtask.Op{TaskID: r.Attempt.Task, Number: r.Attempt.Number, Reason: r.Reason}
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

// observe reports the end of an attempt to the health policy, and the freed
// resources to the placer.
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
