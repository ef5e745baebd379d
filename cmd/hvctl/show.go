package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

var showVerb = verb{name: "show", usage: "Show the settings in force, or write them to a new folder", parse: parseShow}

type showOptions struct {
	Out string `long:"out" value-name:"DIR" description:"Write the files, tokens included, to a new folder and print the version"`
}

func parseShow(c *command) (action, error) {
	var opts showOptions
	_, cl, err := c.parseRemote(&opts, 0, 0)
	if err != nil {
		return nil, err
	}
	return newShow(cl, opts.Out), nil
}

type show struct {
	client *client
	dir    string
}

func newShow(cl *client, dir string) *show { return &show{client: cl, dir: dir} }

func (s *show) do(ctx context.Context, out io.Writer) error {
	current, err := s.client.settings(ctx)
	switch {
	case err != nil:
		return err
	case s.dir != "":
		if err := s.write(current); err != nil {
			return err
		}
		fmt.Fprintln(out, current.Version)
		return nil
	}
	fmt.Fprintf(out, "version %d by %q\n", current.Version, current.Author)
	for _, name := range sortedNames(current.Files) {
		v, err := decodeValue(current.Files[name])
		if err != nil {
			return errorf(name, hv.Internal, "%v", err)
		}
		fmt.Fprintf(out, "\n%s:\n%s\n", name, indent(hideTokens(v)))
	}
	return nil
}

// write stores the files in a folder that must not exist yet, because older
// files in it would become part of the next publication.
func (s *show) write(current hvhttp.Settings) error {
	if current.Version == 0 {
		return errorf(s.dir, hv.NotFound, "nothing has been published")
	}
	if err := os.Mkdir(s.dir, 0o700); err != nil {
		return &Error{Op: "folder", Kind: hv.Invalid, Err: err}
	}
	for _, name := range sortedNames(current.Files) {
		if filepath.Base(name) != name || !filepath.IsLocal(name) {
			return errorf(s.dir, hv.Internal, "the gate sent the file name %q", name)
		}
		v, err := decodeValue(current.Files[name])
		if err != nil {
			return errorf(name, hv.Internal, "%v", err)
		}
		if err := os.WriteFile(filepath.Join(s.dir, name), []byte(indent(v)+"\n"), 0o600); err != nil {
			return &Error{Op: "write", Kind: hv.Internal, Err: err}
		}
	}
	return nil
}

func sortedNames(files map[string]json.RawMessage) []string { return slices.Sorted(maps.Keys(files)) }

// hideTokens replaces the values of all fields named token.
func hideTokens(v any) any {
	object, ok := v.(map[string]any)
	if !ok {
		return v
	}
	for k, child := range object {
		if _, isString := child.(string); isString && k == "token" {
			object[k] = "(hidden)"
			continue
		}
		object[k] = hideTokens(child)
	}
	return object
}
