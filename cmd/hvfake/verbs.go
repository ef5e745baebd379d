package main

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/jessevdk/go-flags"
)

type namedCommand struct {
	name      string
	usage     string
	commander flags.Commander
}

// commands lists the commands; each has a file of its own.
var commands = []namedCommand{
	{"log", "Run a log service in memory", &logCommand{}},
	{"worker", "Run a platform worker with fake tasks", &workerCommand{}},
	{"upstream", "Run an upstream that echoes requests", &upstreamCommand{}},
	{"relay", "Forward TCP connections, with directions that can be blocked", &relayCommand{}},
	{"load", "Send requests and jobs to gates and print a table of their outcomes", &loadCommand{}},
	{"compare", "Compare the latency of direct calls and of calls through a gate", &compareCommand{}},
	{"overlaps", "Look for tasks with overlapping attempts on workers", &overlapsCommand{}},
	{"version", "Print the version", &versionCommand{}},
}

type versionCommand struct{}

// Execute implements flags.Commander.
func (*versionCommand) Execute([]string) error {
	fmt.Println(version)
	return nil
}

// serve serves HTTP on an address until the process ends.
func serve(addr string, h http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	return server.Serve(l)
}
