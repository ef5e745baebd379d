// Package hvnode is the agent beside an executor. It carries out the orders of the
// owner of the cell, renews the leases of runs, reports their ends and protects
// the latency of serving tasks.
package hvnode

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
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
	Metrics  *hvmetric.Registry
	Logger   log.Logger
}

// Node is the agent beside one executor.
type Node struct {
	deps Deps
	// interferingShare controls the best-effort work that interferes with serving
	// tasks or may do so, harmlessShare all other best-effort work.
	interferingShare, harmlessShare shareController
	// overTargetSince is since when a service is over its target, and overSince since when
	// it is so although no interfering work runs; both are zero if none is.
	overTargetSince, overSince time.Time
	specs                      *specs

	mu sync.Mutex
	// host is the last announcement of the executor and executorID the identifier
	// of its incarnation.
	host       *hvorder.Host
	executorID string
	// ownerConn is the connection to the owner and epoch the owner's epoch.
	ownerConn *hvwire.Conn
	epoch     int64
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
	executorGone         bool
	// refusals counts the consecutive renewals that found no executor, of the executor
	// that was announced last.
	refusals int
	// leaseEnd is the end of the granted leases on the executor's clock, and
	// ackedEnd the number of the last end that the owner has stored.
	leaseEnd int64
	ackedEnd int64
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
	// shares holds the last CPU share in percent that was set for each run.
	shares   map[hvorder.Run]int
	progress map[hvorder.Run]*runProgress
	// startsInFlight counts the start calls without a response yet and startCalls
	// all of them. A call may reach an incarnation of the executor that began
	// after the start was ordered.
	startsInFlight int
	startCalls     int64
	refused        []hvorder.Refusal
	began          []string
	// capacityShrunk is true from the announcement of a smaller capacity until the starts
	// without a response are withdrawn.
	capacityShrunk bool
	stopped        []hvorder.Run
	// lastEnds holds the unacknowledged ends of executors that have ended.
	lastEnds     []hv.RunEnd
	hostReported bool
	crash        crashTracker
	// fullReported is true once the owner has been sent a full report, and digestAt when
	// it was last sent one or a digest.
	fullReported bool
	digestAt     time.Time
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
		specs:         newSpecs(),
		reportedSaved: map[hvorder.Run]string{},
		pendingStarts: map[hvorder.Run]bool{},
		profiles:      map[hvorder.Run]hvorder.Profile{},
		shares:        map[hvorder.Run]int{},
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
	for _, loop := range []func(context.Context){n.renewLoop, n.reportLoop, n.registerLoop, n.withdrawLoop} {
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
	hvwire.Handle(m, hvorder.MethodOrders, func(_ context.Context, _ *hvwire.Conn, req hvorder.Orders) (struct{}, error) {
		return struct{}{}, n.handleOrders(ctx, req)
	})
	return m
}

// Announce handles a heartbeat of the executor with the identifier id.
func (n *Node) Announce(id string, h hvorder.Host) {
	n.mu.Lock()
	old := n.host
	if old != nil && !old.Capacity.Fits(h.Capacity) {
		n.capacityShrunk = true
		hvtick.Wake(n.wakeWithdraw)
	}
	n.host, n.executorID = &h, id
	if h.Draining {
		n.crash.leaving = h.Incarnation
	}
	changed := old == nil || old.Incarnation != h.Incarnation || old.Draining != h.Draining || old.Capacity != h.Capacity || old.Service != h.Service || (old.ColdMillis > 0) != (h.ColdMillis > 0)
	if changed {
		n.hostReported = false
		n.executorGone, n.refusals = false, 0
	}
	n.mu.Unlock()
	if !changed {
		return
	}
	n.deps.Executor.SetExpectedInstance(id)
	_ = level.Info(n.deps.Logger).Log("msg", "heartbeat announced a new or changed executor", "id", id, "life", h.Incarnation, "draining", h.Draining, "rack", h.Rack)
	hvtick.Wake(n.wakeRegister)
	hvtick.Wake(n.wakeReport)
	hvtick.Wake(n.wakeRenew)
}

// Leave handles the executor's notice that it exits.
func (n *Node) Leave(id string) {
	n.mu.Lock()
	if n.executorID != id {
		n.mu.Unlock()
		return
	}
	if n.host != nil {
		h := *n.host
		h.Draining, h.Exiting = true, true
		n.host = &h
		n.crash.leaving = h.Incarnation
	}
	n.hostReported = false
	n.mu.Unlock()
	_ = level.Info(n.deps.Logger).Log("msg", "executor announced that it exits", "id", id)
	hvtick.Wake(n.wakeReport)
}

// attach accepts a connection as that of the owner and returns a report.
func (n *Node) attach(ctx context.Context, c *hvwire.Conn, req hvorder.Attach) (hvorder.Report, error) {
	n.mu.Lock()
	if req.Epoch < n.epoch {
		epoch := n.epoch
		n.mu.Unlock()
		return hvorder.Report{}, failure("attach", hv.Conflict, "epoch %d is below epoch %d of the last owner", req.Epoch, epoch)
	}
	if req.Epoch > n.epoch {
		// The executor refuses starts of older owners once it has received the renewal
		// below.
		n.pendingStarts = map[hvorder.Run]bool{}
		n.leaseEnd = 0
	}
	// Until the response nothing is reported: the owner would process older lists after
	// the ones in the response.
	n.epoch, n.ownerConn, n.lastOwnerContact, n.batch = req.Epoch, nil, n.deps.Clock.Now(), 0
	n.attachments++
	attachment := n.attachments
	n.progressReports = progressReports{wanted: req.Progress}
	n.refused, n.stopped, n.fullReported = nil, nil, false
	n.crash.attached()
	n.repeatStalls()
	n.mu.Unlock()
	_ = level.Info(n.deps.Logger).Log("msg", "owner attached to this node", "epoch", req.Epoch, "owner", req.Owner)
	version := n.currentVersion()
	state, err := n.deps.Executor.RenewLeases(ctx, hv.LeaseRenewal{Epoch: req.Epoch})
	if err == nil {
		n.applyState(state, version)
	} else if n.handleCallError(err) {
		return hvorder.Report{}, err
	}
	hvtick.Wake(n.wakeRenew)
	return n.completeAttachment(c, attachment)
}

// completeAttachment makes the connection that of the owner and returns the first report,
// unless an owner has attached another connection meanwhile.
func (n *Node) completeAttachment(c *hvwire.Conn, attachment int64) (hvorder.Report, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.attachments != attachment {
		return hvorder.Report{}, failure("attach", hv.Unavailable, "another connection was attached meanwhile")
	}
	n.ownerConn = c
	return n.fullReport(), nil
}

// stateVersion identifies when the executor's state was requested: the epoch of the
// owner and the start calls before the request.
type stateVersion struct {
	epoch int64
	// startCalls is the number of start calls before the request, or -1 if one of
	// them had no response yet.
	startCalls int64
	// requestedAt is the time of the request.
	requestedAt time.Time
}

// isCurrent reports whether nothing that changes the executor's state was called since the
// request. The lock is held.
func (n *Node) isCurrent(v stateVersion) bool {
	c := n.currentVersionLocked()
	return v.epoch == c.epoch && v.startCalls == c.startCalls
}

func (n *Node) currentVersion() stateVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentVersionLocked()
}

