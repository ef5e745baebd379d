// Package hvagent implements the side, the process that runs next to each
// upstream and on each worker host and connects both to the gates.
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

// callTimeout bounds a call to a gate or to the worker. It is shorter than the
// 3 s without a heartbeat after which a process counts as missing.
const callTimeout = 2 * time.Second

// Deps are the dependencies of an agent.
type Deps struct {
	Clock hv.Clock
	Logs  *hvlogger.Root
	// Violations is called for each violated invariant after the violation has
	// been counted and logged; it may be nil.
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
	// sequence is the number of the last heartbeat on any connection. The
	// connections share it because a gate compares the sequence numbers of one
	// incarnation across connections.
	sequence atomic.Uint64
	draining atomic.Bool
	// announcementVersion is increased whenever the agent must announce itself
	// again.
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

// New returns an agent that is not running yet.
func New(conf Config, d Deps) *Agent {
	a := &Agent{
		conf: conf, clock: d.Clock, logs: d.Logs, violations: d.Violations,
		metric: hvmetric.New(hvmetric.DefaultCallerLimit), incarnation: uuid.Must(uuid.NewV7()).String(),
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: workerCalls}},
	}
	a.logger = a.logs.Component("side")
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
	a.metric.ReportViolation(invariant, message)
	logError(a.logger, "msg", "invariant violated", "invariant", invariant, "detail", message)
	if a.violations != nil {
		a.violations(invariant, message)
	}
}

// Run runs the agent until ctx ends and then shuts it down: the agent refuses
// new work, finishes the requests in flight and hands over its key slots.
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
	logInfo(a.logger, "msg", "side started", "host", a.config().Host.Name, "incarnation", a.incarnation)
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
