// Package hventry implements a gate, the process on an entry host: it accepts jobs
// from callers, reports their state, and owns the cell while it is elected.
package hventry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	lru "github.com/hashicorp/golang-lru/v2"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvcell"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvowner"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// ownerReadInterval and followerReadInterval are the time between reads of the
	// topic while reads return records. The owner starts the jobs that it reads,
	// followers only report their state.
	ownerReadInterval    = 15 * time.Millisecond
	followerReadInterval = 80 * time.Millisecond
	// maxReplicaAge is the maximum time since the last read up to which a gate that
	// cannot read the topic refuses a request for an unknown job instead of leaving
	// its outcome uncertain.
	maxReplicaAge = 3 * time.Second
	// submitRetryInterval is the time between the attempts to store a record.
	submitRetryInterval = 60 * time.Millisecond
	// syncTimeout limits the read that checks whether another gate has just accepted
	// a job.
	syncTimeout = 800 * time.Millisecond
)

// Options configure a Gate.
type Options struct {
	Name, Zone, Addr string
	// Capacity is the CPU capacity of the host in thousandths of a core; gates with
	// more capacity are preferred as owner of the cell.
	Capacity int64
	// Process is unique to each start of this gate.
	Process string
	Store   hv.KeyedStore
	// StoreLimits bounds the records and appends of the store.
	StoreLimits hvledger.Limits
	// Adviser is nil if no advice service is configured.
	Adviser hv.Adviser
	// CellTopic is the topic of the cell's records.
	CellTopic  string
	Operators  OperatorRecords
	EarlyStart time.Duration
	Retention  time.Duration
	Policy     hvcell.Policy
	Clock      hv.Clock
	Metrics    *hvmetric.Registry
	Logger     log.Logger
}

// Gate accepts jobs from callers and takes part in the election of the owner.
type Gate struct {
	options   Options
	relay     *hvledger.Relay
	admission *admission
	direct    *directWriter
	peers     *peers
	replica   *hvledger.Replica
	tailer    *hvledger.Tailer
	operators *operatorConsumer
	// submitted holds the work descriptions of the last submissions, by job.
	submitted *lru.Cache[string, string]
	// notReady is set when the process begins to stop.
	notReady atomic.Bool
	// passing serializes passOperatorState.
	passing sync.Mutex
	// endedEpoch is the last epoch in which this gate owned the cell and no longer does.
	endedEpoch atomic.Int64
	// earlyCancelPuts holds a value for each cancellation of an unknown job that is being stored.
	earlyCancelPuts chan struct{}
	// handingOver serializes handOver and the changes that are passed to the owner.
	handingOver sync.Mutex

	mu    sync.Mutex
	owner *hvowner.Owner
	// skipOwnerUntil is the time until which the owner is not asked to store
	// records.
	skipOwnerUntil time.Time
}

// New returns a gate.
func New(o Options) *Gate {
	g := &Gate{options: o, submitted: newSubmittedSpecs(), earlyCancelPuts: make(chan struct{}, maxEarlyCancelPuts)}
	g.replica = hvledger.NewReplica(o.Clock, o.Logger, g)
	g.peers = newPeers(o.Name, g.replica.Nodes, o.Clock, o.Logger)
	g.admission = newAdmission(o.Clock, o.Metrics, o.Logger)
	g.relay = hvledger.NewRelay(&measuredStore{KeyedStore: o.Store, admission: g.admission}, measuredPeers{g.peers, g.admission}, o.Clock, o.Logger)
	g.direct = &directWriter{store: g.relay, topic: o.CellTopic, clock: o.Clock, response: g.admission.response}
	g.tailer = hvledger.NewTailer(g.relay, o.CellTopic, g.replica, g.readInterval, o.Logger)
	g.operators = newOperatorConsumer(o.Operators, o.Logger, g.passOperatorState)
	return g
}

// Mux returns the handlers of the methods that other gates call.
func (g *Gate) Mux() hvwire.Mux {
	m := relayMux(g.relay, g.processInfo)
	hvwire.Handle(m, methodPut, g.servePut)
	hvwire.Handle(m, hvorder.MethodSpec, g.serveSpec)
	return m
}

func (g *Gate) processInfo() processInfo {
	i := processInfo{ID: g.options.Process, Ended: g.endedEpoch.Load()}
	if o := g.currentOwner(); o != nil {
		i.Load = g.admission.ownLoad(o.Queued())
	}
	return i
}

// readInterval returns the time between reads of the topic while reads return
// records.
func (g *Gate) readInterval() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.owner != nil {
		return ownerReadInterval
	}
	return followerReadInterval
}

// Run runs the gate until ctx ends. The gate owns the cell no longer than until
// ownerCtx ends.
func (g *Gate) Run(ownerCtx, ctx context.Context) {
	operatorTailer := hvledger.NewLatestTailer(g.relay, g.options.Operators.Topic, g.operators, func() time.Duration { return followerReadInterval }, g.options.Logger)
	var loops sync.WaitGroup
	loops.Go(func() { g.tailer.Run(ctx) })
	loops.Go(func() { operatorTailer.Run(ctx) })
	loops.Go(func() { g.register(ctx) })
	loops.Go(func() { g.checkGates(ctx) })
	loops.Go(func() { g.probeStore(ctx) })
	loops.Go(func() { g.removeEarlyCancels(ctx) })
	loops.Go(func() {
		g.peers.watchOwners(ctx, func() hvledger.Claim {
			c, _ := g.replica.Claim()
			return c
		}, g.replica.SinceOwnerRecord)
	})
	loops.Go(func() { g.runElections(ownerCtx) })
	loops.Wait()
}

