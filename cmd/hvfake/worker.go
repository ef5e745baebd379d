package main

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvworker/hvworkertest"
)

type workerCommand struct {
	Listen       string        `long:"listen" required:"true" description:"IP address and port to listen on"`
	Cores        int64         `long:"cores" default:"16" description:"Processor cores of the host"`
	Memory       sizeFlag      `long:"memory" default:"60GB" description:"Memory of the host"`
	Accelerators int64         `long:"accelerators" description:"Accelerators of the host"`
	Lag          time.Duration `long:"lag" default:"30s" description:"Age of usage reports"`
	Factor       float64       `long:"factor" default:"1" description:"Measured use as a multiple of the declared size"`
}

// Execute implements flags.Commander.
func (c *workerCommand) Execute([]string) error {
	w := hvworkertest.New(hvworkertest.Options{
		Capacity: hv.Resources{Processors: 1000 * c.Cores, Memory: hv.Size(c.Memory), Accelerators: c.Accelerators},
		UsageLag: c.Lag, UsageFactor: c.Factor,
	}, hv.SystemClock{})
	return serve(c.Listen, w.Handler())
}

// sizeFlag reads a size such as 60GB from the command line.
type sizeFlag hv.Size

// UnmarshalFlag implements flags.Unmarshaler.
func (s *sizeFlag) UnmarshalFlag(text string) error { return (*hv.Size)(s).UnmarshalText([]byte(text)) }
