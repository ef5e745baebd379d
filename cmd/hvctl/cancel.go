package main

import (
	"context"
	"fmt"
	"io"
	"math"

	hv "hibiscusvane.example/hibiscusvane"
)

var cancelVerb = verb{name: "cancel", args: "[ID...]", usage: "Cancel jobs and watchers by identifiers or by a label", parse: parseCancel}

type cancelOptions struct {
	Label string `long:"label" value-name:"NAME=VALUE" description:"Cancel all of yours with a label"`
}

func parseCancel(c *command) (action, error) {
	var opts cancelOptions
	ids, cl, err := c.parseRemote(&opts, 0, math.MaxInt)
	if err != nil {
		return nil, err
	}
	if (len(ids) == 0) == (opts.Label == "") {
		return nil, errorf("usage", hv.Invalid, "want either identifiers or --label")
	}
	return newCancel(cl, ids, opts.Label), nil
}

type cancel struct {
	client *client
	IDs    []string `json:"ids,omitempty"`
	Label  string   `json:"label,omitempty"`
}

func newCancel(cl *client, ids []string, label string) *cancel {
	return &cancel{client: cl, IDs: ids, Label: label}
}

func (c *cancel) do(ctx context.Context, out io.Writer) error {
	var ack struct {
		Canceled int `json:"canceled"`
	}
	if err := c.client.post(ctx, "/v1/cancel", c, &ack); err != nil {
		return addAdvice(err, "the cancellation may have taken effect; it does no harm to repeat the command")
	}
	fmt.Fprintf(out, "%d canceled\n", ack.Canceled)
	return nil
}
