// Package hventry runs on an entry host: it takes jobs from callers, answers
// for their state, and owns the cell when it is elected.
package hventry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvowner"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// ownerReadInterval and followerSpacing separate reads of the topic that
	// returned records. The owner starts what it reads, followers only answer
	// for it.
	ownerReadInterval    = 15 * time.Millisecond
	followerReadInterval = 80 * time.Millisecond
	// maxReplicaAge is the age up to which a replica can tell that a job does
	// not exist.
	maxReplicaAge = 3 * time.Second
	// submitRetryInterval separates repeats of a submission without an answer, and
	// submitLimit bounds them below the patience of callers.
	submitRetryInterval = 60 * time.Millisecond
	submitTimeout       = 2200 * time.Millisecond
	// registerRetryInterval separates repeats of a registration.
	registerRetryInterval = 400 * time.Millisecond
	// syncTimeout bounds the question whether a job has just been accepted.
	syncTimeout = 800 * time.Millisecond
	// retryAfterOutage is when a caller that was refused should come back.
	retryAfterOutage = time.Second
)

// Options are what a Gate works with.
type Options struct {
	Name, Zone, Addr string
	// Capacity is that of the machine in thousandths of a core; gates with more
	// of it own the cell first.
	Capacity int64
	// Process distinguishes the incarnations of this gate.
	Process string
	Store   hv.KeyedStore
	// Adviser is nil where no service gives advice.
	Adviser hv.Adviser
	// CellTopic holds the cell, Published what operators publish under Key.
	CellTopic, CatalogTopic, CatalogKey string
	// DecodeCatalog decodes what operators publish.
	DecodeCatalog func([]byte) (*hvjob.Catalog, error)
	EarlyStart    time.Duration
	Retention     time.Duration
	Clock         hv.Clock
	Metrics       *hvmetric.Registry
	Logger        log.Logger
}

// Gate is one gate.
type Gate struct {
	options Options
	relay   *hvledger.Relay
	peers   *peers
	replica *hvledger.Replica
	tailer  *hvledger.Tailer
	catalog *catalogConsumer
	// notReady is set once the process stops.
	notReady atomic.Bool

	mu    sync.Mutex
	owner *hvowner.Owner
	// skipOwnerUntil is the earliest time to have the owner store a record.
	skipOwnerUntil time.Time
}

// New returns a gate.
func New(o Options) *Gate {
	g := &Gate{options: o}
	g.replica = hvledger.NewReplica(o.Clock, o.Logger, g)
	g.peers = newPeers(o.Name, g.replica.Nodes, o.Logger)
	g.relay = hvledger.NewRelay(o.Store, g.peers, o.Clock, o.Logger)
	g.tailer = hvledger.NewTailer(g.relay, o.CellTopic, g.replica, g.readInterval, o.Logger)
	g.catalog = newCatalogConsumer(o.CatalogKey, o.DecodeCatalog, o.Logger, g.catalogChanged)
	return g
}

// Mux returns the methods that other gates call.
func (g *Gate) Mux() hvwire.Mux {
	m := relayMux(g.relay, g.options.Process)
	hvwire.Handle(m, methodPut, g.servePut)
	return m
}

// readInterval separates reads that returned records.
func (g *Gate) readInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner != nil {
		return ownerReadInterval
	}
	return followerReadInterval
}

// Run works until ctx ends. It owns the cell at most until owning ends.
func (g *Gate) Run(ownerCtx, ctx context.Context) {
	catalogTailer := hvledger.NewLatestTailer(g.relay, g.options.CatalogTopic, g.catalog, func() time.Duration { return followerReadInterval }, g.options.Logger)
	var loops sync.WaitGroup
	loops.Go(func() { g.tailer.Run(ctx) })
	loops.Go(func() { catalogTailer.Run(ctx) })
	loops.Go(func() { g.register(ctx) })
	loops.Go(func() {
		g.peers.watchOwners(ctx, func() hvledger.Claim {
			c, _ := g.replica.Claim()
			return c
		})
	})
	loops.Go(func() { g.runElections(ownerCtx) })
	loops.Wait()
}

