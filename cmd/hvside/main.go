// Command hvside runs beside an upstream and on each worker host, and connects
// both to the gates.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/jessevdk/go-flags"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvagent"
)

// version is set by the build.
var version = "dev"

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

func main() { os.Exit(run()) }

type options struct {
	Config  string `long:"config" description:"Local settings file (JSON)"`
	Version bool   `long:"version" description:"Print the version"`
}

func run() int {
	var opts options
	if _, err := flags.NewParser(&opts, flags.Default).Parse(); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitUsage
	}
	if opts.Version {
		fmt.Println(version)
		return exitOK
	}
	logger := log.NewLogfmtLogger(log.NewSyncWriter(os.Stderr))
	conf, err := hvagent.ReadConfig(opts.Config)
	if err != nil {
		_ = level.Error(logger).Log("part", "side", "msg", "settings are invalid", "err", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	agent := hvagent.New(conf, hvagent.Deps{Clock: hv.SystemClock{}, Logger: logger})
	go reload(ctx, opts.Config, agent, logger)
	if err := agent.Run(ctx); err != nil {
		_ = level.Error(logger).Log("part", "side", "msg", "failed", "err", err)
		return exitFailure
	}
	return exitOK
}
