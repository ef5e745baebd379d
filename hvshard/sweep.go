package hvshard

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvtask"
)

// forgetHost is the silence after which the heartbeat of a host is forgotten.
// It is well above the lease, after which the host has no attempt left.
const forgetHost = time.Minute

// sweep looks at every attempt that holds a host, and does the owner's other
// periodic work.
func (o *Owner) sweep(now time.Time) {
	held := make(map[string]bool, len(o.attempts))
	o.state.Holds(func(e *hvtask.Entry) {
		held[e.Task.ID] = true
		a := o.attemptOf(e, now)
		if o.silent(e.Hold.Host, now) {
			o.checkSilent(e, a, now)
		} else {
			o.checkHeard(e, a, now)
		}
	})
	o.tidy(held, now)
	if o.leaving {
		return
	}
	o.compareSettings(now)
	o.balance()
}

// checkHeard handles an attempt on a host that sends heartbeats.
func (o *Owner) checkHeard(e *hvtask.Entry, a *attempt, now time.Time) {
	switch {
	case e.State.Terminal():
		o.stop(e, false, "the task was "+string(e.State))
	case a.evict != "" && now.Sub(a.evictAt) < evictFor:
		o.stop(e, true, a.evict)
	case now.Sub(latest(a.since, latest(a.listed, a.sent))) < missingAfter:
	case e.State == hvtask.Placed && a.listed.IsZero() && !a.closed && o.hosts[e.Hold.Host].side == e.Hold.Side:
		// startPlaced repeats the start; the side process is the one that the
		// placement named, so it knows whether it has seen the attempt before.
	default:
		// The side answers with what became of the attempt, or that it does
		// not run and never will.
		o.stop(e, false, "the host does not list the attempt")
	}
}

// checkSilent handles an attempt on a host without heartbeats. It is lost only
// when every lease that anyone may have given it has lapsed.
func (o *Owner) checkSilent(e *hvtask.Entry, a *attempt, now time.Time) {
	own := e.Hold.Epoch == o.epoch
	if own && a.sent.IsZero() && a.listed.IsZero() {
		return // startPlaced takes it back
	}
	end := a.until
	if h := o.hosts[e.Hold.Host]; h != nil {
		end = latest(end, h.until)
	}
	if !own {
		// An older owner may renew until a majority knows the new epoch.
		since, ok := o.View.AcknowledgedSince(o.stream, o.epoch)
		if !ok {
			return
		}
		end = latest(end, since.Add(o.config.Lease))
	}
	if !now.After(end.Add(o.config.Margin)) {
		return
	}
	lost := hvtask.Op{Op: hvtask.OpLose, Task: e.Task.ID, Number: a.number, Reason: "host " + e.Hold.Host + " is silent and the lease has lapsed"}
	if o.emit(lost) {
		o.Placer.Release(e.Task, e.Hold.Host)
	}
}

// tidy drops knowledge that is no longer of use.
func (o *Owner) tidy(held map[string]bool, now time.Time) {
	for id := range o.attempts {
		if !held[id] {
			delete(o.attempts, id)
		}
	}
	for name, h := range o.hosts {
		if now.Sub(h.received) > forgetHost {
			delete(o.hosts, name)
		}
	}
	for id := range o.waits {
		if e, ok := o.state.Lookup(id); !ok || e.State != hvtask.Queued {
			delete(o.waits, id)
		}
	}
}
