package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/cmd/hvfake/hvstream"
	"hibiscusvane.example/hibiscusvane/cmd/hvfake/hvupstream"
)

type verb struct {
	name    string
	usage   string
	command flags.Commander
}

var verbs = []verb{
	{"log", "Run a log service in memory", &logCommand{}},
	{"upstream", "Run an upstream that echoes requests", &upstreamCommand{}},
	{"worker", "Run a worker with fake tasks", &workerCommand{}},
	{"version", "Print the version", &versionCommand{}},
}

type logCommand struct {
	Listen string `long:"listen" required:"true" description:"IP address and port to listen on"`
}

// Execute implements flags.Commander.
func (c *logCommand) Execute([]string) error {
	return serve(c.Listen, hvstream.New(hv.SystemClock{}).Handler())
}

type upstreamCommand struct {
	Listen string        `long:"listen" required:"true" description:"IP address and port to listen on"`
	Took   time.Duration `long:"took" default:"5ms" description:"How long a request runs"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	return serve(c.Listen, hvupstream.New(hvupstream.Faults{Took: hv.Duration(c.Took)}).Handler())
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Println(version)
	return nil
}

func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	return server.Serve(l)
}
