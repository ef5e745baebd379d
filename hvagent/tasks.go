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

// workerCalls bounds the calls to the worker that one part has in flight.
const workerCalls = 8

// tasks admits attempts to the host and keeps their leases at the worker.
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
	// stopping holds the attempts that are to be stopped and the report for each.
	stopping map[hv.Attempt]hvhost.Report
	// uncertainStarts holds attempts whose start was not answered, until the end of
	// their leases: the worker may still start them.
	uncertainStarts map[hv.Attempt]time.Time
	// workerLeaseEnds is the lease end that the worker knows.
	workerLeaseEnds map[hv.Attempt]time.Time
	checkpoints     map[hv.Attempt]string
	draining        bool
}

func newTasks(a *Agent, w hv.Worker) *tasks {
	return &tasks{
		agent: a, worker: w, clock: a.clock, logger: a.logs.Part("tasks"), locks: newAttemptLocks(),
		stopping: map[hv.Attempt]hvhost.Report{}, uncertainStarts: map[hv.Attempt]time.Time{},
		workerLeaseEnds: map[hv.Attempt]time.Time{}, checkpoints: map[hv.Attempt]string{},
	}
}

// Intervals of the parts.
const (
	recoverInterval = 500 * time.Millisecond
	expiryInterval  = 200 * time.Millisecond
	pollInterval    = 500 * time.Millisecond
	renewInterval   = 500 * time.Millisecond
	usageInterval   = 5 * time.Second
)

// run starts the parts. They wait until the worker has been read.
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

// recover reads capacity and attempts from the worker until it succeeds.
func (t *tasks) recover(ctx context.Context) {
	for {
		err := t.tryRecover(ctx)
		if err == nil || ctx.Err() != nil {
			return
		}
		logWarn(t.logger, "msg", "the worker was not read", "err", err)
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
	// The remaining leases count from before the question.
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
	// The poll stops what the ledger does not hold.
	logInfo(t.logger, "msg", "attempts were read from the worker", "found", len(found), "rejected", len(rejected))
	t.agent.announcementVersion.Add(1)
	return nil
}

// stopAdmission refuses all further attempts.
func (t *tasks) stopAdmission() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	if l := t.ledger.Load(); l != nil {
		l.StopAdmission()
	}
}

// announcement returns the capacity and the attempts that the host holds. The
// host has no capacity until the worker has been read.
func (t *tasks) announcement() (hv.Resources, []hv.RunningAttempt) {
	l := t.ledger.Load()
	if l == nil {
		return hv.Resources{}, nil
	}
	return l.Capacity(), l.Held()
}

// addToHeartbeat adds the state of the attempts to a heartbeat.
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

// stateHeld is the state of an attempt that starts or stops. The owner of its
// shard must not take it for one that has started.
const stateHeld = "held"

// live returns the running attempts with their last checkpoints.
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

// forEach calls f for all items, some at a time.
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
