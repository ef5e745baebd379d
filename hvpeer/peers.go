// Package hvpeer maintains the connections of a gate to the other gates and tracks
// which of them are alive.
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
	// callTimeout is below peerTimeout, so that one lost response does not make a
	// peer count as dead.
	callTimeout = 1500 * time.Millisecond
	// peerTimeout is the time without heartbeats after which a peer counts as
	// dead.
	peerTimeout = 3 * time.Second
)

// State is the last heartbeat of a peer and when it arrived.
type State struct {
	Heartbeat  hvwire.PeerHeartbeat
	ReceivedAt time.Time
}

// Deps holds the dependencies of Peers.
type Deps struct {
	Clock  hv.Clock
	Logger log.Logger
	// Mux handles calls that peers make over connections that this gate dialed.
	Mux hvwire.Mux
	// Self returns the current heartbeat of this gate.
	Self func() hvwire.PeerHeartbeat
	// OnHeartbeat is called after each heartbeat of a peer. It may be nil.
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

// New returns a set without peers.
func New(deps Deps) *Peers {
	return &Peers{deps: deps, links: map[string]*link{}, states: map[string]State{}}
}

// Run maintains the connections until ctx ends.
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

// SendHeartbeats makes all links send a heartbeat without waiting for the next
// tick.
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

// RecordHeartbeat records a heartbeat or a heartbeat response of a peer. A peer that
// dials this gate thus becomes known before this gate has connected to it.
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

// heardRecently reports whether a peer sent a heartbeat or a response to one within
// 90% of the heartbeat interval.
func (p *Peers) heardRecently(name string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[name]
	return ok && p.deps.Clock.Now().Sub(s.ReceivedAt) < heartbeatInterval*9/10
}

// States returns the last heartbeat of every peer that has sent one, sorted by
// name.
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

// Live returns the peers that sent a heartbeat within the peer timeout and are not
// leaving.
func (p *Peers) Live() []State {
	now := p.deps.Clock.Now()
	return slices.DeleteFunc(p.States(), func(s State) bool {
		return s.Heartbeat.Leaving || now.Sub(s.ReceivedAt) > peerTimeout
	})
}
