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

// StartRequest is the body of PUT /tasks/ID.
type StartRequest struct {
	Task      hv.Task      `json:"task"`
	Shard     int          `json:"shard"`
	Epoch     int64        `json:"epoch"`
	Committed hv.Resources `json:"commit"`
	// LeaseMillis is in milliseconds.
	LeaseMillis int64 `json:"lease"`
	// Checkpoint is a checkpoint to continue from, or empty.
	Checkpoint string `json:"from,omitempty"`
}

// RenewRequest is the body of POST /tasks/ID/renew, in milliseconds.
type RenewRequest struct {
	LeaseMillis int64 `json:"lease"`
}

// ThrottleRequest is the body of POST /tasks/ID/throttle, in thousandths.
type ThrottleRequest struct {
	Share int `json:"share"`
}

// CheckpointResponse answers POST /tasks/ID/checkpoint.
type CheckpointResponse struct {
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
	body := StartRequest{Task: r.Task, Shard: r.Shard, Epoch: r.Epoch, Committed: r.Committed, LeaseMillis: r.Lease.Std().Milliseconds(), Checkpoint: from}
	return c.call(ctx, "start", http.MethodPut, path(r.Attempt, ""), body, nil)
}

// Renew implements hibiscusvane.Worker.
func (c *Client) Renew(ctx context.Context, a hv.Attempt, lease time.Duration) error {
	return c.call(ctx, "renew", http.MethodPost, path(a, "/renew"), RenewRequest{lease.Milliseconds()}, nil)
}

// Checkpoint implements hibiscusvane.Worker.
func (c *Client) Checkpoint(ctx context.Context, a hv.Attempt) (string, error) {
	var ans CheckpointResponse
	err := c.call(ctx, "checkpoint", http.MethodPost, path(a, "/checkpoint"), nil, &ans)
	return ans.Checkpoint, err
}

// Throttle implements hibiscusvane.Worker.
func (c *Client) Throttle(ctx context.Context, a hv.Attempt, share int) error {
	return c.call(ctx, "throttle", http.MethodPost, path(a, "/throttle"), ThrottleRequest{share}, nil)
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
