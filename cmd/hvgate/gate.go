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
	// maxCallers bounds the callers that metrics keep apart.
	maxCallers = 256
	// logTimeout is above the longest wait of a read at the head of a stream.
	logTimeout = 15 * time.Second
	// logConnections bounds the connections to the log service: one for the
	// reader and one for the writer of each stream.
	logConnections = 64
)

// gate connects the parts of the process.
type gate struct {
	conf    config
	clock   hv.Clock
	logs    *hvlogger.Root
	logger  log.Logger
	metric  *hvmetric.Registry
	members *hvmember.Table
	admit   *hvadmit.Admitter
	placer  *hvplace.Placer
	control *hvcontrol.Control
	run     *hvdispatch.Dispatcher
	auth    *auth
	mux     hvwire.Mux
	// logTraffic counts the bytes to and from the log service.
	logTraffic traffic
}

func newGate(conf config, logs *hvlogger.Root) *gate {
	g := &gate{
		conf: conf, clock: hv.SystemClock{}, logs: logs, logger: logs.Component("gate"), metric: hvmetric.New(maxCallers), mux: hvwire.Mux{},
	}
	g.members = hvmember.New(g.clock)
	g.admit = hvadmit.New(g.clock, hvadmit.DefaultSettings(), g.violation)
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
			Logger: logs.Component("control"), Mux: g.mux, Violations: g.violation, OnSettingsApplied: g.apply,
		})
	g.run = hvdispatch.New(hvdispatch.Deps{
		Members: g.members, Admitter: g.admit,
		Picker: hvroute.New(conf.Zone, g.clock, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Budget: hvretry.New(), KeyOwners: g.control, Clock: g.clock, Metrics: g.metric,
		Logger: logs.Component("run"), Violations: g.violation,
	})
	return g
}

func logClient(t *traffic) *http.Client {
	return &http.Client{
		Timeout: logTimeout,
		Transport: &http.Transport{
			MaxIdleConnsPerHost: logConnections, MaxConnsPerHost: logConnections, DialContext: t.dial,
		},
	}
}

// violation counts and logs the violation of an invariant.
func (g *gate) violation(invariant int, message string) {
	g.metric.ReportViolation(invariant, message)
	_ = level.Error(g.logger).Log("msg", "invariant violated", "invariant", invariant, "detail", message)
}

// Reload reads the local settings file again. The token and the addresses of
// the gates to contact first can change; the other fields need a restart.
func (g *gate) Reload(path string) {
	conf, err := readConfig(path)
	if err != nil {
		_ = level.Error(g.logger).Log("msg", "local settings are unchanged", "err", err)
		return
	}
	g.auth.setLocal(conf.Token)
	g.control.SetSeedAddresses(conf.Gates)
	_ = g.logger.Log("msg", "local settings were read again", "file", path)
}

// apply puts a version of the settings into force.
func (g *gate) apply(v hvconf.Version) {
	g.metric.Set("hv_settings_version", int64(v.Number))
	if err := g.logs.SetLevel(v.Settings.Logs.Level); err != nil {
		_ = level.Error(g.logger).Log("msg", "level of the logs is unchanged", "err", err)
	}
	g.auth.set(v.Settings)
	g.admit.UpdateSettings(admitSettings(v.Settings))
	g.placer.SetPrefer(hv.Preference(v.Settings.Policy.Prefer))
}

// Run works until ctx ends, then drains.
func (g *gate) Run(ctx context.Context) error {
	internal, err := net.Listen("tcp", g.conf.Internal)
	if err != nil {
		return errors.Wrap(err, "internal")
	}
	defer internal.Close()
	public, err := net.Listen("tcp", g.conf.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	background, stop := context.WithCancel(context.WithoutCancel(ctx))
	var wg sync.WaitGroup
	wg.Go(func() { g.accept(background, internal) })
	limits := g.run.NewLimitUpdater(g.members, func() int { return 1 + len(g.members.Gates()) }, g.admit)
	wg.Go(func() { limits.Run(background) })
	wg.Go(func() { g.control.Run(ctx) })
	err = hvhttp.Serve(ctx, public, g.handler())
	if ctx.Err() != nil && err != nil {
		g.violation(8, "the stop cuts off requests: "+err.Error())
	}
	stop()
	internal.Close()
	wg.Wait()
	return err
}

func (g *gate) accept(ctx context.Context, l net.Listener) {
	for {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		conn := hvwire.NewConn(nc, g.mux)
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
	hvhttp.RunAPI{Auth: g.auth.caller, Runner: g.run, NewID: newID, DefaultDeadline: g.deadline}.Register(mux)
	hvhttp.TaskAPI{Auth: g.auth.caller, Jobs: g.control, NewID: newID}.Register(mux)
	hvhttp.AdminAPI{Auth: g.auth.operator, Admin: g.control.Admin()}.Register(mux)
	hvhttp.HealthAPI{Ready: g.control.Ready, Metrics: g.writeMetrics}.Register(mux)
	return mux
}

func (g *gate) deadline(c hv.Class) time.Duration {
	return g.control.Current().Settings.Classes[c].DefaultDeadline.Std()
}

// writeMetrics brings the gauges up to date and writes all series.
func (g *gate) writeMetrics(w io.Writer) error {
	out, in := hvwire.Traffic()
	g.metric.Set("hv_wire_sent_bytes", out)
	g.metric.Set("hv_wire_received_bytes", in)
	g.metric.Set("hv_log_sent_bytes", g.logTraffic.sent.Load())
	g.metric.Set("hv_log_received_bytes", g.logTraffic.received.Load())
	g.metric.Set("hv_hosts", int64(len(g.members.Alive())))
	g.metric.Set("hv_shards_owned", int64(g.control.OwnedShards()))
	return g.metric.Write(w)
}
