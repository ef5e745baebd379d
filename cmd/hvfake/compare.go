package main

import (
	"context"
	"os"

	"hibiscusvane.example/hibiscusvane/cmd/hvfake/hvload"
)

type compareCommand struct {
	Gate     string `long:"gate" required:"true" description:"Base URL of a gate"`
	Upstream string `long:"upstream" required:"true" description:"Base URL of an upstream of the service"`
	Token    string `long:"token" env:"HV_TOKEN" description:"Token of the caller"`
	Service  string `long:"service" default:"label" description:"Service to call"`
	Rounds   int    `long:"rounds" default:"5" description:"Number of rounds; the medians of their quantiles are printed"`
	Requests int    `long:"requests" default:"400" description:"Number of requests on each path in a round"`
}

// Execute implements flags.Commander.
func (c *compareCommand) Execute([]string) error {
	l := hvload.New(hvload.Config{
		Gates: []string{c.Gate}, Upstreams: []string{c.Upstream}, Token: c.Token, Service: c.Service,
	})
	result, err := l.Compare(context.Background(), c.Rounds, c.Requests)
	if err != nil {
		return err
	}
	return result.Write(os.Stdout)
}
