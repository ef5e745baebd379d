package hvagent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhost"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// workerCalls bounds the concurrent calls to the worker in each use of forEach.
const workerCalls = 8

// tasks manages the task attempts of the host: it admits them, starts and stops
// them at the worker, and renews their leases there.
type tasks struct {
	agent  *Agent
	worker hv.Worker
	clock  hv.Clock
	logger log.Logger
	// ledger is nil until the attempts have been read from the worker.
	ledger  atomic.Pointer[hvhost.Ledger]
	locks   *attemptLocks
	baseCtx context.Context

	mu sync.Mutex
	// stopping holds the attempts that are to be stopped, with the reports about
	// their ends.
	stopping map[hv.Attempt]hvhost.Report
	// uncertainStarts holds the attempts to whose start the worker did not
	// respond, with the ends of their leases. Until then the worker may still
	// start them.
	uncertainStarts map[hv.Attempt]time.Time
	// workerLeaseEnds holds the ends of the leases as last sent to the worker.
	workerLeaseEnds map[hv.Attempt]time.Time
	checkpoints     map[hv.Attempt]string
	draining        bool
}

func newTasks(a *Agent, w hv.Worker) *tasks {
	return &tasks{
		agent: a, worker: w, clock: a.clock, logger: a.logs.Component("tasks"), locks: newAttemptLocks(),
		stopping: map[hv.Attempt]hvhost.Report{}, uncertainStarts: map[hv.Attempt]time.Time{},
		workerLeaseEnds: map[hv.Attempt]time.Time{}, checkpoints: map[hv.Attempt]string{},
	}
}

// Intervals of the loops.
const (
	recoverInterval = 500 * time.Millisecond
	expiryInterval  = 200 * time.Millisecond
	pollInterval    = 500 * time.Millisecond
	renewInterval   = 500 * time.Millisecond
	usageInterval   = 5 * time.Second
)

// run starts the loops. They begin once capacity and attempts have been read
// from the worker.
func (t *tasks) run(ctx context.Context, start func(func(context.Context))) {
	t.baseCtx = ctx
	start(func(ctx context.Context) {
		t.recover(ctx)
		if ctx.Err() != nil {
			return
		}
		var wg sync.WaitGroup
		wg.Go(func() { hvtick.Every(ctx, expiryInterval, func() { t.stopExpired(ctx) }) })
		wg.Go(func() { hvtick.Every(ctx, pollInterval, func() { t.poll(ctx) }) })
		wg.Go(func() { hvtick.Every(ctx, renewInterval, func() { t.renewLeases(ctx) }) })
		wg.Go(func() { hvtick.Every(ctx, usageInterval, func() { t.readUsage(ctx) }) })
		wg.Wait()
	})
}

// recover reads capacity and attempts from the worker and retries until that
// succeeds.
func (t *tasks) recover(ctx context.Context) {
	for {
		err := t.tryRecover(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		logWarn(t.logger, "msg", "reading capacity and attempts from the worker failed", "err", err)
		select {
		case <-ctx.Done():
		case <-time.After(recoverInterval):
		}
	}
}

func (t *tasks) tryRecover(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	capacity, err := t.worker.Capacity(ctx)
	if err != nil {
		return err
	}
	// The remaining leases count from before the request, so that they end no
	// later than at the worker.
	asOf := t.clock.Now()
	found, err := t.worker.Tasks(ctx)
	if err != nil {
		return err
	}
	l := hvhost.New(hvhost.Config{Capacity: smallerCapacity(t.agent.config().Host.Capacity, capacity)}, t.clock, t.agent.violation)
	rejected := l.Recover(asOf, found)
	t.mu.Lock()
	if t.draining {
		l.StopAdmission()
	}
	t.ledger.Store(l)
	t.mu.Unlock()
	// poll stops the attempts that the ledger rejected.
	logInfo(t.logger, "msg", "attempts recovered from the worker", "found", len(found), "rejected", len(rejected))
	t.agent.announcementVersion.Add(1)
	return nil
}

// stopAdmission makes the host refuse all further attempts.
func (t *tasks) stopAdmission() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	if l := t.ledger.Load(); l != nil {
		l.StopAdmission()
	}
}

// announcement returns the capacity of the host and the attempts that it holds.
// The capacity is zero until it has been read from the worker.
func (t *tasks) announcement() (hv.Resources, []hv.RunningAttempt) {
	l := t.ledger.Load()
	if l == nil {
		return hv.Resources{}, nil
	}
	return l.Capacity(), l.Held()
}

// addToHeartbeat adds the commitments and the attempts to a heartbeat.
func (t *tasks) addToHeartbeat(m *hvwire.Heartbeat) {
	l := t.ledger.Load()
	if l == nil {
		return
	}
	m.Committed = l.Committed()
	running := map[hv.Attempt]bool{}
	for _, r := range l.Live() {
		running[r.Attempt] = true
	}
	for _, r := range l.Held() {
		s := hvwire.AttemptState{Attempt: r.Attempt, Shard: r.Shard, Epoch: r.Epoch, Share: r.Share, State: stateHeld}
		if running[r.Attempt] {
			s.State = hv.StateRunning
		}
		m.Attempts = append(m.Attempts, s)
	}
}

// stateHeld is the state of an attempt that is being started or stopped. The
// owner of its shard must not mistake it for one that has started.
const stateHeld = "held"

// live returns the running attempts, with their last checkpoints, whose leases
// have not expired.
func (t *tasks) live() []hv.RunningAttempt {
	l := t.ledger.Load()
	if l == nil {
		return nil
	}
	live := l.Live()
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range live {
		if c := t.checkpoints[live[i].Attempt]; c != "" {
			live[i].Checkpoint = c
		}
	}
	return live
}

func (t *tasks) setMetrics() {
	l := t.ledger.Load()
	if l == nil {
		return
	}
	c := l.Committed()
	m := t.agent.metric
	m.Set("hv_attempts", int64(len(l.Held())))
	m.Set("hv_attempts_excess", int64(len(l.Excesses())))
	m.Set("hv_reports_waiting", int64(len(l.Reports(maxReports))))
	m.Set("hv_committed_processors", c.Processors)
	m.Set("hv_committed_bytes", int64(c.Memory))
	m.Set("hv_committed_accelerators", c.Accelerators)
}

// forEach calls f for all items, up to workerCalls at a time, and waits for all
// calls.
func forEach[T any](items []T, f func(T)) {
	slots := make(chan struct{}, workerCalls)
	var wg sync.WaitGroup
	for _, item := range items {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(item)
		})
	}
	wg.Wait()
}
