// Package hvowner carries out the decisions of a cell while this gate owns it:
// it connects to the nodes, stores progress and renews its claim.
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
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// planSpacing is the least time between two plans; events that come in
	// between are planned together.
	planSpacing = 4 * time.Millisecond
	// flushSpacing is the least time between two appends.
	flushSpacing = 25 * time.Millisecond
	// tickInterval is how often leases and due times are looked at.
	tickInterval = 100 * time.Millisecond
	// lease is what each report of a node is granted. It outlasts the restart
	// of a node's process, and a task on a lost host waits for it to pass.
	lease = 5 * time.Second
	// learnedInterval is how often what was learned is stored for the next
	// owner.
	learnedInterval = 2 * time.Second
	// authority is how long an owner goes on without an answered append. Outages
	// of the store last up to about 6 s; a new owner waits for it if a host is
	// silent.
	authority = 6 * time.Second
)

// Options are what an Owner works with.
type Options struct {
	Writer *hvledger.Writer
	// Claimed is the offset of the claim.
	Claimed int64
	// Learned is what the owner before has learned, as it was stored, or nil.
	Learned []byte
	// StoreFailed reports whether the store gives no answer; it may be nil.
	StoreFailed func() bool
	// Adviser is nil where no service gives advice.
	Adviser hv.Adviser
	Early   time.Duration
	Retain  time.Duration
	Clock   hv.Clock
	Metrics *hvmetric.Registry
	Logger  log.Logger
}

// Owner is one ownership of the cell.
type Owner struct {
	options Options

	mu    sync.Mutex
	cell  *hvcell.Cell
	links map[string]*link
	// puts holds the records of callers for the next append.
	puts []put
	// run is the context of the links; it is nil until Run is called.
	run context.Context

	// noted is when what was learned was last stored; only flush uses it.
	noted time.Time

	wakePlan   chan struct{}
	wakeFlush  chan struct{}
	wakeAdvise chan struct{}
	deposed    context.CancelCauseFunc
}

// New returns an owner without jobs and nodes.
func New(o Options) *Owner {
	w := &Owner{options: o, links: map[string]*link{}, wakePlan: make(chan struct{}, 1), wakeFlush: make(chan struct{}, 1), wakeAdvise: make(chan struct{}, 1)}
	before := authority
	if o.Writer.OwnerEnded() {
		before = 0
	}
	health := hvhealth.New(hvhealth.Options{HostCount: w.fleet})
	w.cell = hvcell.New(hvcell.Options{
		Epoch: o.Writer.Claim().Epoch, Claimed: o.Claimed, Now: o.Clock.Now(), Lease: lease, Authority: before,
		Early: o.Early, Retain: o.Retain, Health: health, Ended: w.ended, Logger: o.Logger,
	})
	w.restore(o.Learned)
	return w
}

// ended measures how long jobs took, by queue and state.
func (o *Owner) ended(queue string, s hvjob.State, took time.Duration) {
	o.options.Metrics.Observe("hv_job_us", queue, hv.Class(s), took)
}

// restore goes on with what the owner before has learned.
func (o *Owner) restore(stored []byte) {
	if len(stored) == 0 {
		return
	}
	var l hvcell.Learned
	if err := json.Unmarshal(stored, &l); err != nil {
		_ = level.Warn(o.options.Logger).Log("msg", "what was learned cannot be decoded", "err", err)
		return
	}
	o.cell.Restore(l)
}

// fleet is called by the health under the owner's lock.
func (o *Owner) fleet() int { return len(o.links) }

// JobChanged adds or cancels a job.
func (o *Owner) JobChanged(e hvledger.Entry) {
	o.mu.Lock()
	o.cell.Put(o.options.Clock.Now(), e.Job, e.Offset, e.Progress, e.Cancelled)
	o.mu.Unlock()
	hvtick.Wake(o.wakePlan)
}

// SetCatalog changes the queues in force.
func (o *Owner) SetCatalog(c *hvjob.Catalog) {
	o.mu.Lock()
	o.cell.SetCatalog(c)
	o.mu.Unlock()
	hvtick.Wake(o.wakePlan)
}

// NodeChanged connects to a node beside an executor, or drops it.
func (o *Owner) NodeChanged(n hvledger.Node, dropped bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	old := o.links[n.Name]
	if dropped {
		if old != nil {
			old.cancel()
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
		old.cancel()
	}
	l := &link{owner: o, name: n.Name, addr: n.Addr, wake: make(chan struct{}, 1)}
	o.links[n.Name] = l
	if o.run != nil {
		l.start(o.run)
	}
}

// Run owns the cell until ctx ends, and then releases it, or until another
// gate owns it.
func (o *Owner) Run(ctx context.Context) {
	run, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	o.mu.Lock()
	o.run, o.deposed = run, cancel
	for _, l := range o.links {
		l.start(run)
	}
	o.mu.Unlock()
	var duties sync.WaitGroup
	for _, duty := range []func(context.Context){o.planLoop, o.flushLoop, o.tickLoop, o.adviseLoop} {
		duties.Go(func() { duty(run) })
	}
	duties.Wait()
	if ctx.Err() != nil {
		o.release()
	}
	_ = level.Info(o.options.Logger).Log("msg", "cell is given up", "epoch", o.options.Writer.Claim().Epoch, "cause", context.Cause(run))
}

// releaseTimeout bounds the last append of an owner that stops.
const releaseTimeout = time.Second

func (o *Owner) release() {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := o.options.Writer.Release(ctx); err != nil {
		_ = level.Warn(o.options.Logger).Log("msg", "release failed", "err", err)
	}
}

// depose ends the ownership because another gate has the cell.
func (o *Owner) depose(err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.deposed != nil {
		o.deposed(err)
	}
}

func (o *Owner) planLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, o.wakePlan, tickInterval)
		o.plan()
		hvtick.Sleep(ctx, planSpacing)
	}
}

