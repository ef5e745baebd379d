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
	// dialTimeout bounds the delay by an unreachable gate before the next one is
	// tried.
	dialTimeout = 2 * time.Second
	// maxResponseSize covers the largest response, a list of 1,000 tasks of up to
	// 64 KiB each.
	maxResponseSize = 80 << 20
)

// client sends each request to the first reachable gate.
type client struct {
	gates   []string
	token   string
	timeout time.Duration
	http    *http.Client
}

func newClient(gates []string, token string, timeout time.Duration) *client {
	// Every request opens a connection, so that a failure before the connection
	// is established proves that nothing was sent.
	transport := &http.Transport{
		DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, TLSHandshakeTimeout: dialTimeout,
		DisableKeepAlives: true,
	}
	return &client{gates: gates, token: token, timeout: timeout, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// get reads a JSON document.
func (c *client) get(ctx context.Context, path string, into any) error {
	return c.send(ctx, http.MethodGet, path, nil, into)
}

// post sends a change. An error of kind Uncertain means that the change may
// have taken effect.
func (c *client) post(ctx context.Context, path string, body, into any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return &Error{Op: "encode", Kind: hv.Invalid, Err: err}
	}
	return c.send(ctx, http.MethodPost, path, data, into)
}

// send tries the gates in turn until the request has been sent to one. A read is
// also tried at the next gate if no response arrives.
func (c *client) send(ctx context.Context, method, path string, body []byte, into any) error {
	var failures []string
	for _, gate := range c.gates {
		res, sent, err := c.exchange(ctx, method, gate+path, body)
		if err == nil {
			return res.decode(method, into)
		}
		if sent && method != http.MethodGet {
			return &Error{Op: gate, Kind: hv.Uncertain, Err: errors.WithMessage(err, "incomplete response")}
		}
		failures = append(failures, err.Error())
	}
	return errorf("no gate answered", unreachable, "%s", strings.Join(failures, "; "))
}

// exchange sends one request. Sent is false if no byte can have been sent.
func (c *client) exchange(ctx context.Context, method, url string, body []byte) (resp response, sent bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return resp, false, err
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	httpResponse, err := c.http.Do(req)
	if err != nil {
		return resp, connected.Load(), err
	}
	defer httpResponse.Body.Close()
	resp.status = httpResponse.StatusCode
	resp.body, err = io.ReadAll(io.LimitReader(httpResponse.Body, maxResponseSize+1))
	if err == nil && len(resp.body) > maxResponseSize {
		err = errors.Errorf("response from %s exceeds the limit of %d bytes", url, maxResponseSize)
	}
	return resp, true, err
}
