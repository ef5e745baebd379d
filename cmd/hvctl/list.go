package main

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

func listVerb(word string, kind hv.Kind) verb {
	return verb{name: word + " list", usage: "List your " + word, parse: func(c *command) (action, error) { return parseList(c, kind) }}
}

type listOptions struct {
	Label string `long:"label" value-name:"NAME=VALUE" description:"Only those with a label"`
	Max   int    `long:"max" default:"100" description:"Length of the list, up to 1000"`
}

func parseList(c *command, kind hv.Kind) (action, error) {
	var opts listOptions
	_, cl, err := c.parseRemote(&opts, 0, 0)
	if err != nil {
		return nil, err
	}
	return newList(cl, kind, opts), nil
}

type list struct {
	client *client
	path   string
}

func newList(cl *client, kind hv.Kind, opts listOptions) *list {
	q := url.Values{"max": {strconv.Itoa(opts.Max)}}
	if opts.Label != "" {
		q.Set("label", opts.Label)
	}
	return &list{client: cl, path: taskPaths[kind] + "?" + q.Encode()}
}

func (l *list) do(ctx context.Context, out io.Writer) error {
	var response struct {
		Jobs []hvhttp.Job `json:"jobs"`
	}
	if err := l.client.get(ctx, l.path, &response); err != nil {
		return err
	}
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ID\tSTATE\tHOST\tATTEMPT\tREASON")
	for _, j := range response.Jobs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\n", oneLine(j.Task.ID), oneLine(j.State), dash(j.Host), j.Attempt, dash(j.Reason))
	}
	return t.Flush()
}

// dash returns a dash for an empty column.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return oneLine(s)
}
