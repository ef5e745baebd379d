package hvagent

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// maxResponseSize bounds the body of a response whatever the settings say,
	// because a larger one does not fit into a message.
	maxResponseSize = 1 << 20
	// idleConnections bounds the number of idle connections, and idleTimeout how
	// long they are kept open. They are closed early because the outcome of a
	// request is unknown if the upstream closes the reused connection at the
	// same moment.
	idleConnections = 64
	idleTimeout     = 10 * time.Second
)

// Headers of a request to the upstream.
const (
	headerRequest = "Hv-Request"
	headerType    = "Content-Type"
	// net/http retries a request with the header Idempotency-Key by itself if a
	// reused connection ends, although the upstream may have run it. It checks
	// for the canonical header name only; header names are case-insensitive for
	// the upstream.
	headerKey = "idempotency-key"
)

// upstream forwards requests over HTTP.
type upstream struct {
	base      string
	sizeLimit func() int
	http      *http.Client
}

func newUpstream(base string, limit func() int) *upstream {
	return &upstream{
		base: strings.TrimSuffix(base, "/"), sizeLimit: limit,
		http: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: idleConnections, IdleConnTimeout: idleTimeout, DisableCompression: true,
			},
			// A redirect is returned as a response; following it would be another
			// request.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// forward sends a request to the upstream. The outcome is not-run only if no
// byte of the request can have been sent.
func (u *upstream) forward(ctx context.Context, req hv.Request, remaining time.Duration) hv.Response {
	ctx, cancel := context.WithTimeout(ctx, remaining)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	r, err := u.request(ctx, req)
	if err != nil {
		return notRun(req, errorf("forward", hv.Invalid, "%v", err))
	}
	res, err := u.http.Do(r)
	switch {
	case err != nil && !connected:
		return notRun(req, errorf("forward", hv.Unavailable, "connecting to the upstream failed: %v", err))
	case err != nil:
		return unknown(req, err.Error())
	}
	defer res.Body.Close()
	return u.readResponse(req, res)
}

func (u *upstream) request(ctx context.Context, req hv.Request) (*http.Request, error) {
	if !strings.HasPrefix(req.Path, "/") {
		// The path must not become part of the host name.
		req.Path = "/" + req.Path
	}
	r, err := http.NewRequestWithContext(ctx, req.Method, u.base+req.Path, bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	if !req.Idempotent && resentMethods[req.Method] {
		// net/http retries requests with these methods, but only if it can read
		// the body a second time.
		r.Body, r.GetBody = io.NopCloser(bytes.NewReader(req.Body)), nil
	}
	r.Header.Set(headerRequest, req.ID)
	if req.IdempotencyKey != "" {
		r.Header[headerKey] = []string{req.IdempotencyKey}
	}
	if req.ContentType != "" {
		r.Header.Set(headerType, req.ContentType)
	}
	return r, nil
}

// resentMethods are the methods whose requests net/http may retry.
var resentMethods = map[string]bool{
	"": true, http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true,
}

// readResponse reads the whole response. The outcome is unknown if the response
// is truncated or too long.
func (u *upstream) readResponse(req hv.Request, res *http.Response) hv.Response {
	limit := min(u.sizeLimit(), maxResponseSize)
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(limit)+1))
	switch {
	case err != nil:
		return unknown(req, "the response was truncated: "+err.Error())
	case len(body) > limit:
		return unknown(req, "the response exceeds the size limit")
	}
	return hv.Response{
		ID: req.ID, Outcome: hv.Done, Status: res.StatusCode, ContentType: res.Header.Get(headerType),
		Body: body, Length: len(body), Checksum: xxhash.Sum64(body),
	}
}
