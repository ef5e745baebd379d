// Command hvgate serves callers and operators and routes requests to
// upstreams.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"hibiscusvane.example/hibiscusvane/hvlogger"
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
	logs := hvlogger.New(os.Stderr)
	logger := logs.Part("gate")
	conf, err := readConfig(opts.Config)
	if err != nil {
		_ = logger.Log("msg", "settings are invalid", "err", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g := newGate(conf, logs)
	go reloadOnHangup(ctx, opts.Config, g)
	if err := g.serve(ctx); err != nil {
		_ = logger.Log("msg", "gate failed", "err", err)
		return exitFailure
	}
	return exitOK
}

// reloadOnHangup reads the local settings file again at each SIGHUP.
func reloadOnHangup(ctx context.Context, path string, g *gate) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			g.reload(path)
		}
	}
}
