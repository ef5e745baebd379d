// Package hvowner carries out the decisions of a cell while this gate owns it: it
// connects to the nodes, stores progress and renews the gate's claim.
package hvowner

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvcell"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvshed"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// minPlanInterval is the minimum time between two plans; events that arrive in
	// between are handled together.
	minPlanInterval = 4 * time.Millisecond
	// tickInterval is the time between checks of leases and due times.
	tickInterval = 100 * time.Millisecond
	// leaseDuration is the lease that the owner grants in reply to a report. It is
	// longer than a restart of the node's process takes. A task on a lost host can
	// start elsewhere only after it has passed.
	leaseDuration = 5 * time.Second
)

// Options configure an Owner.
type Options struct {
	Writer *hvledger.Writer
	// ClaimOffset is the offset of the claim; jobs before it are inherited from
	// older owners.
	ClaimOffset int64
	// Learned is the stored learned state of the previous owner, still encoded, or
	// nil.
	Learned []byte
	// PreviousEnded reports whether the previous owner is known to grant no more leases; it
	// may be nil.
	PreviousEnded func() bool
	// StoreFailed reports whether the store does not respond; it may be nil.
	StoreFailed func() bool
	// StoreResponse returns the expected duration of an append; it may be nil.
	StoreResponse func() time.Duration
	// StoreLimits bounds the records and appends.
	StoreLimits hvledger.Limits
	// Adviser is nil if no advice service is configured.
	Adviser hv.Adviser
	// EarlyStart is how long before its due time a scheduled round may start.
	EarlyStart time.Duration
	// Retention is how long the state of an ended job stays readable.
	Retention time.Duration
	Policy    hvcell.Policy
	Clock     hv.Clock
	Metrics   *hvmetric.Registry
	Logger    log.Logger
}

// Owner schedules the cell during one ownership.
type Owner struct {
	options Options

	mu    sync.Mutex
	cell  *hvcell.Cell
	links map[string]*link
	// attachments counts the attempts to attach each node, also on earlier links to it.
	attachments map[string]int64
	// queuedPuts holds callers' records that wait for the next append.
	queuedPuts hvshed.Queue[*put]
	// runCtx is the context of the links; it is nil until Run is called.
	runCtx context.Context
	// ended is true once the owner grants no more leases.
	ended bool

	// learnedStoredAt is when the learned state was last stored; only flush uses it.
	learnedStoredAt time.Time

	wakePlan   chan struct{}
	wakeFlush  chan struct{}
	wakeAdvise chan struct{}
	cancelRun  context.CancelCauseFunc
}

// New returns an owner without jobs or nodes.
func New(o Options) *Owner {
	owner := &Owner{options: o, links: map[string]*link{}, attachments: map[string]int64{}, wakePlan: make(chan struct{}, 1), wakeFlush: make(chan struct{}, 1), wakeAdvise: make(chan struct{}, 1)}
	health := hvhealth.New(hvhealth.Options{HostCount: owner.hostCount})
	owner.cell = hvcell.New(hvcell.Options{
		Epoch: o.Writer.Claim().Epoch, ClaimOffset: o.ClaimOffset, ClaimedAt: o.Clock.Now(), LeaseDuration: leaseDuration, PreviousAuthority: o.Writer.PreviousAuthority(), EarlierAuthority: o.Writer.EarlierAuthority(), LeaseOverhang: hvledger.LeaseOverhang,
		EarlyStart: o.EarlyStart, Retention: o.Retention, Policy: o.Policy, Health: health, OnJobEnd: owner.observeJobEnd, Logger: o.Logger,
	})
	owner.restoreLearned(o.Learned)
	return owner
}

// observeJobEnd records how long a job took, by queue and state.
func (o *Owner) observeJobEnd(queue string, s hvjob.State, took time.Duration) {
	o.options.Metrics.Observe("hv_job_us", queue, hv.Class(s), took)
}

// restoreLearned decodes the learned state of the previous owner and continues
// with it.
func (o *Owner) restoreLearned(stored []byte) {
	if len(stored) == 0 {
		return
	}
	var l hvcell.LearnedState
	if err := json.Unmarshal(stored, &l); err != nil {
		_ = level.Warn(o.options.Logger).Log("msg", "learned state of the previous owner cannot be decoded; starting without it", "err", err)
		return
	}
	o.cell.Restore(l)
}

// hostCount is called by the health tracker with the lock held.
func (o *Owner) hostCount() int { return len(o.links) }

// JobChanged adds a job to the cell or cancels it.
func (o *Owner) JobChanged(e hvledger.Entry) {
	o.mu.Lock()
	o.cell.ApplyJob(o.options.Clock.Now(), e.Job, e.Offset, e.Progress, e.Cancelled)
	o.mu.Unlock()
	hvtick.Wake(o.wakePlan)
}

