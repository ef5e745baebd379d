// Package hvnode is the agent beside an executor. It carries out the orders of the
// owner of the cell, renews the leases of runs, reports their ends and protects
// the latency of serving tasks.
package hvnode

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvfence"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Executor is an executor whose calls can be limited to one incarnation.
type Executor interface {
	hv.Executor
	// SetExpectedInstance sets the identifier of the incarnation that later calls are meant
	// for; an empty identifier means any.
	SetExpectedInstance(id string)
}

// RegisterFunc stores the registration of this node.
type RegisterFunc func(ctx context.Context, h *hvorder.Host) error

// Deps are the dependencies of a Node.
type Deps struct {
	Clock    hv.Clock
	Executor Executor
	Register RegisterFunc
	// MaxLease is the longest lease that the executor grants.
	MaxLease time.Duration
	Metrics  *hvmetric.Registry
	Logger   log.Logger
}

// Node is the agent beside one executor.
type Node struct {
	deps Deps
	// interferingShare controls the best-effort work that interferes with serving
	// tasks or may do so, harmlessShare all other best-effort work.
	interferingShare, harmlessShare shareController
	// overTarget holds while a service is over its target, and overWithoutInterfering while
	// it is so although no interfering work runs.
	overTarget, overWithoutInterfering condition
	specs                              *specs

	mu sync.Mutex
	// host is the last announcement of the executor and executorID the identifier
	// of its incarnation.
	host       *hvorder.Host
	executorID string
	// beforeExit is the announcement before the notice that the executor exits, which came
	// at exitNoticedAt.
	beforeExit    hvorder.Host
	exitNoticedAt time.Time
	// ownerConn is the connection to the owner and epoch the owner's epoch.
	ownerConn *hvwire.Conn
	epoch     int64
	// token is the fencing token of calls to the executor, and cancelRenewal ends the lease
	// renewal that waits for a response.
	token         hvfence.Token
	cancelRenewal context.CancelFunc
	// lastOwnerContact is when the owner last attached or responded to a report.
	lastOwnerContact time.Time
	// executorState is the last state that the executor returned, and stateVersion
	// the version at which it was requested.
	executorState hv.ExecutorState
	stateVersion  stateVersion
	// stateKnown is false while the executor does not respond.
	stateKnown bool
	// incarnationConfirmed is false after a failed call until the executor has
	// listed its runs again: end numbers of the previous incarnation must not
	// acknowledge ends of a new one.
	incarnationConfirmed bool
	// aliveAt is when aliveLoop last recorded that this process runs.
	aliveAt      time.Time
	executorGone bool
	// refusals counts the consecutive renewals that found no executor, of the executor
	// that was announced last.
	refusals int
	// leaseEnd is the end of the granted leases on the executor's clock, and
	// ackedEnd the number of the last end that the owner has stored.
	leaseEnd int64
	ackedEnd int64
	// leaseBound is the latest time on the executor's clock until which calls for an earlier
	// incarnation may have extended leases.
	leaseBound int64
	// reportedEnd is the number of the last end that was reported.
	reportedEnd   int64
	reportedSaved map[hvorder.Run]string
	// progressReports selects runs to report because of their progress.
	progressReports progressReports
	pendingStarts   map[hvorder.Run]bool
	profiles        map[hvorder.Run]hvorder.Profile
	// effects holds the images that interfere with the serving tasks of the host,
	// as in a grant; it is nil until the first grant.
	effects map[string]int64
	// tails and loads hold the newest measurement; tailChanges and loadChanges
	// hold its difference to the previous one until they are reported.
	lastMeasured time.Time
	tails        map[hvorder.Run]int
	loads        map[string]int64
	tailChanges  []hvorder.TailChange
	loadChanges  map[string]int64
	// shares holds the CPU shares of best-effort runs.
	shares map[hvorder.Run]runShare
	// progress holds the progress of the runs in the last list, and progressClock its time on
	// the executor's clock.
	progress      map[hvorder.Run]*runProgress
	progressClock int64
	// startsInFlight counts the start calls without a response yet and startCalls
	// all of them. A call may reach an incarnation of the executor that began
	// after the start was ordered.
	startsInFlight int
	startCalls     int64
	refused        []hvorder.Refusal
	began          []string
	// withdrawDue is true from the announcement of a smaller capacity, or that the executor
	// drains, until the starts without a response are withdrawn.
	withdrawDue  bool
	stopped      []hvorder.Run
	lastEnds     lastEnds
	hostReported bool
	crash        crashTracker
	// fullReported is true once the owner has been sent a full report, and listWanted if it
	// has asked for another one since. digestAt is when it was last sent one or a digest.
	fullReported, listWanted bool
	digestAt                 time.Time
	// batch is the number of the last orders on the owner's connection.
	batch int64
	// attachments counts the attempts of owners to attach.
	attachments int64

	wakeReport   chan struct{}
	wakeRenew    chan struct{}
	wakeRegister chan struct{}
	wakeWithdraw chan struct{}
}

// New returns a node that is not attached to an owner.
func New(deps Deps) *Node {
	return &Node{
		deps:          deps,
		cancelRenewal: func() {},
		specs:         newSpecs(),
		reportedSaved: map[hvorder.Run]string{},
		pendingStarts: map[hvorder.Run]bool{},
		profiles:      map[hvorder.Run]hvorder.Profile{},
		shares:        map[hvorder.Run]runShare{},
		progress:      map[hvorder.Run]*runProgress{},
		wakeReport:    make(chan struct{}, 1),
		wakeRenew:     make(chan struct{}, 1),
		wakeRegister:  make(chan struct{}, 1),
		wakeWithdraw:  make(chan struct{}, 1),
	}
}

// Run renews leases, reports, registers and withdraws starts until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){n.renewLoop, n.reportLoop, n.registerLoop, n.withdrawLoop, n.aliveLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// Mux returns the methods that the owner calls.
func (n *Node) Mux(ctx context.Context) hvwire.Mux {
	m := hvwire.Mux{}
	hvwire.Handle(m, hvorder.MethodAttach, func(_ context.Context, c *hvwire.Conn, req hvorder.Attach) (hvorder.Report, error) {
		return n.attach(ctx, c, req)
	})
	hvwire.Handle(m, hvorder.MethodOrders, func(_ context.Context, c *hvwire.Conn, req hvorder.Orders) (struct{}, error) {
		return struct{}{}, n.handleOrders(ctx, c, req)
	})
	return m
}
