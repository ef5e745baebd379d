package main

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/cmd/hvfake/hvupstream"
)

type upstreamCommand struct {
	Listen string        `long:"listen" required:"true" description:"IP address and port to listen on"`
	Took   time.Duration `long:"took" default:"5ms" description:"How long a request runs"`
}

// Execute implements flags.Commander.
func (c *upstreamCommand) Execute([]string) error {
	return serve(c.Listen, hvupstream.New(hvupstream.Faults{RequestDuration: hv.Duration(c.Took)}).Handler())
}
