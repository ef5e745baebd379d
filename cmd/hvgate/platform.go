package main

import (
	"context"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvdaemon"
	"hibiscusvane.example/hibiscusvane/hventry"
	"hibiscusvane.example/hibiscusvane/hvlogger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/platform"
)

const (
	// notReadyDelay is how long the platform may go on opening connections to a
	// gate that is not ready: it probes readiness every second and stops after two
	// failed probes.
	notReadyDelay = 2500 * time.Millisecond
	// exitReserve is the part of the grace period before SIGKILL that is left for
	// the exit of the process.
	exitReserve = time.Second
	// loopReserve is the part of exitReserve in which the loops of the gate end. A
	// write to a connection whose peer does not read blocks one for up to 3 s, which
	// must not delay the exit.
	loopReserve = 400 * time.Millisecond
)

// platformGate is a gate that runs on the users' platform.
type platformGate struct {
	settings platform.Settings
	gate     *hventry.Gate
	metrics  *hvmetric.Registry
	logger   log.Logger
}

func (o *platformOptions) build(logs *hvlogger.Root) (hvdaemon.Daemon, error) {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil, err
	}
	s.Policy.Sharing, s.Policy.Tail = o.Sharing, o.Relocate
	return newPlatformGate(s, logs), nil
}

func newPlatformGate(s platform.Settings, logs *hvlogger.Root) *platformGate {
	logger := log.With(logs.Component("gate"), "node", s.Node)
	metrics := hvmetric.New(hvmetric.DefaultCallerLimit)
	var adviser hv.Adviser
	if s.AdviserAddr != "" {
		adviser = platform.NewAdviser(s.AdviserAddr)
	}
	gate := hventry.New(hventry.Options{
		Name: s.Node, Zone: s.Zone, Addr: s.PeerAddr, Capacity: s.Capacity, Process: uuid.NewString(),
		Store: platform.NewStore(s.StoreAddr), StoreLimits: s.StoreLimits, CellTopic: platform.CellTopic, Adviser: adviser,
		Operators:  hventry.OperatorRecords{Topic: platform.OperatorsTopic, CatalogKey: platform.CatalogKey, EvacuationPrefix: platform.EvacuationPrefix, DecodeCatalog: platform.DecodeCatalog},
		EarlyStart: s.EarlyStart, Retention: s.Retention, Policy: s.Policy,
		Clock: hv.SystemClock{}, Metrics: metrics, Logger: logger,
	})
	return &platformGate{settings: s, gate: gate, metrics: metrics, logger: logger}
}

// Run implements hvdaemon.Daemon.
func (p *platformGate) Run(ctx context.Context) error {
	_ = level.Info(p.logger).Log("msg", "gate starts", "version", version, "zone", p.settings.Zone, "peers", p.settings.PeerAddr)
	servers, err := p.listen()
	if err != nil {
		return err
	}
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := hvdaemon.ServeWire(serveCtx, p.settings.PeerAddr, p.gate.Mux(), p.logger); err != nil {
		return err
	}
	for _, s := range servers {
		go s.Serve()
	}
	var wg sync.WaitGroup
	ownerCtx, releaseCell := context.WithCancel(serveCtx)
	wg.Go(func() { p.gate.Run(ownerCtx, serveCtx) })
	<-ctx.Done()
	p.stop(servers, releaseCell)
	cancel()
	p.waitForLoops(&wg)
	_ = level.Info(p.logger).Log("msg", "gate has stopped")
	return nil
}

func (p *platformGate) listen() ([]*hvdaemon.Server, error) {
	var servers []*hvdaemon.Server
	for addr, h := range map[string]http.Handler{
		p.settings.CallerAddr:  platform.CallerHandler(p.gate),
		p.settings.ReadyAddr:   platform.ReadyHandler(p.gate.Ready),
		p.settings.MetricsAddr: hvdaemon.MetricsHandler(p.metrics, p.logger),
	} {
		if addr == "" {
			continue
		}
		s, err := hvdaemon.Listen(addr, h, p.logger)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// stop releases the cell at once, waits until the platform opens no more
// connections, and lets the requests that have arrived finish.
func (p *platformGate) stop(servers []*hvdaemon.Server, releaseCell func()) {
	_ = level.Info(p.logger).Log("msg", "gate is shutting down", "grace", p.settings.GracePeriod)
	deadline := time.Now().Add(p.settings.GracePeriod - exitReserve)
	p.gate.SetNotReady()
	releaseCell()
	for _, s := range servers {
		s.DisableKeepAlives()
	}
	time.Sleep(min(notReadyDelay, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var stops sync.WaitGroup
	for _, s := range servers {
		stops.Go(func() { s.Stop(ctx) })
	}
	stops.Wait()
}

// waitForLoops waits until the loops of the gate have ended, for at most loopReserve.
// What they still do has no effect that the exit of the process could harm.
func (p *platformGate) waitForLoops(wg *sync.WaitGroup) {
	ended := make(chan struct{})
	go func() {
		wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(loopReserve):
		_ = level.Warn(p.logger).Log("msg", "loops of the gate did not end in time; the process exits")
	}
}

// Reload implements hvdaemon.Daemon.
func (p *platformGate) Reload(string) { platform.CheckSettings(p.logger) }
