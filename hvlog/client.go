// Package hvlog speaks the protocol of the platform's log service and keeps
// its streams consistent for writers and readers.
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

// maxPageBytes bounds the answer of one read.
const maxPageBytes = 64 << 20

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
	var ans struct {
		Offset hv.Offset `json:"offset"`
	}
	status, err := c.do(req, &ans)
	if kind := appendKind(status, err); kind != "" {
		if err == nil {
			err = errors.Errorf("status %d", status)
		}
		return 0, &Error{Op: "append", Kind: kind, Err: errors.Wrap(err, "stream "+stream)}
	}
	return ans.Offset, nil
}

// appendKind tells whether a failed append may have taken effect. Only a
// connection that was never made and the answers of the log service itself
// that refuse the record exclude it.
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
		return page, &Error{Op: "read", Kind: hv.Expired, Err: errors.Errorf("stream %s: records before %d have expired", stream, page.First)}
	case status != http.StatusOK:
		return page, &Error{Op: "read", Kind: hv.Unavailable, Err: errors.Errorf("stream %s: status %d", stream, status)}
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

func (c *Client) do(req *http.Request, ans any) (int, error) {
	res, err := c.http.Do(req)
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK && res.StatusCode != http.StatusGone {
		_, err := io.Copy(io.Discard, io.LimitReader(res.Body, 1<<16))
		return res.StatusCode, err
	}
	err = json.NewDecoder(io.LimitReader(res.Body, maxPageBytes)).Decode(ans)
	return res.StatusCode, errors.Wrap(err, "decode answer")
}
