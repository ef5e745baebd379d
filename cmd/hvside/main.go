// Command hvside runs next to an upstream and on each worker host, and connects
// both to the gates.
package main

import (
	"os"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvagent"
	"hibiscusvane.example/hibiscusvane/hvdaemon"
	"hibiscusvane.example/hibiscusvane/hvlogger"
)

// version is set by the build.
var version = "dev"

func main() {
	os.Exit(hvdaemon.Main(hvdaemon.Program{Component: "side", Version: version, Build: build, BuildPlatform: onPlatform}))
}

func build(path string, logs *hvlogger.Root) (hvdaemon.Daemon, error) {
	conf, err := hvagent.ReadConfig(path)
	if err != nil {
		return nil, err
	}
	return hvagent.New(conf, hvagent.Deps{Clock: hv.SystemClock{}, Logs: logs}), nil
}
