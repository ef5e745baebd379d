package main

import (
	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/cmd/hvfake/hvstream"
)

type logCommand struct {
	Listen string `long:"listen" required:"true" description:"IP address and port to listen on"`
}

// Execute implements flags.Commander.
func (c *logCommand) Execute([]string) error {
	return serve(c.Listen, hvstream.New(hv.SystemClock{}).Handler())
}
