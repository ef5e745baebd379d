package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

var waitVerb = verb{name: "jobs wait", args: "ID", usage: "Wait for the end of a job; success if it is done", parse: parseWait}

// maxWait is the limit of the callers' API for one wait.
const maxWait = 30 * time.Second

type waitOptions struct {
	For time.Duration `long:"for" default:"1h" description:"How long to wait"`
}

func parseWait(c *command) (work, error) {
	var opts waitOptions
	args, cl, err := c.online(&opts, 1, 1)
	if err != nil {
		return nil, err
	}
	return newWait(cl, args[0], opts.For), nil
}

type wait struct {
	client *client
	id     string
	left   time.Duration
}

// newWait adds the longest wait to the time for one answer.
func newWait(cl *client, id string, d time.Duration) *wait {
	cl.timeout += min(maxWait, d)
	return &wait{client: cl, id: id, left: d}
}

func (w *wait) do(ctx context.Context, out io.Writer) error {
	var job hvhttp.Job
	for w.left > 0 && !job.Final {
		one := min(maxWait, w.left)
		w.left -= one
		path := fmt.Sprintf("%s/%s?wait=%s", paths[hv.Job], url.PathEscape(w.id), one)
		if err := w.client.get(ctx, path, &job); err != nil {
			return err
		}
	}
	if !job.Final {
		return errorf(w.id, hv.Unavailable, "not at an end (state: %q)", job.State)
	}
	fmt.Fprintf(out, "%s %s\n", w.id, oneLine(job.State))
	if job.State != doneState {
		return errorf(w.id, hv.Internal, "%s: %s", oneLine(job.State), oneLine(job.Reason))
	}
	return nil
}

// doneState is the final state of a job that succeeded.
const doneState = "done"
