package main

import (
	"github.com/pkg/errors"

	"hibiscusvane.example/hibiscusvane/cmd/hvfake/hvrelay"
)

type relayCommand struct {
	Listen  string `long:"listen" required:"true" description:"IP address and port to listen on"`
	To      string `long:"to" required:"true" description:"IP address and port to forward to"`
	Control string `long:"control" required:"true" description:"IP address and port of PUT /faults"`
}

// Execute implements flags.Commander.
func (c *relayCommand) Execute([]string) error {
	relay := hvrelay.New(c.To)
	failed := make(chan error, 2)
	go func() { failed <- errors.Wrap(relay.Serve(c.Listen), "listen") }()
	go func() { failed <- errors.Wrap(serve(c.Control, relay.Handler()), "control") }()
	return <-failed
}
