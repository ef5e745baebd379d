package hvhttp

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
)

// Response headers.
const (
	headerOutcome    = "Hv-Outcome"
	headerRequest    = "Hv-Request"
	headerRetryAfter = "Retry-After"
)

// defaultRetryAfter is the retry time of refusals that do not specify one.
const defaultRetryAfter = time.Second

// errorBody is the body of every error response that is not from an upstream.
type errorBody struct {
	Error string       `json:"error"`
	Field string       `json:"field,omitempty"`
	Kind  hv.ErrorKind `json:"kind,omitempty"`
	// ID identifies the task or request that failed.
	ID string `json:"id,omitempty"`
	// Version is the settings version that a publication conflicts with.
	Version    hv.Offset   `json:"version,omitempty"`
	Outcome    hv.Outcome  `json:"outcome,omitempty"`
	RetryAfter hv.Duration `json:"retry,omitempty"`
}

var statusCodes = map[hv.ErrorKind]int{
	hv.Invalid:     http.StatusBadRequest,
	hv.NotFound:    http.StatusNotFound,
	hv.Conflict:    http.StatusConflict,
	hv.Expired:     http.StatusGone,
	hv.Full:        http.StatusTooManyRequests,
	hv.Unavailable: http.StatusServiceUnavailable,
	hv.Uncertain:   http.StatusGatewayTimeout,
	hv.Internal:    http.StatusInternalServerError,
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		b, status = []byte(`{"error":"failed to encode the response","kind":"internal"}`), http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	w.WriteHeader(status)
	// A write error means that the caller has disconnected.
	_, _ = w.Write(append(b, '\n'))
}

// writeError responds with the status code for the kind of err. The id may be
// empty.
func writeError(w http.ResponseWriter, err error, id string) {
	f := errorBody{Error: err.Error(), Kind: hv.KindOf(err), ID: id}
	var fieldErr *Error
	if errors.As(err, &fieldErr) {
		f.Field = fieldErr.Field
	}
	var confErr *hvconf.Error
	if errors.As(err, &confErr) {
		f.Version = confErr.Version
	}
	var tooLarge *http.MaxBytesError
	status := statusCodes[f.Kind]
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case status == 0:
		status = http.StatusInternalServerError
	case f.Kind == hv.Full || f.Kind == hv.Unavailable:
		f.Outcome, f.RetryAfter = hv.NotRun, hv.Duration(defaultRetryAfter)
		setRetryAfter(w, defaultRetryAfter)
	case f.Kind == hv.Uncertain:
		f.Outcome = hv.Unknown
	}
	if f.Outcome != "" {
		w.Header().Set(headerOutcome, string(f.Outcome))
	}
	writeJSON(w, status, f)
}

// setRetryAfter sets Retry-After, in whole seconds rounded up.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	seconds := max(1, int64((d+time.Second-1)/time.Second))
	w.Header().Set(headerRetryAfter, strconv.FormatInt(seconds, 10))
}
