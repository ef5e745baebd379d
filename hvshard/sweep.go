package hvshard

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvtask"
)

// hostRetention is the time without heartbeats after which the state of a host
// is dropped. It is well above the lease duration, after which the host runs no
// attempts any more.
const hostRetention = time.Minute

// checkAttempts checks every attempt that occupies a host, and performs the
// owner's other periodic work.
func (o *Owner) checkAttempts(now time.Time) {
	withHost := make(map[string]bool, len(o.attempts))
	o.state.EachPlacement(func(e *hvtask.Entry) {
		withHost[e.Task.ID] = true
		a := o.attemptOf(e, now)
		if o.silent(e.Placement.Host, now) {
			o.checkSilent(e, a, now)
		} else {
			o.checkReachable(e, a, now)
		}
	})
	o.removeStale(withHost, now)
	if o.steppingDown {
		return
	}
	o.applySettings(now)
	o.balanceQuotas()
}

// checkReachable handles an attempt on a host that sends heartbeats.
func (o *Owner) checkReachable(e *hvtask.Entry, a *attempt, now time.Time) {
	switch {
	case e.State.Terminal():
		o.sendStop(e, false, "the task was "+string(e.State))
	case a.evictReason != "" && now.Sub(a.evictRequested) < evictionRetryPeriod:
		o.sendStop(e, true, a.evictReason)
	case now.Sub(latest(a.firstSeen, latest(a.lastListed, a.startSent))) < missingTimeout:
	case e.State == hvtask.Placed && a.lastListed.IsZero() && !a.ending && o.hosts[e.Placement.Host].sideIncarnation == e.Placement.SideIncarnation:
		// sendStarts repeats the start. The side process is still the one named
		// by the placement, so it knows whether it has seen the attempt before.
	default:
		// The side responds with a report of how the attempt ended, or that the
		// attempt does not run and never will.
		o.sendStop(e, false, "the host does not list the attempt")
	}
}

// checkSilent handles an attempt on a host without heartbeats. The attempt
// counts as lost only after every lease that any owner may have granted it has
// expired.
func (o *Owner) checkSilent(e *hvtask.Entry, a *attempt, now time.Time) {
	own := e.Placement.Epoch == o.epoch
	if own && a.startSent.IsZero() && a.lastListed.IsZero() {
		return // sendStarts refuses the attempt
	}
	end := a.leaseEnd
	if h := o.hosts[e.Placement.Host]; h != nil {
		end = latest(end, h.leaseEnd)
	}
	if !own {
		// An older owner may renew leases until a majority knows the new epoch.
		since, ok := o.Quorum.AcknowledgedSince(o.stream, o.epoch)
		if !ok {
			return
		}
		end = latest(end, since.Add(o.config.LeaseDuration))
	}
	if !now.After(end.Add(o.config.ClockMargin)) {
		return
	}
	lost := hvtask.Op{Op: hvtask.OpLose, TaskID: e.Task.ID, Number: a.number, Reason: "host " + e.Placement.Host + " is silent and the lease has lapsed"}
	if o.enqueue(lost) {
		o.Placer.Release(e.Task, e.Placement.Host)
	}
}

// removeStale drops the state of attempts, hosts and waits that is no longer
// needed.
func (o *Owner) removeStale(withHost map[string]bool, now time.Time) {
	for id := range o.attempts {
		if !withHost[id] {
			delete(o.attempts, id)
		}
	}
	for name, h := range o.hosts {
		if now.Sub(h.received) > hostRetention {
			delete(o.hosts, name)
		}
	}
	for id := range o.waits {
		if e, ok := o.state.Lookup(id); !ok || e.State != hvtask.Queued {
			delete(o.waits, id)
		}
	}
}
