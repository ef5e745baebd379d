package main

import (
	"context"
	"fmt"
	"io"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
)

var diffVerb = verb{name: "diff", args: "DIR [DIR]", usage: "Show what a folder changes in the settings in force or in another folder", parse: parseDiff}

func parseDiff(c *command) (action, error) {
	args, err := c.parseArgs(1, 2, &c.gate)
	if err != nil {
		return nil, err
	}
	if len(args) == 2 {
		return newDiff(nil, args[0], args[1]), nil
	}
	cl, err := c.gate.client()
	return newDiff(cl, "", args[0]), err
}

// diff compares toDir with the settings in effect at a gate if client is set,
// otherwise with fromDir.
type diff struct {
	client         *client
	fromDir, toDir string
}

func newDiff(cl *client, from, to string) *diff { return &diff{client: cl, fromDir: from, toDir: to} }

func (d *diff) do(ctx context.Context, out io.Writer) error {
	_, toSettings, err := loadSettings(d.toDir)
	if err != nil {
		return err
	}
	fromSettings, err := d.baseSettings(ctx, out)
	if err != nil {
		return err
	}
	changes := hvconf.Diff(fromSettings, toSettings)
	for _, c := range changes {
		fmt.Fprintln(out, c)
	}
	if len(changes) == 0 {
		fmt.Fprintln(out, "no changes")
	}
	return nil
}

func (d *diff) baseSettings(ctx context.Context, out io.Writer) (*hvconf.Settings, error) {
	if d.client == nil {
		_, s, err := loadSettings(d.fromDir)
		return s, err
	}
	current, err := d.client.settings(ctx)
	if err != nil {
		return nil, err
	}
	fmt.Fprintf(out, "changes from version %d\n", current.Version)
	if current.Version == 0 {
		return hvconf.Default(), nil
	}
	s, err := hvconf.Check(current.Files)
	if err != nil {
		// An older hvctl does not know the settings fields of a newer gate.
		return nil, &Error{Op: "settings in force", Kind: hv.Internal, Err: err}
	}
	return s, nil
}
