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
	// MaxDeadline bounds Hv-Deadline.
	MaxDeadline = time.Minute
	// maxKey bounds Idempotency-Key and maxService a service name, in bytes.
	maxKey     = 128
	maxService = 128
)

// Runner runs requests; *hvdispatch.Dispatcher implements it.
type Runner interface {
	Do(ctx context.Context, req hv.Request) hv.Response
}

// RunAPI serves the requests of callers.
type RunAPI struct {
	Auth   AuthFunc
	Runner Runner
	// NewID returns a unique identifier for each request.
	NewID func() string
	// DefaultDeadline returns the deadline of requests that name none.
	DefaultDeadline func(hv.Class) time.Duration

	bodies *bodies
}

// Register adds the API to a mux.
func (h RunAPI) Register(mux *http.ServeMux) {
	h.bodies = newBodies(bodyMemory)
	mux.HandleFunc("POST /v1/run/{service}/{path...}", authed(h.Auth, h.serve))
	mux.HandleFunc("GET /v1/run/{service}/{path...}", authed(h.Auth, h.serve))
}

func (h RunAPI) serve(w http.ResponseWriter, r *http.Request, caller string) {
	req, err := h.request(r, caller)
	if err != nil {
		refuse(w, err, "")
		return
	}
	body, free, err := h.bodies.read(w, r, caller, MaxBodySize)
	if err != nil {
		refuse(w, err, req.ID)
		return
	}
	defer free()
	req.Body = body
	ans := h.Runner.Do(r.Context(), req)
	// A caller that does not take its answer must not hold the memory.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(bodyTimeout))
	writeAnswer(w, ans)
}

// request builds the request from path and headers.
func (h RunAPI) request(r *http.Request, caller string) (hv.Request, error) {
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
	if len(req.Service) > maxService {
		return invalid("service", "the name is longer than %d bytes", maxService)
	}
	if len(req.IdempotencyKey) > maxKey || strings.ContainsFunc(req.IdempotencyKey, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return invalid("Idempotency-Key", "want up to %d printable ASCII characters without spaces", maxKey)
	}
	return nil
}

// upstreamPath is the rest of the path as it was sent, with the query.
func upstreamPath(r *http.Request) string {
	// The escaped path is /v1/run/SERVICE/PATH.
	parts := strings.SplitN(r.URL.EscapedPath(), "/", 5)
	path := "/" + parts[len(parts)-1]
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return path
}

// refuse answers a request that was never dispatched.
func refuse(w http.ResponseWriter, err error, id string) {
	w.Header().Set(headerOutcome, string(hv.NotRun))
	writeError(w, err, id)
}

func writeAnswer(w http.ResponseWriter, ans hv.Response) {
	w.Header().Set(headerRequest, ans.ID)
	w.Header().Set(headerOutcome, string(ans.Outcome))
	f := failure{Error: ans.Reason, Kind: ans.Kind, ID: ans.ID, Outcome: ans.Outcome, Retry: ans.RetryAfter}
	switch ans.Outcome {
	case hv.Done:
		if ans.ContentType != "" {
			w.Header().Set("Content-Type", ans.ContentType)
		}
		if ans.Status != http.StatusNoContent && ans.Status != http.StatusNotModified {
			w.Header().Set("Content-Length", strconv.Itoa(len(ans.Body)))
		}
		w.WriteHeader(ans.Status)
		// An error of the write means that the caller has gone.
		_, _ = w.Write(ans.Body)
	case hv.NotRun:
		setRetry(w, ans.RetryAfter.Std())
		writeJSON(w, refusalStatus(ans.Kind), f)
	case hv.Unknown:
		writeJSON(w, http.StatusGatewayTimeout, f)
	}
}

// refusalStatus is 429 where the load of callers is the reason, else 503.
func refusalStatus(kind hv.ErrorKind) int {
	if kind == hv.Full || kind == hv.Expired {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}
