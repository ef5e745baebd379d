package hventry

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvshed"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// peerDialTimeout limits the time to connect to another gate.
	peerDialTimeout = 300 * time.Millisecond
	// peerCallTimeout limits a relayed call, in addition to the time that a read
	// waits for records.
	peerCallTimeout = 1300 * time.Millisecond
	// watchInterval is the time between checks of the owner's process.
	watchInterval = 200 * time.Millisecond
	// lookAgainAfter is the time without a record of the owner after which its process is
	// looked for again: a connection may go silent without an end. An owner appends at
	// least every 0.3 s.
	lookAgainAfter = 500 * time.Millisecond
	// failedPeerPause is how long a peer comes after all others once a call to the store
	// through it has failed. Outages of the store for some gates last 5 to 6 s.
	failedPeerPause = 10 * time.Second
	// methodProcess returns the process ID of a gate, Options.Process, and whether it has
	// owned the cell.
	methodProcess = "who"
)

type processInfo struct {
	ID string `json:"id"`
	// Ended is the last epoch in which the process owned the cell and no longer does.
	Ended int64 `json:"ended,omitempty"`
	// Load is that of the appends of a process that owns the cell.
	Load hvshed.Load `json:"load,omitzero"`
}

// owns reports whether the process may still grant leases under a claim.
func (i processInfo) owns(c hvledger.Claim) bool { return i.ID == c.Process && i.Ended < c.Epoch }

// peers manages the connections to the other gates.
type peers struct {
	self   string
	nodes  func() []hvledger.Node
	clock  hv.Clock
	logger log.Logger

	// pool holds the connections to the other gates.
	pool *hvwire.Pool

	mu sync.Mutex
	// endedOwner is the claim of the last owner that was found to have ended.
	endedOwner hvledger.Claim
	// failedAt is, by address, when a call to the store through a peer failed, unless one
	// has succeeded since.
	failedAt map[string]time.Time
}

func newPeers(self string, nodes func() []hvledger.Node, clock hv.Clock, logger log.Logger) *peers {
	return &peers{self: self, nodes: nodes, clock: clock, logger: logger, pool: hvwire.NewPool(peerDialTimeout), failedAt: map[string]time.Time{}}
}

// Stores implements hvledger.Peers. Gates with more capacity come first, because
// relayed records use the bandwidth of the peer. Gates with equal capacity are in an
// order that differs from gate to gate, to spread the load. Those through which a call has
// just failed come last: the registration of a gate outlives it, and the store may turn
// several gates away.
func (p *peers) Stores() []hv.KeyedStore {
	var out []hv.KeyedStore
	nodes := p.nodes()
	failed := p.recentFailures()
	slices.SortFunc(nodes, func(a, b hvledger.Node) int {
		return cmp.Or(failed[a.Addr].Compare(failed[b.Addr]), cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(p.self+a.Name), xxhash.Sum64String(p.self+b.Name)))
	})
	for _, n := range nodes {
		if n.Gate && n.Name != p.self {
			out = append(out, &peerStore{peers: p, addr: n.Addr})
		}
	}
	return out
}

// recentFailures returns, by address, when a call through a peer failed within
// failedPeerPause.
func (p *peers) recentFailures() map[string]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	maps.DeleteFunc(p.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) > failedPeerPause })
	return maps.Clone(p.failedAt)
}

// recordCall records the result of a call to the store through a peer.
func (p *peers) recordCall(addr string, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if responded(err) {
		delete(p.failedAt, addr)
	} else {
		p.failedAt[addr] = p.clock.Now()
	}
}

// callStore calls a method of a peer that calls the store for this gate.
func callStore[Resp any](ctx context.Context, s *peerStore, method string, timeout time.Duration, req any) (Resp, error) {
	resp, err := hvwire.CallPeer[Resp](ctx, s.peers.pool, s.addr, method, timeout, req)
	s.peers.recordCall(s.addr, err)
	return resp, err
}

// peerStore accesses the platform's store through another gate.
type peerStore struct {
	peers *peers
	addr  string
}

// Append implements hibiscusvane.KeyedStore.
func (s *peerStore) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (int64, error) {
	resp, err := callStore[hvorder.AppendResult](ctx, s, hvorder.MethodAppend, peerCallTimeout, hvorder.Append{Topic: topic, Records: recs, Fence: f})
	return resp.End, err
}

