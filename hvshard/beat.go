package hvshard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Heartbeat takes a heartbeat of a host and returns the renewal for the answer, or
// nil if this gate may not renew the leases of the shard.
func (o *Owner) Heartbeat(h hv.Host, b hvwire.Heartbeat) *hvwire.Renewal {
	o.mu.Lock()
	defer o.mu.Unlock()
	// The clock is read here and not by the caller, so that a process that was
	// paused on the way does not renew by an old time.
	now := o.Clock.Now()
	o.sync(now)
	last := o.hosts[h.Name]
	if last == nil {
		last = &host{}
		o.hosts[h.Name] = last
	}
	last.side, last.rack, last.sequence, last.received, last.leaving = b.Incarnation, h.Rack, b.Sequence, now, b.Leaving
	if o.epoch == 0 {
		return nil
	}
	stops, ok := o.compare(h.Name, b.Attempts, now)
	until, confirmed := o.View.RenewUntil(o.stream, o.epoch)
	if !ok || !confirmed {
		return nil
	}
	last.until = latest(last.until, until)
	return &hvwire.Renewal{Shard: o.config.Shard, Epoch: o.epoch, Lease: hv.Duration(until.Sub(now)), Stop: stops}
}

// compare notes which attempts the host lists and returns those that it must
// stop. It reports false if the host knows a higher epoch.
func (o *Owner) compare(host string, listed []hvwire.AttemptState, now time.Time) ([]hv.Attempt, bool) {
	var stops []hv.Attempt
	for _, s := range listed {
		if s.Shard != o.config.Shard {
			continue
		}
		if s.Epoch > o.epoch {
			return nil, false
		}
		e, ok := o.current(s.Attempt, host)
		if !ok || e.State.Terminal() {
			stops = append(stops, s.Attempt)
		}
		if ok {
			o.attemptOf(&e, now).listed = now
		}
		if ok && e.Placement.StartedAt.IsZero() && s.State == hv.StateRunning {
			o.emit(hvtask.Op{Op: hvtask.OpRun, Task: s.Attempt.Task, Number: s.Attempt.Number})
		}
	}
	return stops, true
}

// current returns the task of an attempt if that attempt holds the host.
func (o *Owner) current(a hv.Attempt, host string) (hvtask.Entry, bool) {
	e, ok := o.state.Lookup(a.Task)
	return e, ok && e.Placement != nil && e.Placement.Number == a.Number && e.Placement.Host == host
}
