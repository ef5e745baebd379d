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
	// maxAnswerBytes bounds an answer: some hundreds of tasks of some KB.
	maxAnswerBytes = 16 << 20
	// maxReasonBytes bounds the text of an error.
	maxReasonBytes = 1 << 10
)

// kinds maps the status of an answer to the kind of the error.
var kinds = map[int]hv.ErrorKind{
	http.StatusBadRequest:          hv.Invalid,
	http.StatusNotFound:            hv.NotFound,
	http.StatusConflict:            hv.Conflict,
	http.StatusGone:                hv.Expired,
	http.StatusInsufficientStorage: hv.Full,
	http.StatusServiceUnavailable:  hv.Unavailable,
}

func (c *Client) call(ctx context.Context, op, method, path string, body, ans any) error {
	req, err := c.request(ctx, method, path, body)
	if err != nil {
		return &Error{Op: op, Kind: hv.Invalid, Err: err}
	}
	lost := hv.Uncertain
	if method == http.MethodGet {
		lost = hv.Unavailable
	}
	res, err := c.http.Do(req)
	if err != nil {
		return &Error{Op: op, Kind: lost, Err: err}
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusMultipleChoices {
		return refusal(op, lost, res)
	}
	if ans == nil {
		_, err = io.Copy(io.Discard, io.LimitReader(res.Body, maxAnswerBytes))
	} else {
		err = json.NewDecoder(io.LimitReader(res.Body, maxAnswerBytes)).Decode(ans)
	}
	if err != nil {
		return &Error{Op: op, Kind: lost, Err: errors.Wrap(err, "decode answer")}
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

func refusal(op string, lost hv.ErrorKind, res *http.Response) error {
	kind, ok := kinds[res.StatusCode]
	if !ok {
		kind = lost
	}
	// The text only explains the status; what can't be read is left out.
	text, _ := io.ReadAll(io.LimitReader(res.Body, maxReasonBytes))
	return &Error{Op: op, Kind: kind, Err: errors.Errorf("status %d: %s", res.StatusCode, strings.TrimSpace(string(text)))}
}
