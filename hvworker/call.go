package hvworker

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// maxResponseBytes bounds the size of a response. A list holds some hundreds of
	// tasks of some KB each.
	maxResponseBytes = 16 << 20
	// maxReasonBytes bounds the text of an error response.
	maxReasonBytes = 1 << 10
)

// errorKinds maps the status code of a response to the kind of the error.
var errorKinds = map[int]hv.ErrorKind{
	http.StatusBadRequest:          hv.Invalid,
	http.StatusNotFound:            hv.NotFound,
	http.StatusConflict:            hv.Conflict,
	http.StatusGone:                hv.Expired,
	http.StatusInsufficientStorage: hv.Full,
	http.StatusServiceUnavailable:  hv.Unavailable,
}

func (c *Client) call(ctx context.Context, op, method, path string, body, response any) error {
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return &Error{Op: op, Kind: hv.Invalid, Err: err}
	}
	lostResponseKind := hv.Uncertain
	if method == http.MethodGet {
		lostResponseKind = hv.Unavailable
	}
	httpResponse, err := c.http.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: lostResponseKind, Err: err}
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode >= http.StatusMultipleChoices {
		return responseError(op, lostResponseKind, httpResponse)
	}
	if response == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(httpResponse.Body, maxResponseBytes))
	} else {
		err = json.NewDecoder(io.LimitReader(httpResponse.Body, maxResponseBytes)).Decode(response)
	}
	if err != nil {
		return &Error{Op: op, Kind: lostResponseKind, Err: errors.Wrap(err, "decode response")}
	}
	return nil
}

func (c *Client) request(ctx context.Context, method, path string, body any) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		r = bytes.NewReader(b)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, r)
	if err == nil && body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, err
}

func responseError(op string, lostResponseKind hv.ErrorKind, httpResponse *http.Response) error {
	kind, ok := errorKinds[httpResponse.StatusCode]
	if !ok {
		kind = lostResponseKind
	}
	// The text only explains the status code, so a read error is ignored.
	text, _ := io.ReadAll(io.LimitReader(httpResponse.Body, maxReasonBytes))
	return &Error{Op: op, Kind: kind, Err: errors.Errorf("status %d: %s", httpResponse.StatusCode, strings.TrimSpace(string(text)))}
}