// register registers this gate.
func (g *Gate) register(ctx context.Context) {
	self := hvledger.Node{Name: g.options.Name, Zone: g.options.Zone, Addr: g.options.Addr, Gate: true, Capacity: g.options.Capacity}
	for ctx.Err() == nil {
		err := hvledger.Register(ctx, g.relay, g.options.CellTopic, self)
		if err == nil {
			return
		}
		_ = level.Warn(g.options.Logger).Log("msg", "registration failed", "err", err)
		hvtick.Sleep(ctx, registerRetryInterval)
	}
}

// runElections owns the cell whenever it has no owner.
func (g *Gate) runElections(ctx context.Context) {
	o := g.options
	self := hvledger.Claim{Name: o.Name, Addr: o.Addr, Process: o.Process}
	e := hvledger.NewElector(g.replica, g.tailer, g.relay, o.CellTopic, self, g.peers.ownerEnded, o.Logger)
	for ctx.Err() == nil {
		w := e.Wait(ctx)
		if w == nil {
			return
		}
		g.runOwner(ctx, w)
	}
}

func (g *Gate) runOwner(ctx context.Context, w *hvledger.Writer) {
	if err := g.tailer.Sync(ctx); err != nil {
		_ = level.Warn(g.options.Logger).Log("msg", "claim is not read back", "err", err)
	}
	stored, claimOffset := g.replica.Claim()
	if stored != w.Claim() {
		_ = level.Warn(g.options.Logger).Log("msg", "claim is not in the topic", "epoch", w.Claim().Epoch, "owner", stored.Name, "read", stored.Epoch)
		return
	}
	owner := hvowner.New(hvowner.Options{
		Writer: w, ClaimOffset: claimOffset, Learned: g.replica.Learned(), StoreFailed: g.relay.Failed, Adviser: g.options.Adviser, Early: g.options.EarlyStart, Retain: g.options.Retention,
		Clock: g.options.Clock, Metrics: g.options.Metrics, Logger: g.options.Logger,
	})
	if c := g.Catalog(); c != nil {
		owner.SetCatalog(c)
	}
	g.mu.Lock()
	g.owner = owner
	g.mu.Unlock()
	// Changes may be seen twice, by the lists and as they come.
	for _, n := range g.replica.Nodes() {
		owner.NodeChanged(n, false)
	}
	for _, e := range g.replica.Jobs() {
		owner.JobChanged(e)
	}
	owner.Run(ctx)
	g.mu.Lock()
	g.owner = nil
	g.mu.Unlock()
}

func (g *Gate) currentOwner() *hvowner.Owner {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner
}

// JobChanged implements hvledger.Observer.
func (g *Gate) JobChanged(e hvledger.Entry) {
	if o := g.currentOwner(); o != nil {
		o.JobChanged(e)
	}
}

// NodeChanged implements hvledger.Observer.
func (g *Gate) NodeChanged(n hvledger.Node, dropped bool) {
	if o := g.currentOwner(); o != nil {
		o.NodeChanged(n, dropped)
	}
}

// ClaimChanged implements hvledger.Observer.
func (g *Gate) ClaimChanged(c hvledger.Claim) {
	_ = level.Info(g.options.Logger).Log("msg", "owner has changed", "owner", c.Name, "epoch", c.Epoch, "released", c.Released)
	g.options.Metrics.Set("hv_owner_epoch", c.Epoch)
	if o := g.currentOwner(); o != nil && c.Process != g.options.Process {
		o.ClaimChanged(c)
	}
}

func (g *Gate) catalogChanged(c *hvjob.Catalog) {
	g.options.Metrics.Set("hv_catalog_version", c.Version)
	if o := g.currentOwner(); o != nil {
		o.SetCatalog(c)
	}
}

// IsOwner reports whether this gate owns the cell.
func (g *Gate) IsOwner() bool { return g.currentOwner() != nil }
