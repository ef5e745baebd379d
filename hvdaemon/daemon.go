// Package hvdaemon runs a daemon process: command line, signals and exit code.
package hvdaemon

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-kit/log/level"
	"github.com/jessevdk/go-flags"

	"hibiscusvane.example/hibiscusvane/hvlogger"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// Daemon is a service that runs until its context ends.
type Daemon interface {
	// Run runs until ctx ends and then stops gracefully.
	Run(ctx context.Context) error
	// Reload reads the local settings file again. An invalid file is ignored.
	Reload(path string)
}

// BuildFunc returns a daemon for a local settings file.
type BuildFunc func(path string, logs *hvlogger.Root) (Daemon, error)

type options struct {
	Config   string `long:"config" description:"Local settings file (JSON)"`
	Platform bool   `long:"platform" description:"Run on the users' platform, with the settings file that it names in the environment"`
	Version  bool   `long:"version" description:"Print the version"`
}

// Program describes the daemon of a command.
type Program struct {
	// Component is the value of the key "part" in its log lines.
	Component string
	// Version is printed by --version; it is set at link time.
	Version string
	// Build returns the daemon for a local settings file.
	Build BuildFunc
	// BuildPlatform returns the daemon for the users' platform. Its logs go to
	// standard output.
	BuildPlatform func(logs *hvlogger.Root) (Daemon, error)
	// Options is a pointer to a struct with the flags of this program alone, or nil.
	Options any
}

// Main runs the daemon of a program and returns its exit code. SIGTERM and
// SIGINT stop it gracefully, SIGHUP reloads the local settings.
func Main(p Program) int {
	var opts options
	parser := flags.NewParser(&opts, flags.Default)
	if p.Options != nil {
		if _, err := parser.AddGroup(p.Component, "", p.Options); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return exitUsage
		}
	}
	if _, err := parser.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return exitOK
		}
		return exitUsage
	}
	if opts.Version {
		fmt.Println(p.Version)
		return exitOK
	}
	if opts.Platform {
		queue := hvlogger.NewQueue(os.Stdout)
		defer queue.Flush(flushTimeout)
		return p.runDaemon(opts, hvlogger.New(queue))
	}
	return p.runDaemon(opts, hvlogger.New(os.Stderr))
}

// flushTimeout bounds the wait at exit for queued log lines to be written.
const flushTimeout = 200 * time.Millisecond

func (p Program) runDaemon(opts options, logs *hvlogger.Root) int {
	logger := logs.Component(p.Component)
	d, err := p.build(opts, logs)
	if err != nil {
		_ = level.Error(logger).Log("msg", "settings are invalid", "err", err)
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	go reloadOnHangup(ctx, opts.Config, d)
	if err := d.Run(ctx); err != nil {
		_ = level.Error(logger).Log("msg", "daemon failed", "err", err)
		return exitFailure
	}
	return exitOK
}

func (p Program) build(opts options, logs *hvlogger.Root) (Daemon, error) {
	if opts.Platform {
		return p.BuildPlatform(logs)
	}
	return p.Build(opts.Config, logs)
}

func reloadOnHangup(ctx context.Context, path string, d Daemon) {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangup:
			d.Reload(path)
		}
	}
}