// probeStore checks whether the store is back while it responds to nobody.
func (g *Gate) probeStore(ctx context.Context) {
	hvtick.Every(ctx, downProbeInterval, func() {
		g.admission.tick()
		if g.admission.down() {
			// The result is recorded by the relay and by the admission control.
			go func() { _ = g.relay.Probe(ctx, g.options.CellTopic, g.replica.Next()) }()
		}
	})
}

// runElections takes part in elections, and runs the owner after each election that
// this gate wins. It takes part only once the operators' records are loaded: an owner
// that does not know the evacuated zones would start tasks there.
func (g *Gate) runElections(ctx context.Context) {
	for g.Catalog() == nil && ctx.Err() == nil {
		hvtick.Sleep(ctx, followerReadInterval)
	}
	o := g.options
	self := hvledger.Claim{Name: o.Name, Addr: o.Addr, Process: o.Process}
	e := hvledger.NewElector(g.replica, g.tailer, g.relay, o.CellTopic, self, g.peers.ownerEnded, g.admission.storeIsSlow, o.Logger)
	for ctx.Err() == nil {
		w := e.Wait(ctx)
		if w == nil {
			return
		}
		g.runOwner(ctx, w)
	}
}

func (g *Gate) runOwner(ctx context.Context, w *hvledger.Writer) {
	defer g.endedEpoch.Store(w.Claim().Epoch)
	if err := g.tailer.Sync(ctx); err != nil {
		_ = level.Warn(g.options.Logger).Log("msg", "topic could not be read after the claim of the cell", "err", err)
	}
	stored, claimOffset := g.replica.Claim()
	if !stored.SameOwnership(w.Claim()) {
		_ = level.Warn(g.options.Logger).Log("msg", "claim of this gate is not the latest one in the topic; the cell is not taken over", "epoch", w.Claim().Epoch, "owner", stored.Name, "read", stored.Epoch)
		return
	}
	owner := hvowner.New(hvowner.Options{
		Writer: w, PreviousEnded: func() bool { return g.peers.ownerEnded(w.Previous()) }, ClaimOffset: claimOffset, Learned: g.replica.Learned(), StoreFailed: g.relay.Failed, StoreResponse: g.admission.response, StoreLimits: g.options.StoreLimits, Adviser: g.options.Adviser, EarlyStart: g.options.EarlyStart, Retention: g.options.Retention,
		Policy: g.options.Policy, Clock: g.options.Clock, Metrics: g.options.Metrics, Logger: g.options.Logger,
	})
	g.handOver(owner)
	watchCtx, cancel := context.WithTimeout(ctx, w.PreviousAuthority())
	var watch sync.WaitGroup
	watch.Go(func() { g.peers.awaitEnd(watchCtx, w.Previous()) })
	owner.Run(ctx)
	cancel()
	watch.Wait()
	g.mu.Lock()
	g.owner = nil
	g.mu.Unlock()
}

// handOver passes the nodes and jobs in the replica to a new owner. Changes wait until
// then: passed before the older state they would be undone by it. The owner may see a
// change twice, in the lists and as a notification.
func (g *Gate) handOver(owner *hvowner.Owner) {
	g.handingOver.Lock()
	defer g.handingOver.Unlock()
	g.mu.Lock()
	g.owner = owner
	g.mu.Unlock()
	g.passOperatorState()
	for _, n := range g.replica.Nodes() {
		owner.NodeChanged(n, false)
	}
	for _, e := range g.replica.Jobs() {
		owner.JobChanged(e)
	}
}

func (g *Gate) currentOwner() *hvowner.Owner {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.owner
}

// JobChanged implements hvledger.Observer.
func (g *Gate) JobChanged(e hvledger.Entry) {
	g.handingOver.Lock()
	defer g.handingOver.Unlock()
	if o := g.currentOwner(); o != nil {
		o.JobChanged(e)
	}
}

// NodeChanged implements hvledger.Observer.
func (g *Gate) NodeChanged(n hvledger.Node, dropped bool) {
	g.handingOver.Lock()
	defer g.handingOver.Unlock()
	if o := g.currentOwner(); o != nil {
		o.NodeChanged(n, dropped)
	}
}

// ClaimChanged implements hvledger.Observer.
func (g *Gate) ClaimChanged(c hvledger.Claim) {
	_ = level.Info(g.options.Logger).Log("msg", "owner of the cell changed", "owner", c.Name, "epoch", c.Epoch, "released", c.Released)
	g.options.Metrics.Set("hv_owner_epoch", c.Epoch)
	g.admission.ownerChanged()
	if o := g.currentOwner(); o != nil && c.Process != g.options.Process {
		o.ClaimChanged(c)
	}
}

// passOperatorState passes the catalog and the evacuated zones to the owner in this
// process, if there is one. It reads them under the lock, so that the last call
// passes the newest state whichever caller makes it.
func (g *Gate) passOperatorState() {
	g.passing.Lock()
	defer g.passing.Unlock()
	c, zones := g.Catalog(), g.operators.evacuatedZones()
	g.options.Metrics.Set("hv_evacuated_zones", int64(len(zones)))
	if c != nil {
		g.options.Metrics.Set("hv_catalog_version", c.Version)
	}
	o := g.currentOwner()
	if o == nil {
		return
	}
	o.SetEvacuated(zones)
	if c != nil {
		o.SetCatalog(c)
	}
}

// IsOwner reports whether this gate owns the cell.
func (g *Gate) IsOwner() bool { return g.currentOwner() != nil }
