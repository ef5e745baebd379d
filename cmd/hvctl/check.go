package main

import (
	"context"
	"fmt"
	"io"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
)

var checkVerb = verb{name: "check", args: "DIR", usage: "Check a settings folder", parse: parseCheck}

func parseCheck(c *command) (action, error) {
	args, err := c.parseLocal(nil, 1, 1)
	if err != nil {
		return nil, err
	}
	return newCheck(args[0]), nil
}

type check struct{ dir string }

func newCheck(dir string) *check { return &check{dir: dir} }

func (c *check) do(_ context.Context, out io.Writer) error {
	files, _, err := loadSettings(c.dir)
	if err == nil {
		fmt.Fprintf(out, "%s: %d files are valid\n", c.dir, len(files))
	}
	return err
}

// loadSettings reads and checks a settings folder.
func loadSettings(dir string) (hvconf.Files, *hvconf.Settings, error) {
	files, err := hvconf.Load(dir)
	if err != nil {
		return nil, nil, &Error{Op: dir, Kind: hv.Invalid, Err: err}
	}
	s, err := hvconf.Check(files)
	if err != nil {
		return nil, nil, &Error{Op: dir, Kind: hv.Invalid, Err: err}
	}
	return files, s, nil
}
