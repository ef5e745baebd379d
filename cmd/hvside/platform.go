package main

import (
	"context"
	"os"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvdaemon"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvlogger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvnode"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/platform"
)

// platformSide is a side that runs on the users' platform.
type platformSide struct {
	settings platform.Settings
	node     *hvnode.Node
	metrics  *hvmetric.Registry
	logger   log.Logger
}

func onPlatform(logs *hvlogger.Root) (hvdaemon.Daemon, error) {
	s, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		return nil, err
	}
	logger := log.With(logs.Component("side"), "node", s.Node)
	metrics := hvmetric.New(hvmetric.DefaultCallerLimit)
	store := platform.NewStore(s.StoreAddr)
	register := func(ctx context.Context, h *hvorder.Host) error {
		return hvledger.Register(ctx, store, platform.CellTopic, hvledger.Node{Name: s.Node, Zone: s.Zone, Addr: s.PeerAddr, Host: h})
	}
	node := hvnode.New(hvnode.Deps{
		Clock: hv.SystemClock{}, Executor: platform.NewExecutor(s.ExecutorAddr), Register: register, MaxLease: s.MaxLease, Metrics: metrics, Logger: logger,
	})
	return &platformSide{settings: s, node: node, metrics: metrics, logger: logger}, nil
}

// Run implements hvdaemon.Daemon. A side stops at once: running attempts keep
// their leases until the side is back.
func (p *platformSide) Run(ctx context.Context) error {
	_ = level.Info(p.logger).Log("msg", "side starts", "version", version, "zone", p.settings.Zone, "peers", p.settings.PeerAddr)
	heartbeats, err := hvdaemon.Listen(p.settings.HeartbeatAddr, platform.HeartbeatHandler(p.node), p.logger)
	if err != nil {
		return err
	}
	metrics, err := hvdaemon.Listen(p.settings.MetricsAddr, hvdaemon.MetricsHandler(p.metrics, p.logger), p.logger)
	if err != nil {
		return err
	}
	if err := hvdaemon.ServeWire(ctx, p.settings.PeerAddr, p.node.Mux(ctx), p.logger); err != nil {
		return err
	}
	go heartbeats.Serve()
	go metrics.Serve()
	var wg sync.WaitGroup
	wg.Go(func() { p.node.Run(ctx) })
	wg.Wait()
	_ = level.Info(p.logger).Log("msg", "side has stopped")
	return nil
}

// Reload implements hvdaemon.Daemon.
func (p *platformSide) Reload(string) { platform.CheckSettings(p.logger) }
