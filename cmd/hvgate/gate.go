package main

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvcontrol"
	"hibiscusvane.example/hibiscusvane/hvdispatch"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvhttp"
	"hibiscusvane.example/hibiscusvane/hvlog"
	"hibiscusvane.example/hibiscusvane/hvlogger"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvplace"
	"hibiscusvane.example/hibiscusvane/hvretry"
	"hibiscusvane.example/hibiscusvane/hvroute"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// maxMetricCallers is the number of callers that have series of their own in
	// the metrics.
	maxMetricCallers = 256
	// logTimeout exceeds the longest long poll at the end of a stream.
	logTimeout = 15 * time.Second
	// logConnections bounds the connections to the log service: one for the
	// reader and one for the writer of each stream.
	logConnections = 64
)

// gate connects the components of the process.
type gate struct {
	conf       config
	clock      hv.Clock
	logRoot    *hvlogger.Root
	logger     log.Logger
	metrics    *hvmetric.Registry
	members    *hvmember.Table
	admitter   *hvadmit.Admitter
	placer     *hvplace.Placer
	control    *hvcontrol.Control
	dispatcher *hvdispatch.Dispatcher
	auth       *auth
	mux        hvwire.Mux
	// logTraffic counts the bytes to and from the log service.
	logTraffic trafficCounter
}

func newGate(conf config, logs *hvlogger.Root) *gate {
	g := &gate{
		conf: conf, clock: hv.SystemClock{}, logRoot: logs, logger: logs.Component("gate"), metrics: hvmetric.New(maxMetricCallers), mux: hvwire.Mux{},
	}
	g.members = hvmember.New(g.clock)
	g.admitter = hvadmit.New(g.clock, hvadmit.DefaultSettings(), g.violation)
	g.placer = hvplace.New(hvplace.Options{
		Clock: g.clock, Prefer: hv.Throughput, Seed: rand.Uint64(), Violations: g.violation,
	})
	g.auth = newAuth(conf.Token)
	g.control = hvcontrol.New(
		hvcontrol.Config{
			Name: conf.Name, Incarnation: uuid.Must(uuid.NewV7()).String(), Region: conf.Region,
			SeedAddresses: conf.Gates,
		},
		hvcontrol.Deps{
			Log: hvlog.NewClient(conf.Log, logClient(&g.logTraffic)), Clock: g.clock, Members: g.members, Placer: g.placer,
			Health: hvhealth.New(hvhealth.Options{HostCount: func() int { return len(g.members.Alive()) }}),
			Logger: logs.Component("control"), Mux: g.mux, Violations: g.violation, OnSettingsApplied: g.applySettings,
		})
	g.dispatcher = hvdispatch.New(hvdispatch.Deps{
		Members: g.members, Admitter: g.admitter,
		Picker: hvroute.New(conf.Zone, g.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Budget: hvretry.New(), KeyOwners: g.control, Clock: g.clock, Metrics: g.metrics,
		Logger: logs.Component("run"), Violations: g.violation,
	})
	return g
}

func logClient(t *trafficCounter) *http.Client {
	return &http.Client{
		Timeout: logTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: logConnections, MaxConnsPerHost: logConnections, DialContext: t.dial,
		},
	}
}

// violation counts and logs the violation of an invariant.
func (g *gate) violation(invariant int, message string) {
	g.metrics.ReportViolation(invariant, message)
	_ = level.Error(g.logger).Log("msg", "invariant violated", "invariant", invariant, "detail", message)
}

// Reload reads the local settings file again. Changes of the token and of the
// addresses of the gates to contact first take effect at once; the other fields
// need a restart.
func (g *gate) Reload(path string) {
	conf, err := readConfig(path)
	if err != nil {
		_ = level.Error(g.logger).Log("msg", "local settings are invalid, keeping the old ones", "err", err)
		return
	}
	g.auth.setLocalToken(conf.Token)
	g.control.SetSeedAddresses(conf.Gates)
	_ = g.logger.Log("msg", "local settings reloaded", "file", path)
}

// applySettings puts a version of the settings into effect.
func (g *gate) applySettings(v hvconf.Version) {
	g.metrics.Set("hv_settings_version", int64(v.Number))
	if err := g.logRoot.SetLevel(v.Settings.Logs.Level); err != nil {
		_ = level.Error(g.logger).Log("msg", "setting the log level failed, level unchanged", "err", err)
	}
	g.auth.applySettings(v.Settings)
	g.admitter.UpdateSettings(admitSettings(v.Settings))
	g.placer.SetPrefer(hv.Preference(v.Settings.Policy.Prefer))
}

// Run serves until ctx ends, then drains.
func (g *gate) Run(ctx context.Context) error {
	peerListener, err := net.Listen("tcp", g.conf.Internal)
	if err != nil {
		return errors.Wrap(err, "internal")
	}
	defer peerListener.Close()
	callerListener, err := net.Listen("tcp", g.conf.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { g.acceptConnections(serveCtx, peerListener) })
	limitUpdater := g.dispatcher.NewLimitUpdater(g.members, func() int { return 1 + len(g.members.Gates()) }, g.admitter)
	wg.Go(func() { limitUpdater.Run(serveCtx) })
	wg.Go(func() { g.control.Run(ctx) })
	err = hvhttp.Serve(ctx, callerListener, g.handler())
	if ctx.Err() != nil && err != nil {
		g.violation(8, "shutdown interrupts requests: "+err.Error())
	}
	stop()
	peerListener.Close()
	wg.Wait()
	return err
}

func (g *gate) acceptConnections(ctx context.Context, l net.Listener) {
	for {
		netConn, err := l.Accept()
		if err != nil {
			return
		}
		conn := hvwire.NewConn(netConn, g.mux)
		go func() {
			select {
			case <-ctx.Done():
				conn.Close()
			case <-conn.Done():
			}
		}()
	}
}

func (g *gate) handler() http.Handler {
	mux := http.NewServeMux()
	newID := func() string { return uuid.Must(uuid.NewV7()).String() }
	hvhttp.RunAPI{Auth: g.auth.caller, Runner: g.dispatcher, NewID: newID, DefaultDeadline: g.defaultDeadline}.Register(mux)
	hvhttp.TaskAPI{Auth: g.auth.caller, Jobs: g.control, NewID: newID}.Register(mux)
	hvhttp.AdminAPI{Auth: g.auth.operator, Admin: g.control.Admin()}.Register(mux)
	hvhttp.HealthAPI{Ready: g.control.Ready, Metrics: g.writeMetrics}.Register(mux)
	return mux
}

func (g *gate) defaultDeadline(c hv.Class) time.Duration {
	return g.control.Current().Settings.Classes[c].DefaultDeadline.Std()
}

// writeMetrics updates the gauges and writes all series.
func (g *gate) writeMetrics(w io.Writer) error {
	sent, received := hvwire.Traffic()
	g.metrics.Set("hv_wire_sent_bytes", sent)
	g.metrics.Set("hv_wire_received_bytes", received)
	g.metrics.Set("hv_log_sent_bytes", g.logTraffic.sent.Load())
	g.metrics.Set("hv_log_received_bytes", g.logTraffic.received.Load())
	g.metrics.Set("hv_hosts", int64(len(g.members.Alive())))
	g.metrics.Set("hv_shards_owned", int64(g.control.OwnedShards()))
	return g.metrics.Write(w)
}