// Read implements hibiscusvane.KeyedStore.
func (s *peerStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (hv.KeyedPage, error) {
	return callStore[hv.KeyedPage](ctx, s, hvorder.MethodRead, peerCallTimeout+wait, hvorder.Read{Topic: topic, From: from, Wait: wait.Milliseconds()})
}

// Newest implements hibiscusvane.KeyedStore.
func (s *peerStore) Newest(ctx context.Context, topic string) (hv.KeyedPage, error) {
	return callStore[hv.KeyedPage](ctx, s, hvorder.MethodNewest, peerCallTimeout, hvorder.Read{Topic: topic})
}

// relayMux returns the handlers that make calls to the store for other gates, and
// the handler of methodProcess.
func relayMux(r *hvledger.Relay, process func() processInfo) hvwire.Mux {
	m := hvwire.Mux{}
	hvwire.Handle(m, methodProcess, func(context.Context, *hvwire.Conn, struct{}) (processInfo, error) {
		return process(), nil
	})
	hvwire.Handle(m, hvorder.MethodAppend, func(ctx context.Context, _ *hvwire.Conn, req hvorder.Append) (resp hvorder.AppendResult, err error) {
		err = r.Direct(ctx, func(ctx context.Context, s hv.KeyedStore) error {
			resp.End, err = s.Append(ctx, req.Topic, req.Records, req.Fence)
			return err
		})
		return resp, err
	})
	hvwire.Handle(m, hvorder.MethodRead, func(ctx context.Context, _ *hvwire.Conn, req hvorder.Read) (page hv.KeyedPage, err error) {
		err = r.Direct(ctx, func(ctx context.Context, s hv.KeyedStore) error {
			page, err = s.Read(ctx, req.Topic, req.From, time.Duration(req.Wait)*time.Millisecond)
			return err
		})
		return page, err
	})
	hvwire.Handle(m, hvorder.MethodNewest, func(ctx context.Context, _ *hvwire.Conn, req hvorder.Read) (page hv.KeyedPage, err error) {
		err = r.Direct(ctx, func(ctx context.Context, s hv.KeyedStore) error {
			page, err = s.Newest(ctx, req.Topic)
			return err
		})
		return page, err
	})
	return m
}

// watchOwners detects the end of the owner's process sooner than missing heartbeats
// would show it. It is told the present claim, and for how long the owner has appended
// nothing.
func (p *peers) watchOwners(ctx context.Context, claim func() hvledger.Claim, silence func() time.Duration) {
	for ctx.Err() == nil {
		if c := claim(); c.Epoch > 0 && c.Name != p.self {
			p.watchOwner(ctx, c, func() bool { return claim().SameOwnership(c) && silence() < lookAgainAfter })
		}
		hvtick.Sleep(ctx, watchInterval)
	}
}

// watchOwner checks an owner. If it goes on, watchOwner returns when the connection to its
// process ends or it no longer appends as the present owner.
func (p *peers) watchOwner(ctx context.Context, c hvledger.Claim, appends func() bool) {
	if !p.ownerGoesOn(ctx, c) {
		return
	}
	conn, err := p.pool.Conn(ctx, c.Addr)
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		if hvtick.Wait(ctx, conn.Done(), watchInterval) || !appends() {
			return
		}
	}
}

// awaitEnd checks an owner that was replaced until it is known to have ended.
func (p *peers) awaitEnd(ctx context.Context, c hvledger.Claim) {
	for ctx.Err() == nil && !p.ownerEnded(c) {
		p.ownerGoesOn(ctx, c)
		hvtick.Sleep(ctx, watchInterval)
	}
}

// ownerGoesOn asks the process at the owner's address and reports whether it is the owner.
// If it is another process, no longer owns the cell, or none listens, it records the end of
// the owner.
func (p *peers) ownerGoesOn(ctx context.Context, c hvledger.Claim) bool {
	info, err := processAt(ctx, c.Addr)
	if err == nil && info.owns(c) {
		return true
	}
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	p.mu.Lock()
	known := p.endedOwner.SameOwnership(c)
	p.endedOwner = c
	p.mu.Unlock()
	if !known {
		_ = level.Info(p.logger).Log("msg", "owner of the cell has ended", "owner", c.Name, "epoch", c.Epoch, "err", err)
	}
	return false
}

// processAt asks the process at an address who it is. It asks on a connection of its own,
// because an older one may have gone silent.
func processAt(ctx context.Context, addr string) (processInfo, error) {
	dialCtx, cancel := context.WithTimeout(ctx, peerDialTimeout)
	defer cancel()
	conn, err := hvwire.Dial(dialCtx, addr, hvwire.Mux{})
	if err != nil {
		return processInfo{}, err
	}
	// The connection has served its purpose, whatever closing it returns.
	defer func() { _ = conn.Close() }()
	ctx, cancelCall := context.WithTimeout(ctx, peerCallTimeout)
	defer cancelCall()
	return hvwire.Call[processInfo](ctx, conn, methodProcess, struct{}{})
}

// ownerEnded reports whether an owner is known to have ended.
func (p *peers) ownerEnded(c hvledger.Claim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endedOwner.Process == c.Process && p.endedOwner.Epoch == c.Epoch
}
