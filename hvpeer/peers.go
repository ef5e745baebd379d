// Package hvpeer keeps connections between gates and knows which of them are
// alive.
package hvpeer

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	heartbeatInterval = time.Second
	redialInterval    = 500 * time.Millisecond
	// callTimeout is below missingAfter, so that one lost answer does not
	// make a peer appear dead.
	callTimeout = 1500 * time.Millisecond
	// peerTimeout is how long a peer may be silent before it counts as dead.
	peerTimeout = 3 * time.Second
)

// State is what a gate knows about a peer.
type State struct {
	Heartbeat  hvwire.PeerHeartbeat
	ReceivedAt time.Time
}

// Deps are the dependencies of Peers.
type Deps struct {
	Clock  hv.Clock
	Logger log.Logger
	// Mux serves calls that peers make over the connections of this gate.
	Mux hvwire.Mux
	// Self returns the heartbeat of this gate.
	Self func() hvwire.PeerHeartbeat
	// OnHeartbeat is called after each heartbeat of a peer, or is nil.
	OnHeartbeat func(hvwire.PeerHeartbeat)
}

// Peers is the set of the other gates.
type Peers struct {
	deps Deps

	mu     sync.Mutex
	ctx    context.Context
	links  map[string]*link
	states map[string]State
	wg     sync.WaitGroup
}

// New returns an empty set.
func New(deps Deps) *Peers {
	return &Peers{deps: deps, links: map[string]*link{}, states: map[string]State{}}
}

// Run keeps the connections until ctx ends.
func (p *Peers) Run(ctx context.Context) {
	p.mu.Lock()
	p.ctx = ctx
	for _, l := range p.links {
		p.start(l)
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.wg.Wait()
}

// SetAddresses replaces the addresses of the peers.
func (p *Peers) SetAddresses(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, l := range p.links {
		if !slices.Contains(addrs, addr) {
			l.stop()
			delete(p.links, addr)
		}
	}
	for _, addr := range addrs {
		if p.links[addr] == nil {
			l := &link{addr: addr, peers: p, heartbeatNow: make(chan struct{}, 1)}
			p.links[addr] = l
			p.start(l)
		}
	}
}

func (p *Peers) start(l *link) {
	if p.ctx == nil || l.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(p.ctx)
	l.cancel = cancel
	p.wg.Go(func() { l.run(ctx) })
}

// SendHeartbeats sends a heartbeat to every peer without waiting for the next tick.
func (p *Peers) SendHeartbeats() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range p.links {
		select {
		case l.heartbeatNow <- struct{}{}:
		default:
		}
	}
}

// RecordHeartbeat records a heartbeat that a peer sent. A gate that dials another is
// known to it before the other has dialed back.
func (p *Peers) RecordHeartbeat(peer hvwire.PeerHeartbeat) {
	if peer.Name == p.deps.Self().Name {
		return
	}
	p.mu.Lock()
	p.states[peer.Name] = State{Heartbeat: peer, ReceivedAt: p.deps.Clock.Now()}
	p.mu.Unlock()
	if p.deps.OnHeartbeat != nil {
		p.deps.OnHeartbeat(peer)
	}
}

// heardRecently reports whether a peer sent a heartbeat or an answer within most
// of the interval.
func (p *Peers) heardRecently(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[name]
	return ok && p.deps.Clock.Now().Sub(s.ReceivedAt) < heartbeatInterval*9/10
}

// States returns the last heartbeat of every peer that was heard, by name.
func (p *Peers) States() []State {
	p.mu.Lock()
	defer p.mu.Unlock()
	states := make([]State, 0, len(p.states))
	for _, s := range p.states {
		states = append(states, s)
	}
	slices.SortFunc(states, func(a, b State) int { return strings.Compare(a.Heartbeat.Name, b.Heartbeat.Name) })
	return states
}

// Live returns the peers that are not silent and not leaving.
func (p *Peers) Live() []State {
	now := p.deps.Clock.Now()
	return slices.DeleteFunc(p.States(), func(s State) bool {
		return s.Heartbeat.Leaving || now.Sub(s.ReceivedAt) > peerTimeout
	})
}
