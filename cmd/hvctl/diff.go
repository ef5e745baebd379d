package main

import (
	"context"
	"fmt"
	"io"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
)

var diffVerb = verb{name: "diff", args: "DIR [DIR]", usage: "Show what a folder changes in the settings in force or in another folder", parse: parseDiff}

func parseDiff(c *command) (work, error) {
	args, err := c.read(1, 2, &c.remote)
	if err != nil {
		return nil, err
	}
	if len(args) == 2 {
		return newDiff(nil, args[0], args[1]), nil
	}
	cl, err := c.remote.client()
	return newDiff(cl, "", args[0]), err
}

// diff compares with the settings of a gate if client is set.
type diff struct {
	client   *client
	from, to string
}

func newDiff(cl *client, from, to string) *diff { return &diff{client: cl, from: from, to: to} }

func (d *diff) do(ctx context.Context, out io.Writer) error {
	_, to, err := load(d.to)
	if err != nil {
		return err
	}
	from, err := d.base(ctx, out)
	if err != nil {
		return err
	}
	changes := hvconf.Diff(from, to)
	for _, c := range changes {
		fmt.Fprintln(out, c)
	}
	if len(changes) == 0 {
		fmt.Fprintln(out, "no changes")
	}
	return nil
}

func (d *diff) base(ctx context.Context, out io.Writer) (*hvconf.Settings, error) {
	if d.client == nil {
		_, s, err := load(d.from)
		return s, err
	}
	now, err := d.client.settings(ctx)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "changes from version %d\n", now.Version)
	if now.Version == 0 {
		return hvconf.Default(), nil
	}
	s, err := hvconf.Check(now.Files)
	if err != nil {
		// An older hvctl does not know the fields of a newer gate.
		return nil, &Error{Op: "settings in force", Kind: hv.Internal, Err: err}
	}
	return s, nil
}
