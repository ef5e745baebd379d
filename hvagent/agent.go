// Package hvagent is the process beside an upstream and on each worker host:
// it connects both to the gates.
package hvagent

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvlogger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvworker"
)

// callTimeout bounds a call to a gate or to the worker. It is below the 3 s
// of silence after which a process counts as missing.
const callTimeout = 2 * time.Second

// Deps are the parts that an agent uses.
type Deps struct {
	Clock hv.Clock
	Logs  *hvlogger.Root
	// Violations is told of violated invariants after they were counted and
	// logged; it may be nil.
	Violations hv.ViolationReporter
}

// Agent is one side process.
type Agent struct {
	clock       hv.Clock
	logs        *hvlogger.Root
	logger      log.Logger
	metric      *hvmetric.Registry
	violations  hv.ViolationReporter
	incarnation string
	// sequence numbers the heartbeats of all connections, because a gate
	// compares those of one incarnation across connections.
	sequence atomic.Uint64
	draining atomic.Bool
	// announcementVersion changes whenever the agent must announce itself again.
	announcementVersion atomic.Int64

	settings *hvconf.Store
	gates    *gates
	service  *service
	tasks    *tasks
	reporter *reporter
	http     *http.Client

	mu   sync.Mutex
	conf Config
}

// New returns an agent that does nothing before Run.
func New(conf Config, d Deps) *Agent {
	a := &Agent{
		conf: conf, clock: d.Clock, logs: d.Logs, violations: d.Violations,
		metric: hvmetric.New(hvmetric.DefaultCallers), incarnation: uuid.Must(uuid.NewV7()).String(),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workerCalls}},
	}
	a.logger = a.logs.Part("side")
	a.settings = hvconf.NewStore(a.violation)
	a.gates = newGates(a)
	if conf.Service != "" {
		a.service = newService(a, conf)
	}
	if conf.Worker != "" {
		a.tasks = newTasks(a, hvworker.New(conf.Worker, a.http))
		a.reporter = newReporter(a)
	}
	return a
}

// violation counts and logs the violation of an invariant.
func (a *Agent) violation(invariant int, message string) {
	a.metric.Violation(invariant, message)
	logError(a.logger, "msg", "invariant violated", "invariant", invariant, "detail", message)
	if a.violations != nil {
		a.violations(invariant, message)
	}
}

// Run works until ctx ends, then leaves: it refuses new work, finishes what is
// in flight and hands its key slots over.
func (a *Agent) Run(ctx context.Context) error {
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	l, err := listen(a.config().Listen)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	start := func(f func(context.Context)) { wg.Go(func() { f(serveCtx) }) }
	failed := make(chan error, 1)
	if l != nil {
		start(func(ctx context.Context) { failed <- a.serveHealth(ctx, l) })
	}
	start(a.followSettings)
	if a.tasks != nil {
		a.tasks.run(serveCtx, start)
		start(a.reporter.run)
		start(a.runGuard)
	}
	logInfo(a.logger, "msg", "started", "host", a.config().Host.Name, "incarnation", a.incarnation)
	select {
	case <-ctx.Done():
		a.shutDown(serveCtx)
	case err = <-failed:
	}
	stop()
	wg.Wait()
	a.gates.wait()
	a.closeIdle()
	return err
}

func (a *Agent) closeIdle() {
	a.http.CloseIdleConnections()
	if a.service != nil {
		a.service.upstream.http.CloseIdleConnections()
	}
}

func (a *Agent) config() Config {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.conf
}
