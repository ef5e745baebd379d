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

// maxWait is the limit of the callers' API for one long poll.
const maxWait = 30 * time.Second

type waitOptions struct {
	For time.Duration `long:"for" default:"1h" description:"How long to wait"`
}

func parseWait(c *command) (action, error) {
	var opts waitOptions
	args, cl, err := c.parseRemote(&opts, 1, 1)
	if err != nil {
		return nil, err
	}
	return newWait(cl, args[0], opts.For), nil
}

type wait struct {
	client    *client
	id        string
	remaining time.Duration
}

// newWait adds the duration of the longest poll to the timeout of the client.
func newWait(cl *client, id string, d time.Duration) *wait {
	cl.timeout += min(maxWait, d)
	return &wait{client: cl, id: id, remaining: d}
}

func (w *wait) do(ctx context.Context, out io.Writer) error {
	var job hvhttp.Job
	for w.remaining > 0 && !job.Final {
		poll := min(maxWait, w.remaining)
		w.remaining -= poll
		path := fmt.Sprintf("%s/%s?wait=%s", taskPaths[hv.Job], url.PathEscape(w.id), poll)
		if err := w.client.get(ctx, path, &job); err != nil {
			return err
		}
	}
	if !job.Final {
		return errorf(w.id, hv.Unavailable, "not ended (state: %q)", job.State)
	}
	fmt.Fprintf(out, "%s %s\n", w.id, oneLine(job.State))
	if job.State != doneState {
		return errorf(w.id, hv.Internal, "%s: %s", oneLine(job.State), oneLine(job.Reason))
	}
	return nil
}

// doneState is the final state of a job that succeeded.
const doneState = "done"
