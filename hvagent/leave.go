package hvagent

import (
	"context"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// handoverTimeout bounds the wait for the handover of key slots.
	handoverTimeout = 5 * time.Second
	// finishTimeout bounds a graceful stop. Requests end by their deadlines,
	// which are at most 30 s.
	finishTimeout = 35 * time.Second
	// quiet is how long no request may be open before the connections are
	// closed. It covers requests that gates sent before they took the leave.
	quiet       = 200 * time.Millisecond
	quietChecks = 10
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
	if a.leaving.Swap(true) {
		return
	}
	logInfo(a.logger, "msg", "draining")
	if a.service != nil {
		a.service.slots.Drain()
	}
	if a.tasks != nil {
		a.tasks.close()
	}
	m := hvwire.Leave{Host: a.config().Host.Name, Incarnation: a.incarnation}
	var wg sync.WaitGroup
	for _, c := range a.gates.connected() {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			if _, err := hvwire.Call[hvwire.Ack](ctx, c, hvwire.MethodLeave, m); err != nil {
				logWarn(a.logger, "msg", "a gate was not told to leave", "gate", c.Remote(), "err", err)
			}
		})
	}
	wg.Wait()
}

// leave drains and returns when requests have ended and key slots have moved.
func (a *Agent) leave(ctx context.Context) {
	a.drain(ctx)
	if a.service == nil {
		return
	}
	start := time.Now()
	select {
	case <-a.service.slots.Drain():
	case <-time.After(finishTimeout):
		logError(a.logger, "msg", "requests are cut off", "kind", hv.Uncertain)
	}
	for a.service.keys.owned() > 0 && len(a.gates.connected()) > 0 && time.Since(start) < handoverTimeout {
		time.Sleep(quiet / quietChecks)
	}
	for idle := 0; idle < quietChecks && time.Since(start) < finishTimeout; idle++ {
		if a.active() > 0 {
			idle = 0
		}
		time.Sleep(quiet / quietChecks)
	}
	logInfo(a.logger, "msg", "drained", "slots", a.service.keys.owned())
}

// active counts the requests whose answers have not been written.
func (a *Agent) active() int {
	n := 0
	for _, c := range a.gates.connected() {
		n += c.Active()
	}
	return n
}
