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
	// offRotation is how long the platform may go on to open connections to a
	// gate that is not ready: it asks every second and waits for two misses.
	offRotation = 2500 * time.Millisecond
	// stopReserve is kept of the time to SIGKILL for the exit itself.
	stopReserve = time.Second
)

// platformGate is a gate on the users' platform.
type platformGate struct {
	settings platform.Settings
	gate     *hventry.Gate
	metrics  *hvmetric.Registry
	logger   log.Logger
}

func onPlatform(logs *hvlogger.Root) (hvdaemon.Daemon, error) {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil, err
	}
	logger := log.With(logs.Component("gate"), "node", s.Node)
	metrics := hvmetric.New(hvmetric.DefaultCallerLimit)
	var adviser hv.Adviser
	if s.AdviserAddr != "" {
		adviser = platform.NewAdviser(s.AdviserAddr)
	}
	gate := hventry.New(hventry.Options{
		Name: s.Node, Zone: s.Zone, Addr: s.PeerAddr, Capacity: s.Capacity, Process: uuid.NewString(),
		Store: platform.NewStore(s.StoreAddr), CellTopic: platform.CellTopic, Adviser: adviser,
		CatalogTopic: platform.OperatorsTopic, CatalogKey: platform.CatalogKey, DecodeCatalog: platform.DecodeCatalog,
		EarlyStart: s.EarlyStart, Retention: s.Retention,
		Clock: hv.SystemClock{}, Metrics: metrics, Logger: logger,
	})
	return &platformGate{settings: s, gate: gate, metrics: metrics, logger: logger}, nil
}

// Run implements hvdaemon.Daemon.
func (p *platformGate) Run(ctx context.Context) error {
	_ = level.Info(p.logger).Log("msg", "gate starts", "version", version, "zone", p.settings.Zone, "peers", p.settings.PeerAddr)
	servers, err := p.listen()
	if err != nil {
		return err
	}
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := hvdaemon.ServeWire(work, p.settings.PeerAddr, p.gate.Mux(), p.logger); err != nil {
		return err
	}
	for _, s := range servers {
		go s.Serve()
	}
	var duty sync.WaitGroup
	owning, release := context.WithCancel(work)
	duty.Go(func() { p.gate.Run(owning, work) })
	<-ctx.Done()
	p.stop(servers, release)
	cancel()
	duty.Wait()
	_ = level.Info(p.logger).Log("msg", "gate has stopped")
	return nil
}

func (p *platformGate) listen() ([]*hvdaemon.Server, error) {
	var out []*hvdaemon.Server
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
		out = append(out, s)
	}
	return out, nil
}

// stop gives up the cell at once, waits until the platform sends no more
// connections, and answers what has come.
func (p *platformGate) stop(servers []*hvdaemon.Server, release func()) {
	_ = level.Info(p.logger).Log("msg", "gate stops", "grace", p.settings.GracePeriod)
	deadline := time.Now().Add(p.settings.GracePeriod - stopReserve)
	p.gate.SetNotReady()
	release()
	for _, s := range servers {
		s.DisableKeepAlives()
	}
	time.Sleep(min(offRotation, time.Until(deadline)))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	for _, s := range servers {
		s.Stop(ctx)
	}
}

// Reload implements hvdaemon.Daemon.
func (p *platformGate) Reload(string) { platform.CheckSettings(p.logger) }
