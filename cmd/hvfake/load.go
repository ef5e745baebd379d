package main

import (
	"context"
	"os"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/cmd/hvfake/hvload"
)

type loadCommand struct {
	Gates     []string      `long:"gate" env:"HV_FAKE_GATES" env-delim:"," required:"true" description:"Base URL of a gate (repeatable)"`
	Upstreams []string      `long:"upstream" env:"HV_FAKE_UPSTREAMS" env-delim:"," description:"Base URL of a fake upstream, to count runs (repeatable)"`
	Workers   []string      `long:"worker" env:"HV_FAKE_WORKERS" env-delim:"," description:"Base URL of a fake worker, to find overlapping attempts (repeatable)"`
	Token     string        `long:"token" env:"HV_TOKEN" description:"Token of the caller"`
	Service   string        `long:"service" default:"label" description:"Service to call"`
	Urgent    int           `long:"urgent" default:"200" description:"Number of urgent requests"`
	Standard  int           `long:"standard" default:"100" description:"Number of standard requests"`
	Batch     int           `long:"batch" default:"100" description:"Number of batch requests"`
	Every     time.Duration `long:"every" default:"20ms" description:"Time between two requests of a class"`
	Deadline  time.Duration `long:"deadline" default:"2s" description:"Deadline of each request"`
	Tries     int           `long:"tries" default:"6" description:"Maximum number of times that a request is sent until it is done"`
	Jobs      int           `long:"jobs" default:"6" description:"Number of batch jobs"`
	JobTime   time.Duration `long:"jobtime" default:"3s" description:"Run time of a job"`
	JobWait   time.Duration `long:"jobwait" default:"40s" description:"Deadline of the jobs, and how long to wait for their end"`
}

// Execute implements flags.Commander.
func (c *loadCommand) Execute([]string) error {
	table, err := hvload.New(hvload.Config{
		Gates: c.Gates, Upstreams: c.Upstreams, Workers: c.Workers, Token: c.Token, Service: c.Service,
		Classes:  map[hv.Class]int{hv.Urgent: c.Urgent, hv.Standard: c.Standard, hv.Batch: c.Batch},
		Interval: c.Every, Deadline: c.Deadline, MaxTries: c.Tries, Jobs: c.Jobs, JobDuration: c.JobTime, JobTimeout: c.JobWait,
	}).Run(context.Background())
	if err != nil {
		return err
	}
	if err := table.Write(os.Stdout); err != nil {
		return err
	}
	if !table.Clean() {
		return errors.New("requests or jobs were duplicated, lost, falsely reported as not run or given the response to another request")
	}
	return nil
}
