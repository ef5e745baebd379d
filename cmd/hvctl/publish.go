package main

import (
	"context"
	"fmt"
	"io"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

var publishVerb = verb{name: "publish", args: "DIR", usage: "Check a settings folder and put it in force", parse: parsePublish}

type publishOptions struct {
	Base   int64         `long:"base" default:"-1" default-mask:"the version in force" value-name:"VERSION" description:"Version that the folder was made from"`
	Author string        `long:"author" env:"USER" description:"Name to record"`
	Settle time.Duration `long:"settle" default:"5s" description:"How long to poll for the outcome after an uncertain response"`
}

func parsePublish(c *command) (action, error) {
	var opts publishOptions
	args, cl, err := c.parseRemote(&opts, 1, 1)
	if err != nil {
		return nil, err
	}
	if opts.Base < -1 {
		return nil, errorf("usage", hv.Invalid, "--base: want a version, got %d", opts.Base)
	}
	return newPublish(cl, args[0], opts), nil
}

type publish struct {
	client *client
	dir    string
	opts   publishOptions
}

func newPublish(cl *client, dir string, opts publishOptions) *publish {
	return &publish{client: cl, dir: dir, opts: opts}
}

func (p *publish) do(ctx context.Context, out io.Writer) error {
	files, _, err := loadSettings(p.dir)
	if err != nil {
		return err
	}
	publication, err := p.newPublication(ctx, files)
	if err != nil {
		return err
	}
	var ack struct {
		Version hv.Offset `json:"version"`
	}
	err = p.client.post(ctx, "/admin/publish", publication, &ack)
	if err == nil && ack.Version <= publication.Base {
		err = errorf("answer", hv.Uncertain, "want a version above %d, got %d", publication.Base, ack.Version)
	}
	switch {
	case err == nil:
		fmt.Fprintln(out, ack.Version)
		return nil
	case hv.KindOf(err) == hv.Uncertain:
		return newSettle(p.client, p.opts.Settle, publication).do(ctx, out, err)
	}
	return err
}

func (p *publish) newPublication(ctx context.Context, files hvconf.Files) (hvhttp.Publication, error) {
	publication := hvhttp.Publication{Base: hv.Offset(p.opts.Base), Author: p.opts.Author, Files: files}
	if p.opts.Base >= 0 {
		return publication, nil
	}
	current, err := p.client.settings(ctx)
	publication.Base = current.Version
	return publication, err
}
