package hvagent

import (
	"context"
	"fmt"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// handoverTimeout bounds the wait for the handover of key slots and for the
	// acknowledgement of reports, which contain the checkpoints of evicted tasks.
	handoverTimeout = 5 * time.Second
	// finishTimeout bounds the wait for requests in flight, which end by their
	// deadlines.
	finishTimeout = hvhttp.MaxDeadline + handoverTimeout
	// idleDuration is how long no request may have been open before the
	// connections are closed. It covers requests that gates sent before they
	// processed the leave message.
	idleDuration = 200 * time.Millisecond
	idleChecks   = 10
)

// serveDrain makes the side refuse new work from now on.
func (a *Agent) serveDrain(ctx context.Context, _ *hvwire.Conn, m hvwire.Drain) (hvwire.Ack, error) {
	if name := a.config().Host.Name; m.Host != name {
		return hvwire.Ack{}, errorf("drain", hv.Invalid, "host: got %q, this host is %q", m.Host, name)
	}
	a.drain(ctx)
	return hvwire.Ack{OK: true}, nil
}

// drain makes the side refuse new work and notifies every connected gate. The
// heartbeats also say that the side is draining.
func (a *Agent) drain(ctx context.Context) {
	if a.draining.Swap(true) {
		return
	}
	logInfo(a.logger, "msg", "draining: new work is refused")
	if a.service != nil {
		a.service.slots.Drain()
	}
	if a.tasks != nil {
		a.tasks.stopAdmission()
	}
	m := hvwire.Leave{Host: a.config().Host.Name, Incarnation: a.incarnation}
	var wg sync.WaitGroup
	for _, c := range a.gates.connected() {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if _, err := hvwire.Call[hvwire.Ack](ctx, c, hvwire.MethodLeave, m); err != nil {
				logWarn(a.logger, "msg", "leave message to gate failed", "gate", c.RemoteAddr(), "err", err)
			}
		})
	}
	wg.Wait()
}

// shutDown drains the side and waits until requests have ended, key slots have
// been handed over and reports have been acknowledged.
func (a *Agent) shutDown(ctx context.Context) {
	a.drain(ctx)
	start := time.Now()
	if a.service != nil {
		select {
		case <-a.service.slots.Drain():
		case <-time.After(finishTimeout):
			run, wait := a.service.slots.Load()
			a.violation(8, fmt.Sprintf("shutdown interrupts %d running and %d waiting requests", run, wait))
		}
	}
	// The time limit of the handover starts here, however long the requests
	// took.
	for handoverStart := time.Now(); !a.handoverComplete() && time.Since(handoverStart) < handoverTimeout; {
		time.Sleep(idleDuration / idleChecks)
	}
	for idle := 0; idle < idleChecks && time.Since(start) < finishTimeout; idle++ {
		if a.active() > 0 {
			idle = 0
		}
		time.Sleep(idleDuration / idleChecks)
	}
	logInfo(a.logger, "msg", "drain ended", "complete", a.handoverComplete())
}

// handoverComplete reports whether all key slots have been handed over and all
// reports acknowledged, or no gate is connected that could receive them.
func (a *Agent) handoverComplete() bool {
	if len(a.gates.connected()) == 0 {
		return true
	}
	if a.service != nil && a.service.keys.owned() > 0 {
		return false
	}
	return a.tasks == nil || a.tasks.ledger.Load() == nil || len(a.tasks.ledger.Load().Reports(1)) == 0
}

// active returns the number of requests whose responses have not been written.
func (a *Agent) active() int {
	n := 0
	for _, c := range a.gates.connected() {
		n += c.Active()
	}
	return n
}