// SetCatalog replaces the settings of the queues.
func (o *Owner) SetCatalog(c *hvjob.Catalog) {
	o.mu.Lock()
	o.cell.SetCatalog(c)
	o.mu.Unlock()
	hvtick.Wake(o.wakePlan)
}

// SetEvacuated replaces the set of evacuated zones, in which no task may start.
func (o *Owner) SetEvacuated(zones []string) {
	o.mu.Lock()
	o.cell.SetEvacuated(zones)
	o.wakeLinks()
	o.mu.Unlock()
	hvtick.Wake(o.wakePlan)
}

// NodeChanged connects to the node beside an executor, or removes a node whose
// registration was dropped.
func (o *Owner) NodeChanged(n hvledger.Node, dropped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.links[n.Name]
	if dropped {
		if old != nil {
			old.end()
			delete(o.links, n.Name)
			o.cell.DropHost(n.Name)
		}
		return
	}
	if n.Gate {
		return
	}
	o.cell.AddHost(o.options.Clock.Now(), n.Name, n.Host)
	if old != nil && old.addr == n.Addr {
		return
	}
	if old != nil {
		old.end()
	}
	l := &link{owner: o, name: n.Name, addr: n.Addr, wake: make(chan struct{}, 1)}
	o.links[n.Name] = l
	if o.runCtx != nil {
		l.start(o.runCtx)
	}
}

// Run schedules the cell until ctx ends, and then releases it, or until another
// gate owns it.
func (o *Owner) Run(ctx context.Context) {
	runCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	o.mu.Lock()
	o.runCtx, o.cancelRun = runCtx, cancel
	for _, l := range o.links {
		l.start(runCtx)
	}
	o.mu.Unlock()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){o.planLoop, o.flushLoop, o.tickLoop, o.adviseLoop} {
		loops.Go(func() { loop(runCtx) })
	}
	loops.Wait()
	o.endAuthority()
	if ctx.Err() != nil {
		o.release()
	}
	_ = level.Info(o.options.Logger).Log("msg", "this gate no longer owns the cell", "epoch", o.options.Writer.Claim().Epoch, "cause", context.Cause(runCtx))
}

// endAuthority ends the grants. The links end on their own, possibly later.
func (o *Owner) endAuthority() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ended = true
	o.checkAuthority()
}

// releaseTimeout limits the last append of an owner that stops.
const releaseTimeout = time.Second

func (o *Owner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := o.options.Writer.Release(ctx); err != nil {
		_ = level.Warn(o.options.Logger).Log("msg", "release of the cell could not be stored", "err", err)
	}
}

// stepDown ends the ownership because another gate owns the cell or progress
// cannot be stored.
func (o *Owner) stepDown(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.cancelRun != nil {
		o.cancelRun(err)
	}
}

func (o *Owner) planLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, o.wakePlan, tickInterval)
		o.plan()
		hvtick.Sleep(ctx, minPlanInterval)
	}
}

// checkAuthority tells the cell when this gate last owned it for certain, and suspends
// starts and grants while it may no longer do so. It is called before each of them and
// not only by the ticker: a process that was paused may handle a report first. The lock
// is held.
func (o *Owner) checkAuthority() {
	now := o.options.Clock.Now()
	silence := o.options.Writer.SinceLastAppend()
	o.cell.Suspend(o.ended || silence > hvledger.AuthorityTimeout)
	o.cell.Confirm(now.Add(-silence))
	o.cell.LimitLeases(now.Add(hvledger.AuthorityTimeout + hvledger.LeaseOverhang - silence))
}

func (o *Owner) plan() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.checkAuthority()
	o.cell.Plan(o.options.Clock.Now())
	hvtick.Wake(o.wakeAdvise)
	o.wakeLinks()
}

// wakeLinks wakes the links of nodes with pending orders. The lock is held.
func (o *Owner) wakeLinks() {
	for _, name := range o.cell.HostsWithOrders() {
		if l := o.links[name]; l != nil {
			hvtick.Wake(l.wake)
		}
	}
}

func (o *Owner) tickLoop(ctx context.Context) {
	hvtick.Every(ctx, tickInterval, func() {
		o.rejectPuts()
		o.mu.Lock()
		o.checkAuthority()
		if o.options.PreviousEnded != nil && o.options.PreviousEnded() {
			o.cell.EndPreviousAuthority(o.options.Clock.Now())
		}
		o.cell.Tick(o.options.Clock.Now())
		o.updateMetrics()
		o.mu.Unlock()
		hvtick.Wake(o.wakePlan)
	})
}

// ClaimChanged ends the ownership if the claim has a higher epoch.
func (o *Owner) ClaimChanged(c hvledger.Claim) {
	if c.Epoch > o.options.Writer.Claim().Epoch {
		o.stepDown(failure("claim", hv.Conflict, "gate %s has claimed the cell with epoch %d", c.Name, c.Epoch))
	}
}