func (n *Node) currentVersionLocked() stateVersion {
	v := stateVersion{epoch: n.epoch, startCalls: n.startCalls, requestedAt: n.deps.Clock.Now()}
	if n.startsInFlight > 0 {
		v.startCalls = -1
	}
	return v
}

// hasFullState reports whether executorState lists every run that may be on the
// host: it was requested in the epoch of the owner, no start was called since, and no end
// is left out, whose run would be neither running nor ended. The lock is held.
func (n *Node) hasFullState() bool {
	return n.stateKnown && !n.executorState.MoreEnded && n.startsInFlight == 0 && n.isCurrent(n.stateVersion)
}

// fullReport returns a report on attachment, which lists everything on the host if
// that is known. The lock is held.
func (n *Node) fullReport() hvorder.Report {
	r := hvorder.Report{Epoch: n.epoch, Host: n.host, ExecutorGone: n.executorGone && n.startsInFlight == 0, Crashes: n.crash.unreported(), LastEnds: n.lastEnds}
	n.hostReported = n.host != nil
	if n.hasFullState() {
		n.fillReport(&r)
	}
	return r
}

// fillReport adds everything on the host to a report. The lock is held.
func (n *Node) fillReport(r *hvorder.Report) {
	r.Full, r.Batch = true, n.batch
	r.Incarnation, r.Clock = n.executorState.Incarnation, n.executorState.ClockMS
	r.Running = n.executorState.Running
	r.Ended = n.executorState.Ended
	for run := range n.pendingStarts {
		r.Pending = append(r.Pending, run)
	}
	n.reportedEnd = lastEnd(n.executorState.Ended, n.reportedEnd)
	n.fullReported, n.digestAt = true, n.deps.Clock.Now()
}

