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
	// acknowledgement of reports, which hold the checkpoints of evicted tasks.
	handoverTimeout = 5 * time.Second
	// finishTimeout bounds the wait for requests in flight, which end by their
	// deadlines.
	finishTimeout = hvhttp.MaxDeadline + handoverTimeout
	// idleDuration is how long no request may be open before the connections are
	// closed. It covers requests that gates sent before they took the leave.
	idleDuration = 200 * time.Millisecond
	idleChecks   = 10
)

// serveDrain refuses new work from now on.
func (a *Agent) serveDrain(ctx context.Context, _ *hvwire.Conn, m hvwire.Drain) (hvwire.Ack, error) {
	if name := a.config().Host.Name; m.Host != name {
		return hvwire.Ack{}, errorf("drain", hv.Invalid, "host: %q is not %q", m.Host, name)
	}
	a.drain(ctx)
	return hvwire.Ack{OK: true}, nil
}

// drain refuses new work and tells every gate. Heartbeats repeat it.
func (a *Agent) drain(ctx context.Context) {
	if a.draining.Swap(true) {
		return
	}
	logInfo(a.logger, "msg", "draining")
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
				logWarn(a.logger, "msg", "a gate was not told to leave", "gate", c.RemoteAddr(), "err", err)
			}
		})
	}
	wg.Wait()
}

// shutDown drains and returns when requests have ended, key slots have moved and
// reports are acknowledged.
func (a *Agent) shutDown(ctx context.Context) {
	a.drain(ctx)
	start := time.Now()
	if a.service != nil {
		select {
		case <-a.service.slots.Drain():
		case <-time.After(finishTimeout):
			run, wait := a.service.slots.Load()
			a.violation(8, fmt.Sprintf("the stop cuts off %d running and %d waiting requests", run, wait))
		}
	}
	// The handover has its own time, however long the requests took.
	for handoverStart := time.Now(); !a.handoverComplete() && time.Since(handoverStart) < handoverTimeout; {
		time.Sleep(idleDuration / idleChecks)
	}
	for idle := 0; idle < idleChecks && time.Since(start) < finishTimeout; idle++ {
		if a.active() > 0 {
			idle = 0
		}
		time.Sleep(idleDuration / idleChecks)
	}
	logInfo(a.logger, "msg", "drained", "complete", a.handoverComplete())
}

// handoverComplete reports whether nothing that only this process knows is waiting
// for a gate that is connected.
func (a *Agent) handoverComplete() bool {
	if len(a.gates.connected()) == 0 {
		return true
	}
	if a.service != nil && a.service.keys.owned() > 0 {
		return false
	}
	return a.tasks == nil || a.tasks.ledger.Load() == nil || len(a.tasks.ledger.Load().Reports(1)) == 0
}

// active counts the requests whose answers have not been written.
func (a *Agent) active() int {
	n := 0
	for _, c := range a.gates.connected() {
		n += c.Active()
	}
	return n
}
