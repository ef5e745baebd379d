// Package hvworker is the HTTP client of the platform worker on a host.
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
	// LeaseMillis is the duration of the lease in milliseconds.
	LeaseMillis int64 `json:"lease"`
	// Checkpoint is the checkpoint to continue from, or empty.
	Checkpoint string `json:"from,omitempty"`
}

// RenewRequest is the body of POST /tasks/ID/renew.
type RenewRequest struct {
	// LeaseMillis is the duration of the lease in milliseconds.
	LeaseMillis int64 `json:"lease"`
}

// ThrottleRequest is the body of POST /tasks/ID/throttle.
type ThrottleRequest struct {
	// Share is the processor share in thousandths.
	Share int `json:"share"`
}

// CheckpointResponse is the response to POST /tasks/ID/checkpoint.
type CheckpointResponse struct {
	Checkpoint string `json:"checkpoint"`
}

// Capacity implements hibiscusvane.Worker.
func (c *Client) Capacity(ctx context.Context) (hv.Resources, error) {
	var resources hv.Resources
	err := c.call(ctx, "capacity", http.MethodGet, "/capacity", nil, &resources)
	return resources, err
}

// Tasks implements hibiscusvane.Worker.
func (c *Client) Tasks(ctx context.Context) ([]hv.RunningAttempt, error) {
	var attempts []hv.RunningAttempt
	err := c.call(ctx, "tasks", http.MethodGet, "/tasks", nil, &attempts)
	return attempts, err
}

// Usage implements hibiscusvane.Worker.
func (c *Client) Usage(ctx context.Context) ([]hv.Usage, error) {
	var usage []hv.Usage
	err := c.call(ctx, "usage", http.MethodGet, "/usage", nil, &usage)
	return usage, err
}

// Start implements hibiscusvane.Worker.
func (c *Client) Start(ctx context.Context, r hv.RunningAttempt, checkpoint string) error {
	body := StartRequest{Task: r.Task, Shard: r.Shard, Epoch: r.Epoch, Committed: r.Committed, LeaseMillis: r.Lease.Std().Milliseconds(), Checkpoint: checkpoint}
	return c.call(ctx, "start", http.MethodPut, taskPath(r.Attempt, ""), body, nil)
}

// Renew implements hibiscusvane.Worker.
func (c *Client) Renew(ctx context.Context, a hv.Attempt, lease time.Duration) error {
	return c.call(ctx, "renew", http.MethodPost, taskPath(a, "/renew"), RenewRequest{lease.Milliseconds()}, nil)
}

// Checkpoint implements hibiscusvane.Worker.
func (c *Client) Checkpoint(ctx context.Context, a hv.Attempt) (string, error) {
	var response CheckpointResponse
	err := c.call(ctx, "checkpoint", http.MethodPost, taskPath(a, "/checkpoint"), nil, &response)
	return response.Checkpoint, err
}

// Throttle implements hibiscusvane.Worker.
func (c *Client) Throttle(ctx context.Context, a hv.Attempt, share int) error {
	return c.call(ctx, "throttle", http.MethodPost, taskPath(a, "/throttle"), ThrottleRequest{share}, nil)
}

// Stop implements hibiscusvane.Worker.
func (c *Client) Stop(ctx context.Context, a hv.Attempt) error {
	err := c.call(ctx, "stop", http.MethodDelete, taskPath(a, ""), nil, nil)
	if err != nil && hv.KindOf(err) == hv.NotFound {
		return nil
	}
	return err
}

func taskPath(a hv.Attempt, suffix string) string {
	return "/tasks/" + url.PathEscape(a.String()) + suffix
}
