package hventry

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// registerRetryInterval is the time between attempts to register.
	registerRetryInterval = 400 * time.Millisecond
	// registerCheckInterval is the time between checks of the own registration. A gate
	// reads its own record sooner, unless it cannot read at all.
	registerCheckInterval = 2 * time.Second
	// gateCheckInterval is the time between two checks of the other gates by the owner.
	gateCheckInterval = 2 * time.Second
	// maxSilentChecks is the number of checks in a row without a response after which the
	// registration of a gate is removed. Restarts, and pauses of up to about 6 s, take less.
	maxSilentChecks = 5
)

// register keeps the registration of this gate in the topic: an owner that cannot reach
// this gate removes it.
func (g *Gate) register(ctx context.Context) {
	o := g.options
	self := hvledger.Node{Name: o.Name, Zone: o.Zone, Addr: o.Addr, Gate: true, Capacity: o.Capacity}
	for registered := false; ctx.Err() == nil; {
		if registered && g.isRegistered(self) {
			hvtick.Sleep(ctx, registerCheckInterval)
			continue
		}
		err := hvledger.Register(ctx, g.relay, o.CellTopic, self)
		if err != nil {
			_ = level.Warn(o.Logger).Log("msg", "registration of this gate failed; retrying", "err", err)
			hvtick.Sleep(ctx, registerRetryInterval)
			continue
		}
		registered = true
		hvtick.Sleep(ctx, registerCheckInterval)
	}
}

// isRegistered reports whether the topic holds a registration, as far as it is known.
func (g *Gate) isRegistered(n hvledger.Node) bool {
	stored, ok := g.replica.Node(n.Name)
	return ok && stored == n || g.replica.SinceLastRead() > registerCheckInterval
}

// checkGates removes the registrations of gates that are gone while this gate owns the
// cell. Other gates would wait for them in an election and count them among those that share
// the appends of the owner.
func (g *Gate) checkGates(ctx context.Context) {
	silent := silentChecks{}
	hvtick.Every(ctx, gateCheckInterval, func() {
		if !g.IsOwner() {
			clear(silent)
			return
		}
		for _, n := range silent.record(g.peers.respond(ctx, g.otherGates())) {
			g.removeRegistration(ctx, n)
		}
	})
}

// silentChecks counts, by registration, the last checks without a response.
type silentChecks map[hvledger.Node]int

// record counts the results of a check and returns the gates that are gone.
func (s silentChecks) record(responded map[hvledger.Node]bool) (gone []hvledger.Node) {
	for n, ok := range responded {
		if ok {
			delete(s, n)
			continue
		}
		if s[n]++; s[n] >= maxSilentChecks {
			delete(s, n)
			gone = append(gone, n)
		}
	}
	return gone
}

func (g *Gate) otherGates() (out []hvledger.Node) {
	for _, n := range g.replica.Nodes() {
		if n.Gate && n.Name != g.options.Name {
			out = append(out, n)
		}
	}
	return out
}

func (g *Gate) removeRegistration(ctx context.Context, n hvledger.Node) {
	err := hvledger.Unregister(ctx, g.relay, g.options.CellTopic, n.Name)
	_ = level.Info(g.options.Logger).Log("msg", "registration of a gate that does not respond is removed", "gate", n.Name, "addr", n.Addr, "checks", maxSilentChecks, "err", err)
}

// respond asks gates who they are, all at the same time, and reports which respond.
func (p *peers) respond(ctx context.Context, gates []hvledger.Node) map[hvledger.Node]bool {
	var mu sync.Mutex
	responded := map[hvledger.Node]bool{}
	var calls sync.WaitGroup
	for _, n := range gates {
		calls.Go(func() {
			_, err := hvwire.CallPeer[processInfo](ctx, p.pool, n.Addr, methodProcess, peerCallTimeout, struct{}{})
			mu.Lock()
			defer mu.Unlock()
			responded[n] = err == nil
		})
	}
	calls.Wait()
	return responded
}
