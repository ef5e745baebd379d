// Package hvnode runs beside an executor. It carries out the orders of the
// owner of the cell, keeps the leases of what runs, reports ends and protects
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
	// Expect names the incarnation that later calls are meant for; an empty
	// name means any.
	Expect(id string)
}

// RegisterFunc stores the registration of this node.
type RegisterFunc func(ctx context.Context, h *hvorder.Host) error

// Deps are what a Node works with.
type Deps struct {
	Clock    hv.Clock
	Executor Executor
	Register RegisterFunc
	Metrics  *hvmetric.Registry
	Logger   log.Logger
}

// Node is the agent beside one executor.
type Node struct {
	name string
	deps Deps
	// pace slows the fill work that disturbs, rest all other fill work.
	pace, rest pacer

	mu sync.Mutex
	// host is what the executor last announced; id names its incarnation.
	host *hvorder.Host
	id   string
	// owner is the connection of the owner and epoch its epoch.
	owner *hvwire.Conn
	epoch int64
	// attached is when the owner last attached or answered.
	attached time.Time
	// lists is the last answer of the executor, and listsAt the version that it
	// was asked at.
	lists   hv.Holding
	listsAt version
	// known is false while the executor does not answer.
	known bool
	// confirmed is false after a call without an answer until the executor has
	// listed its runs again: a new incarnation must not be told to forget ends
	// by the numbers of the one before.
	confirmed bool
	dead      bool
	until     int64
	seen      int64
	// told is the number of the last end in a report on this connection.
	told     int64
	saved    map[hvorder.Run]string
	pending  map[hvorder.Run]bool
	profiles map[hvorder.Run]hvorder.Profile
	// effects holds the images that disturb what serves here, as in a grant;
	// it is nil until the owner has told them.
	effects map[string]int64
	// tails and loads are the newest measurement; changes and moved compare it
	// with the one before until they are reported.
	measured time.Time
	tails    map[hvorder.Run]int
	loads    map[string]int64
	changes  []hvorder.Tail
	moved    map[string]int64
	// paces holds the shares that runs were slowed to.
	paces    map[hvorder.Run]int
	advances map[hvorder.Run]*progress
	// calling counts the starts that are being called and calls all calls of
	// starts. A call may reach an incarnation that began after it was ordered.
	calling  int
	calls    int64
	refused  []hvorder.Refusal
	stopped  []hvorder.Run
	hostTold bool
	// fullTold is true once the owner has been sent the full lists.
	fullTold bool

	wakeReport chan struct{}
	wakeHold   chan struct{}
	wakeEnroll chan struct{}
}

// New returns a node with a name.
func New(name string, deps Deps) *Node {
	return &Node{
		name:       name,
		deps:       deps,
		saved:      map[hvorder.Run]string{},
		pending:    map[hvorder.Run]bool{},
		profiles:   map[hvorder.Run]hvorder.Profile{},
		paces:      map[hvorder.Run]int{},
		advances:   map[hvorder.Run]*progress{},
		wakeReport: make(chan struct{}, 1),
		wakeHold:   make(chan struct{}, 1),
		wakeEnroll: make(chan struct{}, 1),
	}
}

// Run works until ctx ends.
func (n *Node) Run(ctx context.Context) {
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){n.holdLoop, n.reportLoop, n.enrollLoop} {
		duties.Go(func() { duty(ctx) })
	}
	duties.Wait()
}

// Mux returns the methods that the owner calls.
func (n *Node) Mux(ctx context.Context) hvwire.Mux {
	m := hvwire.Mux{}
	hvwire.Handle(m, hvorder.MethodAttach, func(_ context.Context, c *hvwire.Conn, req hvorder.Attach) (hvorder.Report, error) {
		return n.attach(ctx, c, req)
	})
	hvwire.Handle(m, hvorder.MethodOrders, func(_ context.Context, _ *hvwire.Conn, req hvorder.Orders) (struct{}, error) {
		return struct{}{}, n.obey(ctx, req)
	})
	return m
}

// Announce takes a heartbeat of the executor.
func (n *Node) Announce(id string, h hvorder.Host) {
	n.mu.Lock()
	old := n.host
	n.host, n.id = &h, id
	changed := old == nil || old.Life != h.Life || old.Draining != h.Draining || old.Room != h.Room || old.Service != h.Service
	if changed {
		n.hostTold = false
		n.dead = false
	}
	n.mu.Unlock()
	if !changed {
		return
	}
	n.deps.Executor.Expect(id)
	_ = level.Info(n.deps.Logger).Log("msg", "executor is announced", "id", id, "life", h.Life, "draining", h.Draining, "rack", h.Rack)
	hvtick.Wake(n.wakeEnroll)
	hvtick.Wake(n.wakeReport)
	hvtick.Wake(n.wakeHold)
}

