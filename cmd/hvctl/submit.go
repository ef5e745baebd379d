package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

var submitVerb = verb{name: "submit", args: "FILE", usage: "Submit the job or watcher that a JSON file describes (- for standard input)", parse: parseSubmit}

// maxTaskSize is the size limit of the callers' API for a task, in bytes.
const maxTaskSize = 64 << 10

type submitOptions struct {
	ID string `long:"id" description:"Identifier, in place of the one in the file"`
}

func parseSubmit(c *command) (action, error) {
	var opts submitOptions
	args, cl, err := c.parseRemote(&opts, 1, 1)
	if err != nil {
		return nil, err
	}
	t, err := readTask(args[0])
	if err != nil {
		return nil, &Error{Op: args[0], Kind: hv.Invalid, Err: err}
	}
	if opts.ID != "" {
		t.ID = opts.ID
	}
	return newSubmit(cl, t)
}

func readTask(path string) (t hv.Task, err error) {
	f := os.Stdin
	if path != "-" {
		if f, err = os.Open(path); err != nil {
			return t, err
		}
		defer f.Close()
	}
	data, err := io.ReadAll(io.LimitReader(f, maxTaskSize+1))
	if err == nil && len(data) > maxTaskSize {
		err = errorf("size", hv.Invalid, "want at most %d bytes", maxTaskSize)
	}
	if err != nil {
		return t, err
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return t, d.Decode(&t)
}

type submit struct {
	client *client
	task   hv.Task
}

// newSubmit fills in the defaults of a task. The identifier is generated here,
// so that a submission with an uncertain response can be repeated.
func newSubmit(cl *client, t hv.Task) (*submit, error) {
	if t.ID == "" {
		t.ID = uuid.NewString()
	}
	if t.Kind == "" {
		t.Kind = hv.Job
	}
	if taskPaths[t.Kind] == "" {
		return nil, errorf("kind", hv.Invalid, "want %q or %q, got %q", hv.Job, hv.Watcher, t.Kind)
	}
	return &submit{client: cl, task: t}, t.Check()
}

// taskPaths are the paths of the kinds of tasks in the callers' API.
var taskPaths = map[hv.Kind]string{hv.Job: "/v1/jobs", hv.Watcher: "/v1/watchers"}

func (s *submit) do(ctx context.Context, out io.Writer) error {
	var job hvhttp.Job
	if err := s.client.post(ctx, taskPaths[s.task.Kind], s.task, &job); err != nil {
		return addAdvice(err, fmt.Sprintf("%s may have been accepted; repeat the command with --id %s", s.task.ID, s.task.ID))
	}
	fmt.Fprintf(out, "%s %s\n", oneLine(job.Task.ID), oneLine(job.State))
	return nil
}
