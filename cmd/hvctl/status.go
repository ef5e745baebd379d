package main

import (
	"context"
	"fmt"
	"io"
)

var statusVerb = verb{name: "status", usage: "Show the state of a gate and of what it knows", parse: parseStatus}

func parseStatus(c *command) (action, error) {
	_, cl, err := c.parseRemote(nil, 0, 0)
	if err != nil {
		return nil, err
	}
	return newDocument(cl, "/admin/status"), nil
}

// document prints the JSON document that a gate returns for a path.
type document struct {
	client *client
	path   string
}

func newDocument(cl *client, path string) *document { return &document{client: cl, path: path} }

func (d *document) do(ctx context.Context, out io.Writer) error {
	var v any
	if err := d.client.get(ctx, d.path, &v); err != nil {
		return err
	}
	fmt.Fprintln(out, indent(v))
	return nil
}