// lastEnd returns the highest Number of the ends, or last if none is higher.
func lastEnd(ends []hv.RunEnd, last int64) int64 {
	for _, e := range ends {
		last = max(last, e.Number)
	}
	return last
}

// applyState keeps the state that the executor returned for a request made at a
// version. After a change of the incarnation it resets the state of the previous
// one.
func (n *Node) applyState(h hv.ExecutorState, version stateVersion) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stateKnown && h.Incarnation == n.executorState.Incarnation && h.ClockMS < n.executorState.ClockMS {
		// A newer response has already arrived on another connection.
		return
	}
	if h.Incarnation != n.executorState.Incarnation {
		if n.executorState.Incarnation != "" {
			n.recordExecutorEnd(n.executorState.Incarnation)
		}
		n.ackedEnd, n.reportedEnd, n.leaseEnd = 0, 0, 0
		n.fullReported = false
		n.pendingStarts = map[hvorder.Run]bool{}
		n.reportedSaved = map[hvorder.Run]string{}
	}
	now := n.deps.Clock.Now()
	n.executorState, n.stateVersion, n.stateKnown, n.incarnationConfirmed, n.executorGone = h, version, true, true, false
	n.refusals = 0
	n.crash.listed(now, h, n.isCurrent(version) && !h.MoreEnded)
	n.confirmListed(h)
	n.recordProgress(now, h.Running)
}

// maxConfirmationAge is how long after a request the executor counts as the incarnation that
// it was in its response. Renewals follow each other and take up to 0.8 s each, so an older
// request means that this process stood still; the executor may have restarted meanwhile.
const maxConfirmationAge = 1800 * time.Millisecond

// isConfirmed reports whether the executor is known to be the incarnation in
// executorState. A lease by the clock of another one would last longer than the owner
// counts. Its age counts from the request, as the response may have waited in the connection
// while this process stood still. The lock is held.
func (n *Node) isConfirmed() bool {
	return n.incarnationConfirmed && n.isRecent(n.stateVersion.requestedAt)
}

// isRecent reports whether the response to a request that was sent at a time still tells
// the executor's incarnation.
func (n *Node) isRecent(sentAt time.Time) bool {
	now := n.deps.Clock.Now()
	// The time of day counts suspensions, which the steady clock may not.
	return max(now.Sub(sentAt), now.Round(0).Sub(sentAt.Round(0))) <= maxConfirmationAge
}

// confirmListed ends the pending starts of runs that the executor lists. A start that is
// repeated after the executor has restarted would run the task again. The lock is held.
func (n *Node) confirmListed(h hv.ExecutorState) {
	for _, r := range h.Running {
		n.confirmPending(runOf(r))
	}
	for _, e := range h.Ended {
		n.confirmPending(hvorder.Run{Task: e.Task, Run: e.Run})
	}
}

func (n *Node) confirmPending(run hvorder.Run) {
	if n.pendingStarts[run] {
		delete(n.pendingStarts, run)
		n.recordBegun(run)
	}
}

// handleCallError records a failed call to the executor and reports whether the
// executor has seen a newer owner.
func (n *Node) handleCallError(err error) bool {
	n.mu.Lock()
	n.incarnationConfirmed = false
	n.crash.failed(n.deps.Clock.Now(), err)
	n.mu.Unlock()
	kind := hv.KindOf(err)
	if kind == hv.Conflict {
		return true
	}
	if kind == hv.NotFound {
		// No executor listens, or another incarnation does: the runs have ended.
		n.deps.Executor.SetExpectedInstance("")
	}
	return false
}
