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
	// maxResponseSize bounds an answer, whatever the settings say, because a larger
	// one does not fit into a message.
	maxResponseSize = 1 << 20
	// idleConnections bounds the connections that are kept open, idleTimeout
	// their age. A reused connection that the upstream closes at the same
	// moment makes an outcome unknown, so unused ones are closed early.
	idleConnections = 64
	idleTimeout     = 10 * time.Second
)

// Headers of a request to the upstream.
const (
	headerRequest = "Hv-Request"
	headerType    = "Content-Type"
	// net/http sends a request again by itself if a reused connection ends
	// and the request has the header Idempotency-Key. The upstream may have
	// run it by then. That rule looks for the canonical name only, and names
	// of headers have no case on the wire.
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
			// A redirect is an answer; to follow it would be another request.
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
	}
}

// forward sends a request to the upstream. The answer is not-run only if no
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
		return notRun(req, errorf("forward", hv.Unavailable, "the upstream was not reached: %v", err))
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
		// net/http would send the request again by its method, but only if it
		// can read the body twice.
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

// resentMethods are the methods whose requests net/http sends again.
var resentMethods = map[string]bool{
	"": true, http.MethodGet: true, http.MethodHead: true, http.MethodOptions: true, http.MethodTrace: true,
}

// readResponse reads the whole answer. One that is cut or too long is unknown.
func (u *upstream) readResponse(req hv.Request, res *http.Response) hv.Response {
	limit := min(u.sizeLimit(), maxResponseSize)
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(limit)+1))
	switch {
	case err != nil:
		return unknown(req, "the answer was cut: "+err.Error())
	case len(body) > limit:
		return unknown(req, "the answer is over the size limit")
	}
	return hv.Response{
		ID: req.ID, Outcome: hv.Done, Status: res.StatusCode, ContentType: res.Header.Get(headerType),
		Body: body, Length: len(body), Checksum: xxhash.Sum64(body),
	}
}