func (o *Owner) plan() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.cell.Plan(o.options.Clock.Now())
	hvtick.Wake(o.wakeAdvise)
	o.wakeLinks()
}

// wakeLinks wakes the links that have orders to send. The lock is held.
func (o *Owner) wakeLinks() {
	for _, name := range o.cell.WithOrders() {
		if l := o.links[name]; l != nil {
			hvtick.Wake(l.wake)
		}
	}
}

func (o *Owner) tickLoop(ctx context.Context) {
	hvtick.Every(ctx, tickInterval, func() {
		o.refusePuts()
		o.mu.Lock()
		o.cell.Suspend(o.options.Writer.Age() > authority)
		o.cell.Tick(o.options.Clock.Now())
		o.measure()
		o.mu.Unlock()
		hvtick.Wake(o.wakePlan)
	})
}

func (o *Owner) measure() {
	c := o.cell.Counts()
	m := o.options.Metrics
	m.Set("hv_cell_jobs", c.Jobs)
	m.Set("hv_cell_hosts", c.Hosts)
	m.Set("hv_cell_waiting", c.Waiting)
	m.Set("hv_cell_running", c.Running)
	m.Set("hv_cell_starts", c.Starts)
	m.Set("hv_cell_done", c.Done)
	m.Set("hv_cell_failed", c.Failed)
	m.Set("hv_cell_lost", c.Lost)
	m.Set("hv_cell_refused", c.Refused)
}

// flushLoop stores progress, and beats while there is none.
func (o *Owner) flushLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, o.wakeFlush, hvledger.BeatInterval)
		if err := o.flush(ctx); err != nil {
			if ctx.Err() == nil {
				o.depose(err)
			}
			return
		}
		hvtick.Sleep(ctx, flushSpacing)
	}
}

func (o *Owner) flush(ctx context.Context) error {
	now := o.options.Clock.Now()
	o.mu.Lock()
	batch, ok := o.cell.Batch(now)
	o.mu.Unlock()
	recs, err := records(batch)
	if err != nil {
		return err
	}
	if now.Sub(o.noted) > learnedInterval {
		o.noted = now
		recs, err = o.addLearned(recs)
		if err != nil {
			return err
		}
	}
	if err := o.write(ctx, recs); err != nil || !ok {
		return err
	}
	o.mu.Lock()
	o.cell.Stored(batch)
	o.wakeLinks()
	o.mu.Unlock()
	return nil
}

// write appends records together with those that callers wait for.
func (o *Owner) write(ctx context.Context, recs []hv.KeyedRecord) error {
	puts := o.takePuts()
	if len(recs) == 0 && len(puts) == 0 {
		if o.options.Writer.Age() >= hvledger.BeatInterval {
			return o.options.Writer.Beat(ctx)
		}
		return nil
	}
	left, err := o.options.Writer.AppendWith(ctx, recs, recordsOf(puts))
	if err != nil {
		answer(puts, failure("put", hv.Uncertain, "%v", err))
		return err
	}
	answer(puts, left)
	return nil
}

// addLearned adds what the next owner should go on with.
func (o *Owner) addLearned(recs []hv.KeyedRecord) ([]hv.KeyedRecord, error) {
	o.mu.Lock()
	l := o.cell.Learned()
	o.mu.Unlock()
	rec, err := hvledger.LearnedRecord(l)
	if err != nil {
		return nil, err
	}
	return append(recs, rec), nil
}

func records(b hvcell.Batch) ([]hv.KeyedRecord, error) {
	var recs []hv.KeyedRecord
	for _, p := range b.Progress {
		rec, err := hvledger.ProgressRecord(p.Job, p.Progress)
		if err != nil {
			return nil, err
		}
		recs = append(recs, rec)
	}
	for _, name := range b.Dropped {
		recs = append(recs, hvledger.DropNode(name))
	}
	for _, id := range b.Forgotten {
		recs = append(recs, hvledger.DropJob(id)...)
	}
	return recs, nil
}

// Deposed ends the ownership because another gate has claimed the cell.
func (o *Owner) Deposed(c hvledger.Claim) {
	if c.Epoch > o.options.Writer.Claim().Epoch {
		o.depose(failure("claim", hv.Conflict, "%s has epoch %d", c.Name, c.Epoch))
	}
}
