package hvshard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Heartbeat processes a heartbeat of a host and returns the lease renewal for
// the response, or nil if this gate may not renew the leases of the shard.
func (o *Owner) Heartbeat(h hv.Host, b hvwire.Heartbeat) *hvwire.Renewal {
	o.mu.Lock()
	defer o.mu.Unlock()
	// The clock is read here and not by the caller, so that a process that was
	// paused in between does not renew leases with an outdated time.
	now := o.Clock.Now()
	o.syncOwnership(now)
	known := o.hosts[h.Name]
	if known == nil {
		known = &host{}
		o.hosts[h.Name] = known
	}
	known.sideIncarnation, known.rack, known.sequence, known.received, known.leaving = b.Incarnation, h.Rack, b.Sequence, now, b.Leaving
	if o.epoch == 0 {
		return nil
	}
	stops, ok := o.compareAttempts(h.Name, b.Attempts, now)
	leaseEnd, confirmed := o.Quorum.RenewUntil(o.stream, o.epoch)
	if !ok || !confirmed {
		return nil
	}
	known.leaseEnd = latest(known.leaseEnd, leaseEnd)
	return &hvwire.Renewal{Shard: o.config.Shard, Epoch: o.epoch, Lease: hv.Duration(leaseEnd.Sub(now)), Stop: stops}
}

// compareAttempts records which attempts the host lists and returns those that
// the host must stop. It returns false if the host knows a higher epoch.
func (o *Owner) compareAttempts(host string, listed []hvwire.AttemptState, now time.Time) ([]hv.Attempt, bool) {
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
			o.attemptOf(&e, now).lastListed = now
		}
		if ok && e.Placement.StartedAt.IsZero() && s.State == hv.StateRunning {
			o.enqueue(hvtask.Op{Op: hvtask.OpRun, TaskID: s.Attempt.Task, Number: s.Attempt.Number})
		}
	}
	return stops, true
}

// current returns the task of an attempt, and whether that attempt occupies the
// host.
func (o *Owner) current(a hv.Attempt, host string) (hvtask.Entry, bool) {
	e, ok := o.state.Lookup(a.Task)
	return e, ok && e.Placement != nil && e.Placement.Number == a.Number && e.Placement.Host == host
}
