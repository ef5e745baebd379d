// Command hvctl is the command-line tool for operators; README.md in this folder
// lists its verbs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// version is set by the build.
var version = "dev"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
