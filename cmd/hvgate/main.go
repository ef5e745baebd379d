// Command hvgate serves callers and operators and routes requests to
// upstreams.
package main

import (
	"os"

	"hibiscusvane.example/hibiscusvane/hvdaemon"
	"hibiscusvane.example/hibiscusvane/hvlogger"
)

// version is set by the build.
var version = "dev"

// platformOptions are the flags of a gate on the users' platform.
type platformOptions struct {
	Sharing  bool `long:"sharing" description:"On the users' platform, divide contended capacity between queues, zones and sizes of jobs, and let urgent work preempt"`
	Relocate bool `long:"relocate" description:"On the users' platform, move or copy runs that a slow host holds up"`
}

func main() {
	var o platformOptions
	os.Exit(hvdaemon.Main(hvdaemon.Program{Component: "gate", Version: version, Build: build, BuildPlatform: o.build, Options: &o}))
}

func build(path string, logs *hvlogger.Root) (hvdaemon.Daemon, error) {
	conf, err := readConfig(path)
	if err != nil {
		return nil, err
	}
	return newGate(conf, logs), nil
}
