package main

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvworker/hvworkertest"
)

type workerCommand struct {
	Listen       string        `long:"listen" required:"true" description:"IP address and port to listen on"`
	Processors   int64         `long:"processors" default:"16000" description:"Capacity in thousandths of a core"`
	Memory       string        `long:"memory" default:"60GB" description:"Capacity in memory"`
	Accelerators int64         `long:"accelerators" description:"Capacity in accelerators"`
	Lag          time.Duration `long:"lag" default:"30s" description:"Age of usage reports"`
	Factor       float64       `long:"factor" default:"1" description:"Use as a multiple of the declared size"`
}

// Execute implements flags.Commander.
func (c *workerCommand) Execute([]string) error {
	var memory hv.Size
	if err := memory.UnmarshalText([]byte(c.Memory)); err != nil {
		return err
	}
	w := hvworkertest.New(hvworkertest.Options{
		Capacity: hv.Resources{Processors: c.Processors, Memory: memory, Accelerators: c.Accelerators},
		Lag:      c.Lag, Factor: c.Factor,
	}, hv.SystemClock{})
	return serve(c.Listen, w.Handler())
}
