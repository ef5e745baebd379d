// Package hvlog is the client of the platform's log service. Follower reads a
// stream and Writer appends to it, so that every record takes effect once.
package hvlog

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Client implements hibiscusvane.Log over HTTP.
type Client struct {
	base string
	http *http.Client
}

var _ hv.Log = (*Client)(nil)

// NewClient returns a client for the log service at a base URL.
func NewClient(base string, client *http.Client) *Client {
	return &Client{base: base, http: client}
}

// maxResponseBytes limits the response to one read.
const maxResponseBytes = 64 << 20

// Append implements hibiscusvane.Log.
func (c *Client) Append(ctx context.Context, stream string, rec hv.Record) (hv.Offset, error) {
	body, err := json.Marshal(rec)
	if err != nil {
		return 0, &Error{Op: "append", Kind: hv.Invalid, Err: err}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream, nil), bytes.NewReader(body))
	if err != nil {
		return 0, &Error{Op: "append", Kind: hv.Invalid, Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	var resp struct {
		Offset hv.Offset `json:"offset"`
	}
	status, err := c.do(req, &resp)
	if kind := appendKind(status, err); kind != "" {
		if err == nil {
			err = errors.Errorf("log service responded with status %d", status)
		}
		return 0, &Error{Op: "append", Kind: kind, Err: errors.Wrap(err, "stream "+stream)}
	}
	return resp.Offset, nil
}

// appendKind returns the kind of the error of an append, or "" on success. An
// append certainly had no effect only if the connection could not be
// established or the log service itself rejected the record; every other
// failure is Uncertain.
func appendKind(status int, err error) hv.ErrorKind {
	var dial *net.OpError
	switch {
	case errors.As(err, &dial) && dial.Op == "dial":
		return hv.Unavailable
	case err != nil:
		return hv.Uncertain
	case status == http.StatusOK:
		return ""
	case status == http.StatusServiceUnavailable:
		return hv.Unavailable
	case status >= 400 && status < 500:
		return hv.Invalid
	}
	return hv.Uncertain
}

// Read implements hibiscusvane.Log.
func (c *Client) Read(ctx context.Context, stream string, from hv.Offset, limit int, wait time.Duration) (hv.Page, error) {
	query := url.Values{
		"from": {strconv.FormatInt(int64(from), 10)},
		"max":  {strconv.Itoa(limit)},
		"wait": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream, query), nil)
	if err != nil {
		return hv.Page{}, &Error{Op: "read", Kind: hv.Invalid, Err: err}
	}
	var page hv.Page
	status, err := c.do(req, &page)
	switch {
	case err != nil:
		return page, &Error{Op: "read", Kind: hv.Unavailable, Err: err}
	case status == http.StatusGone:
		return page, &Error{Op: "read", Kind: hv.Expired, Err: errors.Errorf("stream %s: records before offset %d have expired", stream, page.First)}
	case status != http.StatusOK:
		return page, &Error{Op: "read", Kind: hv.Unavailable, Err: errors.Errorf("stream %s: log service responded with status %d", stream, status)}
	}
	return page, nil
}

func (c *Client) url(stream string, query url.Values) string {
	u := c.base + "/streams/" + url.PathEscape(stream)
	if query != nil {
		u += "?" + query.Encode()
	}
	return u
}

func (c *Client) do(req *http.Request, resp any) (int, error) {
	httpResp, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer httpResp.Body.Close()
	if httpResp.StatusCode != http.StatusOK && httpResp.StatusCode != http.StatusGone {
		_, err := io.Copy(io.Discard, io.LimitReader(httpResp.Body, 1<<16))
		return httpResp.StatusCode, err
	}
	err = json.NewDecoder(io.LimitReader(httpResp.Body, maxResponseBytes)).Decode(resp)
	return httpResp.StatusCode, errors.Wrap(err, "decode response")
}
