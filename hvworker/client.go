// Package hvworker speaks the protocol of the platform worker on a host.
package hvworker

import (
	"context"
	"net/http"
	"net/url"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Client implements hibiscusvane.Worker over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ hv.Worker = (*Client)(nil)

// New returns a client for the worker at a base URL.
func New(base string, client *http.Client) *Client { return &Client{base: base, http: client} }

// Start is the body of PUT /tasks/ID.
type Start struct {
	Task   hv.Task      `json:"task"`
	Shard  int          `json:"shard"`
	Epoch  int64        `json:"epoch"`
	Commit hv.Resources `json:"commit"`
	// Lease is in milliseconds.
	Lease int64 `json:"lease"`
	// From is a checkpoint to continue from, or empty.
	From string `json:"from,omitempty"`
}

// Lease is the body of POST /tasks/ID/renew, in milliseconds.
type Lease struct {
	Lease int64 `json:"lease"`
}

// Share is the body of POST /tasks/ID/throttle, in thousandths.
type Share struct {
	Share int `json:"share"`
}

// Checkpoint answers POST /tasks/ID/checkpoint.
type Checkpoint struct {
	Checkpoint string `json:"checkpoint"`
}

// Capacity implements hibiscusvane.Worker.
func (c *Client) Capacity(ctx context.Context) (hv.Resources, error) {
	var ans hv.Resources
	err := c.call(ctx, "capacity", http.MethodGet, "/capacity", nil, &ans)
	return ans, err
}

// Tasks implements hibiscusvane.Worker.
func (c *Client) Tasks(ctx context.Context) ([]hv.RunningAttempt, error) {
	var ans []hv.RunningAttempt
	err := c.call(ctx, "tasks", http.MethodGet, "/tasks", nil, &ans)
	return ans, err
}

// Usage implements hibiscusvane.Worker.
func (c *Client) Usage(ctx context.Context) ([]hv.Usage, error) {
	var ans []hv.Usage
	err := c.call(ctx, "usage", http.MethodGet, "/usage", nil, &ans)
	return ans, err
}

// Start implements hibiscusvane.Worker.
func (c *Client) Start(ctx context.Context, r hv.RunningAttempt, from string) error {
	body := Start{Task: r.Task, Shard: r.Shard, Epoch: r.Epoch, Commit: r.Committed, Lease: r.Lease.Std().Milliseconds(), From: from}
	return c.call(ctx, "start", http.MethodPut, path(r.Attempt, ""), body, nil)
}

// Renew implements hibiscusvane.Worker.
func (c *Client) Renew(ctx context.Context, a hv.Attempt, lease time.Duration) error {
	return c.call(ctx, "renew", http.MethodPost, path(a, "/renew"), Lease{lease.Milliseconds()}, nil)
}

// Checkpoint implements hibiscusvane.Worker.
func (c *Client) Checkpoint(ctx context.Context, a hv.Attempt) (string, error) {
	var ans Checkpoint
	err := c.call(ctx, "checkpoint", http.MethodPost, path(a, "/checkpoint"), nil, &ans)
	return ans.Checkpoint, err
}

// Throttle implements hibiscusvane.Worker.
func (c *Client) Throttle(ctx context.Context, a hv.Attempt, share int) error {
	return c.call(ctx, "throttle", http.MethodPost, path(a, "/throttle"), Share{share}, nil)
}

// Stop implements hibiscusvane.Worker.
func (c *Client) Stop(ctx context.Context, a hv.Attempt) error {
	err := c.call(ctx, "stop", http.MethodDelete, path(a, ""), nil, nil)
	if err != nil && hv.KindOf(err) == hv.NotFound {
		return nil
	}
	return err
}

func path(a hv.Attempt, verb string) string { return "/tasks/" + url.PathEscape(a.String()) + verb }
