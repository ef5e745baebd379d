package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvagent"
)

// reload reads the local settings file again on each SIGHUP until ctx ends. An
// invalid file changes nothing.
func reload(ctx context.Context, path string, agent *hvagent.Agent, logger log.Logger) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		conf, err := hvagent.ReadConfig(path)
		if err != nil {
			_ = level.Error(logger).Log("part", "side", "msg", "settings are invalid and were not taken", "err", err)
			continue
		}
		agent.Reload(conf)
	}
}
