package main

import (
	"context"
	"fmt"
	"io"
	"net/url"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

var drainVerb = verb{name: "drain", args: "HOST", usage: "Let a host finish its work and take nothing new", parse: parseDrain}

func parseDrain(c *command) (action, error) {
	args, cl, err := c.parseRemote(nil, 1, 1)
	if err != nil {
		return nil, err
	}
	return newDrain(cl, args[0]), nil
}

type drain struct {
	client *client
	host   string
}

func newDrain(cl *client, host string) *drain { return &drain{client: cl, host: host} }

func (d *drain) do(ctx context.Context, out io.Writer) error {
	var ack struct {
		Host string `json:"host"`
	}
	if err := d.client.post(ctx, "/admin/drain/"+url.PathEscape(d.host), struct{}{}, &ack); err != nil {
		return addAdvice(err, "the host may be draining; it does no harm to repeat the command")
	}
	fmt.Fprintf(out, "%s is draining\n", oneLine(ack.Host))
	return nil
}

// addAdvice adds a hint on what to do next to an error of kind Uncertain.
func addAdvice(err error, advice string) error {
	if hv.KindOf(err) != hv.Uncertain {
		return err
	}
	return &Error{Op: "outcome unknown", Kind: hv.Uncertain, Err: errors.Errorf("%v; %s", err, advice)}
}
