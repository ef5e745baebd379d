package hventry

import (
	"cmp"
	"context"
	"errors"
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
	// methodProcess returns the process ID of a gate, Options.Process, and whether it has
	// owned the cell.
	methodProcess = "who"
)

type processInfo struct {
	ID string `json:"id"`
	// Ended is the last epoch in which the process owned the cell and no longer does.
	Ended int64 `json:"ended,omitempty"`
}

// owns reports whether the process may still grant leases under a claim.
func (i processInfo) owns(c hvledger.Claim) bool { return i.ID == c.Process && i.Ended < c.Epoch }

// peers manages the connections to the other gates.
type peers struct {
	self   string
	nodes  func() []hvledger.Node
	logger log.Logger

	// pool holds the connections to the other gates.
	pool *hvwire.Pool

	mu sync.Mutex
	// endedOwner is the claim of the last owner that was found to have ended.
	endedOwner hvledger.Claim
}

func newPeers(self string, nodes func() []hvledger.Node, logger log.Logger) *peers {
	return &peers{self: self, nodes: nodes, logger: logger, pool: hvwire.NewPool(peerDialTimeout)}
}

// Stores implements hvledger.Peers. Gates with more capacity come first, because
// relayed records use the bandwidth of the peer. Gates with equal capacity are in an
// order that differs from gate to gate, to spread the load.
func (p *peers) Stores() []hv.KeyedStore {
	var out []hv.KeyedStore
	nodes := p.nodes()
	slices.SortFunc(nodes, func(a, b hvledger.Node) int {
		return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(xxhash.Sum64String(p.self+a.Name), xxhash.Sum64String(p.self+b.Name)))
	})
	for _, n := range nodes {
		if n.Gate && n.Name != p.self {
			out = append(out, &peerStore{peers: p, addr: n.Addr})
		}
	}
	return out
}

// peerStore accesses the platform's store through another gate.
type peerStore struct {
	peers *peers
	addr  string
}

// Append implements hibiscusvane.KeyedStore.
func (s *peerStore) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (int64, error) {
	resp, err := hvwire.CallPeer[hvorder.AppendResult](ctx, s.peers.pool, s.addr, hvorder.MethodAppend, peerCallTimeout, hvorder.Append{Topic: topic, Records: recs, Fence: f})
	return resp.End, err
}

// Read implements hibiscusvane.KeyedStore.
func (s *peerStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (hv.KeyedPage, error) {
	return hvwire.CallPeer[hv.KeyedPage](ctx, s.peers.pool, s.addr, hvorder.MethodRead, peerCallTimeout+wait, hvorder.Read{Topic: topic, From: from, Wait: wait.Milliseconds()})
}

// Newest implements hibiscusvane.KeyedStore.
func (s *peerStore) Newest(ctx context.Context, topic string) (hv.KeyedPage, error) {
	return hvwire.CallPeer[hv.KeyedPage](ctx, s.peers.pool, s.addr, hvorder.MethodNewest, peerCallTimeout, hvorder.Read{Topic: topic})
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
// would show it.
func (p *peers) watchOwners(ctx context.Context, claim func() hvledger.Claim) {
	for ctx.Err() == nil {
		if c := claim(); c.Epoch > 0 && c.Name != p.self {
			p.watchOwner(ctx, c)
		}
		hvtick.Sleep(ctx, watchInterval)
	}
}

// watchOwner checks an owner. If it goes on, watchOwner returns when the connection to its
// process ends.
func (p *peers) watchOwner(ctx context.Context, c hvledger.Claim) {
	if !p.ownerGoesOn(ctx, c) {
		return
	}
	conn, err := p.pool.Conn(ctx, c.Addr)
	if err != nil {
		return
	}
	select {
	case <-ctx.Done():
	case <-conn.Done():
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
	info, err := hvwire.CallPeer[processInfo](ctx, p.pool, c.Addr, methodProcess, peerCallTimeout, struct{}{})
	if err == nil && info.owns(c) {
		return true
	}
	if err != nil && !errors.Is(err, syscall.ECONNREFUSED) {
		return false
	}
	p.mu.Lock()
	known := p.endedOwner == c
	p.endedOwner = c
	p.mu.Unlock()
	if !known {
		_ = level.Info(p.logger).Log("msg", "owner of the cell has ended", "owner", c.Name, "epoch", c.Epoch, "err", err)
	}
	return false
}

// ownerEnded reports whether an owner is known to have ended.
func (p *peers) ownerEnded(c hvledger.Claim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endedOwner.Process == c.Process && p.endedOwner.Epoch == c.Epoch
}
