package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// dialTimeout bounds the time that a dead gate costs before the next one
	// is tried.
	dialTimeout = 2 * time.Second
	// maxAnswer covers the longest answer, a list of 1,000 tasks of up to
	// 64 KiB.
	maxAnswer = 80 << 20
)

// client sends requests to the first gate that can be reached.
type client struct {
	gates   []string
	token   string
	timeout time.Duration
	http    *http.Client
}

func newClient(gates []string, token string, timeout time.Duration) *client {
	// Every request dials, so that a failure before the connection is there
	// proves that nothing was sent.
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSHandshakeTimeout: dialTimeout,
		DisableKeepAlives: true,
	}
	return &client{gates: gates, token: token, timeout: timeout, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// get reads a document.
func (c *client) get(ctx context.Context, path string, into any) error {
	return c.send(ctx, http.MethodGet, path, nil, into)
}

// post changes something. An error of kind Uncertain means that the change
// may have taken effect.
func (c *client) post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Op: "encode", Kind: hv.Invalid, Err: err}
	}
	return c.send(ctx, http.MethodPost, path, data, into)
}

// send tries the gates in turn until one has been sent the request. A read is
// also tried at the next gate when the answer fails to arrive.
func (c *client) send(ctx context.Context, method, path string, body []byte, into any) error {
	var failures []string
	for _, gate := range c.gates {
		res, sent, err := c.exchange(ctx, method, gate+path, body)
		if err == nil {
			return res.decode(method, into)
		}
		if sent && method != http.MethodGet {
			return &Error{Op: gate, Kind: hv.Uncertain, Err: errors.WithMessage(err, "no whole answer")}
		}
		failures = append(failures, err.Error())
	}
	return errorf("no gate answered", unreachable, "%s", strings.Join(failures, "; "))
}

// exchange sends one request. Sent is false if no byte can have left.
func (c *client) exchange(ctx context.Context, method, target string, body []byte) (res response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return res, false, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	r, err := c.http.Do(req)
	if err != nil {
		return res, connected.Load(), err
	}
	defer r.Body.Close()
	res.status = r.StatusCode
	res.body, err = io.ReadAll(io.LimitReader(r.Body, maxAnswer+1))
	if err == nil && len(res.body) > maxAnswer {
		err = errors.Errorf("answer of %s is over the limit of %d bytes", target, maxAnswer)
	}
	return res, true, err
}
