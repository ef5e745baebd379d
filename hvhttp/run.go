package hvhttp

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// MaxDeadline is the maximum value of Hv-Deadline.
	MaxDeadline = time.Minute
	// maxIdempotencyKeyLen and maxServiceNameLen are the maximum lengths of
	// Idempotency-Key and of the name of a service, in bytes.
	maxIdempotencyKeyLen = 128
	maxServiceNameLen    = 128
)

// Runner runs requests on upstreams. *hvdispatch.Dispatcher implements it.
type Runner interface {
	Do(ctx context.Context, req hv.Request) hv.Response
}

// RunAPI serves the requests of callers to upstreams.
type RunAPI struct {
	Auth   AuthFunc
	Runner Runner
	// NewID returns a unique identifier for each request.
	NewID func() string
	// DefaultDeadline returns the deadline of requests without Hv-Deadline.
	DefaultDeadline func(hv.Class) time.Duration

	bodies *bodyBudget
}

// Register adds the API to a mux.
func (h RunAPI) Register(mux *http.ServeMux) {
	h.bodies = newBodyBudget(bodyMemory)
	mux.HandleFunc("POST /v1/run/{service}/{path...}", requireAuth(h.Auth, h.serve))
	mux.HandleFunc("GET /v1/run/{service}/{path...}", requireAuth(h.Auth, h.serve))
}

func (h RunAPI) serve(w http.ResponseWriter, r *http.Request, caller string) {
	req, err := h.buildRequest(r, caller)
	if err != nil {
		writeNotRun(w, err, "")
		return
	}
	body, release, err := h.bodies.read(w, r, caller, MaxBodySize)
	if err != nil {
		writeNotRun(w, err, req.ID)
		return
	}
	defer release()
	req.Body = body
	resp := h.Runner.Do(r.Context(), req)
	// A caller that does not read its response must not occupy the memory of the
	// request body.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(bodyTimeout))
	writeResponse(w, resp)
}

// buildRequest builds the request from the path and the headers, without the body.
func (h RunAPI) buildRequest(r *http.Request, caller string) (hv.Request, error) {
	req := hv.Request{
		ID: h.NewID(), Caller: caller, Class: hv.Standard, Service: r.PathValue("service"), Method: r.Method,
		Path: upstreamPath(r), ContentType: r.Header.Get("Content-Type"), IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Idempotent: r.Method != http.MethodPost,
	}
	if v := r.Header.Get("Hv-Class"); v != "" {
		if err := req.Class.UnmarshalText([]byte(v)); err != nil {
			return req, invalid("Hv-Class", "%q is not one of urgent, standard, batch", v)
		}
	}
	if v := r.Header.Get("Hv-Idempotent"); v != "" {
		if v != "true" && v != "false" {
			return req, invalid("Hv-Idempotent", "%q is not one of true, false", v)
		}
		req.Idempotent = v == "true"
	}
	req.Remaining = hv.Duration(h.DefaultDeadline(req.Class))
	if v := r.Header.Get("Hv-Deadline"); v != "" {
		if err := req.Remaining.UnmarshalText([]byte(v)); err != nil || req.Remaining <= 0 || req.Remaining.Std() > MaxDeadline {
			return req, invalid("Hv-Deadline", "%q: want a duration such as \"250ms\" above 0 and up to %v", v, MaxDeadline)
		}
	}
	return req, checkNames(req)
}

func checkNames(req hv.Request) error {
	if len(req.Service) > maxServiceNameLen {
		return invalid("service", "name is longer than %d bytes", maxServiceNameLen)
	}
	if len(req.IdempotencyKey) > maxIdempotencyKeyLen || strings.ContainsFunc(req.IdempotencyKey, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return invalid("Idempotency-Key", "want up to %d printable ASCII characters without spaces", maxIdempotencyKeyLen)
	}
	return nil
}

// upstreamPath returns the path after the service name, still escaped, with the
// query.
func upstreamPath(r *http.Request) string {
	// The escaped path is /v1/run/SERVICE/PATH.
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 5)
	path := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// writeNotRun responds with an error to a request that was not dispatched.
func writeNotRun(w http.ResponseWriter, err error, id string) {
	w.Header().Set(headerOutcome, string(hv.NotRun))
	writeError(w, err, id)
}

func writeResponse(w http.ResponseWriter, resp hv.Response) {
	w.Header().Set(headerRequest, resp.ID)
	w.Header().Set(headerOutcome, string(resp.Outcome))
	f := errorBody{Error: resp.Reason, Kind: resp.Kind, ID: resp.ID, Outcome: resp.Outcome, RetryAfter: resp.RetryAfter}
	switch resp.Outcome {
	case hv.Done:
		if resp.ContentType != "" {
			w.Header().Set("Content-Type", resp.ContentType)
		}
		if resp.Status != http.StatusNoContent && resp.Status != http.StatusNotModified {
			w.Header().Set("Content-Length", strconv.Itoa(len(resp.Body)))
		}
		w.WriteHeader(resp.Status)
		// A write error means that the caller has disconnected.
		_, _ = w.Write(resp.Body)
	case hv.NotRun:
		setRetryAfter(w, resp.RetryAfter.Std())
		writeJSON(w, refusalStatus(resp.Kind), f)
	case hv.Unknown:
		writeJSON(w, http.StatusGatewayTimeout, f)
	}
}

// refusalStatus returns the status code of a request that was not run: 429 if the
// load of callers is the reason, otherwise 503.
func refusalStatus(kind hv.ErrorKind) int {
	if kind == hv.Full || kind == hv.Expired {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
