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
	// peerDial bounds a connection to another gate.
	peerDial = 300 * time.Millisecond
	// peerCall bounds a relayed call beyond the wait of a read.
	peerCall = 1300 * time.Millisecond
	// watchPause separates looks at the owner's process.
	watchPause = 200 * time.Millisecond
	// methodWho asks a gate for its process.
	methodWho = "who"
)

type process struct {
	ID string `json:"id"`
}

// peers keeps connections to the other gates.
type peers struct {
	self   string
	nodes  func() []hvledger.Node
	logger log.Logger

	mu    sync.Mutex
	conns map[string]*hvwire.Conn
	// gone is the owner whose process has ended.
	gone hvledger.Claim
}

func newPeers(self string, nodes func() []hvledger.Node, logger log.Logger) *peers {
	return &peers{self: self, nodes: nodes, logger: logger, conns: map[string]*hvwire.Conn{}}
}

// Stores implements hvledger.Peers. The gates with the most capacity come first,
// in an order among equals that differs from gate to gate: relayed records take
// the bandwidth of the peer.
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

func (p *peers) conn(ctx context.Context, addr string) (*hvwire.Conn, error) {
	p.mu.Lock()
	c := p.conns[addr]
	p.mu.Unlock()
	if c != nil {
		select {
		case <-c.Done():
		default:
			return c, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, peerDial)
	defer cancel()
	c, err := hvwire.Dial(ctx, addr, hvwire.Mux{})
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns[addr] = c
	return c, nil
}

// drop closes a connection that does not answer.
func (p *peers) drop(addr string, c *hvwire.Conn) {
	p.mu.Lock()
	if p.conns[addr] == c {
		delete(p.conns, addr)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// call calls a method of another gate.
func call[Ans any](ctx context.Context, p *peers, addr, method string, limit time.Duration, req any) (Ans, error) {
	var ans Ans
	c, err := p.conn(ctx, addr)
	if err != nil {
		return ans, err
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	ans, err = hvwire.Call[Ans](ctx, c, method, req)
	if err != nil && ctx.Err() != nil {
		p.drop(addr, c)
		return ans, failure(method, hv.Uncertain, "no answer from %s", addr)
	}
	return ans, err
}

// peerStore is the platform's store as another gate reaches it.
type peerStore struct {
	peers *peers
	addr  string
}

// Append implements hibiscusvane.KeyedStore.
func (s *peerStore) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (int64, error) {
	ans, err := call[hvorder.AppendResult](ctx, s.peers, s.addr, hvorder.MethodAppend, peerCall, hvorder.Append{Topic: topic, Records: recs, Fence: f})
	return ans.End, err
}

// Read implements hibiscusvane.KeyedStore.
func (s *peerStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (hv.KeyedPage, error) {
	return call[hv.KeyedPage](ctx, s.peers, s.addr, hvorder.MethodRead, peerCall+wait, hvorder.Read{Topic: topic, From: from, Wait: wait.Milliseconds()})
}

// Newest implements hibiscusvane.KeyedStore.
func (s *peerStore) Newest(ctx context.Context, topic string) (hv.KeyedPage, error) {
	return call[hv.KeyedPage](ctx, s.peers, s.addr, hvorder.MethodNewest, peerCall, hvorder.Read{Topic: topic})
}

// relayed returns the methods that serve calls to the store for other gates.
func relayed(r *hvledger.Relay, id string) hvwire.Mux {
	m := hvwire.Mux{}
	hvwire.Handle(m, methodWho, func(context.Context, *hvwire.Conn, struct{}) (process, error) {
		return process{ID: id}, nil
	})
	hvwire.Handle(m, hvorder.MethodAppend, func(ctx context.Context, _ *hvwire.Conn, req hvorder.Append) (ans hvorder.AppendResult, err error) {
		err = r.Direct(ctx, func(ctx context.Context, s hv.KeyedStore) error {
			ans.End, err = s.Append(ctx, req.Topic, req.Records, req.Fence)
			return err
		})
		return ans, err
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

// watch notices the end of the owner's process before its silence tells.
func (p *peers) watch(ctx context.Context, claim func() hvledger.Claim) {
	for ctx.Err() == nil {
		if c := claim(); c.Epoch > 0 && c.Name != p.self {
			p.watchOwner(ctx, c)
		}
		hvtick.Sleep(ctx, watchPause)
	}
}

// watchOwner returns when the connection to the owner has ended.
func (p *peers) watchOwner(ctx context.Context, c hvledger.Claim) {
	who, err := call[process](ctx, p, c.Addr, methodWho, peerCall, struct{}{})
	switch {
	case err == nil && who.ID == c.Process:
		conn, err := p.conn(ctx, c.Addr)
		if err != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-conn.Done():
		}
	case err == nil || errors.Is(err, syscall.ECONNREFUSED):
		p.mu.Lock()
		known := p.gone == c
		p.gone = c
		p.mu.Unlock()
		if !known {
			_ = level.Info(p.logger).Log("msg", "process of the owner has ended", "owner", c.Name, "epoch", c.Epoch, "err", err)
		}
	}
}

// isGone reports whether the process of an owner has ended.
func (p *peers) isGone(c hvledger.Claim) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gone.Process == c.Process && p.gone.Epoch == c.Epoch
}