// Leave takes the end of the executor.
func (n *Node) Leave(id string) {
	n.mu.Lock()
	if n.id != id {
		n.mu.Unlock()
		return
	}
	if n.host != nil {
		h := *n.host
		h.Draining, h.Left = true, true
		n.host = &h
	}
	n.hostTold = false
	n.mu.Unlock()
	_ = level.Info(n.deps.Logger).Log("msg", "executor leaves", "id", id)
	hvtick.Wake(n.wakeReport)
}

// attach makes a connection that of the owner.
func (n *Node) attach(ctx context.Context, c *hvwire.Conn, req hvorder.Attach) (hvorder.Report, error) {
	n.mu.Lock()
	if req.Epoch < n.epoch {
		epoch := n.epoch
		n.mu.Unlock()
		return hvorder.Report{}, failure("attach", hv.Conflict, "epoch %d is below %d", req.Epoch, epoch)
	}
	if req.Epoch > n.epoch {
		// Starts of older owners are refused by the executor after the hold.
		n.pending = map[hvorder.Run]bool{}
		n.until = 0
	}
	n.epoch, n.owner, n.attached = req.Epoch, c, n.deps.Clock.Now()
	n.refused, n.stopped, n.fullTold = nil, nil, false
	n.mu.Unlock()
	_ = level.Info(n.deps.Logger).Log("msg", "owner attached", "epoch", req.Epoch, "owner", req.Owner)
	at := n.version()
	lists, err := n.deps.Executor.Hold(ctx, hv.Hold{Epoch: req.Epoch})
	if err == nil {
		n.take(lists, at)
	} else if n.holdFailed(err) {
		return hvorder.Report{}, err
	}
	hvtick.Wake(n.wakeHold)
	return n.fullReport(), nil
}

// version orders questions to the executor by the epoch of the owner and the
// calls of starts before them.
type version struct {
	epoch int64
	// calls is the number of calls before the question, or -1 if one of them had
	// no answer yet.
	calls int64
}

func (n *Node) version() version {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.versionLocked()
}

func (n *Node) versionLocked() version {
	if n.calling > 0 {
		return version{n.epoch, -1}
	}
	return version{n.epoch, n.calls}
}

// complete reports whether the lists hold every run that may be on the host: the
// executor was asked in the epoch of the owner and no start was called since.
// The lock is held.
func (n *Node) complete() bool {
	return n.known && n.calling == 0 && n.listsAt == n.versionLocked()
}

// fullReport lists everything on the host, if that is known.
func (n *Node) fullReport() hvorder.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	r := hvorder.Report{Epoch: n.epoch, Node: n.name, Host: n.host, Dead: n.dead && n.calling == 0}
	n.hostTold = n.host != nil
	if n.complete() {
		n.fill(&r)
	}
	return r
}

// fill adds everything on the host to a report.
func (n *Node) fill(r *hvorder.Report) {
	r.Full = true
	r.Life, r.Clock = n.lists.Life, n.lists.Clock
	r.Running = n.lists.Running
	r.Ended = n.lists.Ended
	for run := range n.pending {
		r.Pending = append(r.Pending, run)
	}
	n.told = lastEnd(n.lists.Ended, n.told)
	n.fullTold = true
}

func lastEnd(ends []hv.RunEnd, last int64) int64 {
	for _, e := range ends {
		last = max(last, e.Number)
	}
	return last
}

// take keeps an answer of the executor to a question.
func (n *Node) take(h hv.Holding, at version) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.known && h.Life == n.lists.Life && h.Clock < n.lists.Clock {
		// An older answer on another connection was overtaken.
		return
	}
	if h.Life != n.lists.Life {
		n.seen, n.told, n.until = 0, 0, 0
		n.fullTold = false
		n.pending = map[hvorder.Run]bool{}
		n.saved = map[hvorder.Run]string{}
	}
	n.lists, n.listsAt, n.known, n.confirmed, n.dead = h, at, true, true, false
	n.advance(n.deps.Clock.Now(), h.Running)
}

// holdFailed notes that the executor did not answer and reports whether the
// owner has lost its authority.
func (n *Node) holdFailed(err error) bool {
	n.mu.Lock()
	n.confirmed = false
	n.mu.Unlock()
	kind := hv.KindOf(err)
	if kind == hv.Conflict {
		return true
	}
	if kind == hv.NotFound {
		// Nothing listens, or another incarnation does: what ran is gone.
		n.deps.Executor.Expect("")
	}
	return false
}
