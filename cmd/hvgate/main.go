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

func main() {
	os.Exit(hvdaemon.Main(hvdaemon.Program{Component: "gate", Version: version, Build: build, BuildPlatform: onPlatform}))
}

func build(path string, logs *hvlogger.Root) (hvdaemon.Daemon, error) {
	conf, err := readConfig(path)
	if err != nil {
		return nil, err
	}
	return newGate(conf, logs), nil
}
