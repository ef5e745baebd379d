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

// Headers of answers.
const (
	headerOutcome = "Hv-Outcome"
	headerRequest = "Hv-Request"
	headerRetry   = "Retry-After"
)

// defaultRetry is the retry time of refusals that come without one.
const defaultRetry = time.Second

// failure is the body of every answer that is not an upstream's.
type failure struct {
	Error string       `json:"error"`
	Field string       `json:"field,omitempty"`
	Kind  hv.ErrorKind `json:"kind,omitempty"`
	// ID names the task or request that the failure is about.
	ID string `json:"id,omitempty"`
	// Version is the settings version that won against a publication.
	Version hv.Offset   `json:"version,omitempty"`
	Outcome hv.Outcome  `json:"outcome,omitempty"`
	Retry   hv.Duration `json:"retry,omitempty"`
}

// statuses maps kinds of errors to status codes.
var statuses = map[hv.ErrorKind]int{
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
		b, status = []byte(`{"error":"the answer can't be encoded","kind":"internal"}`), http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)+1))
	w.WriteHeader(status)
	// An error of the write means that the caller has gone.
	_, _ = w.Write(append(b, '\n'))
}

// writeError answers with the status of the kind of err. ID may be empty.
func writeError(w http.ResponseWriter, err error, id string) {
	f := failure{Error: err.Error(), Kind: hv.KindOf(err), ID: id}
	var own *Error
	if errors.As(err, &own) {
		f.Field = own.Field
	}
	var conf *hvconf.Error
	if errors.As(err, &conf) {
		f.Version = conf.Version
	}
	var tooLarge *http.MaxBytesError
	status := statuses[f.Kind]
	switch {
	case errors.As(err, &tooLarge):
		status = http.StatusRequestEntityTooLarge
	case status == 0:
		status = http.StatusInternalServerError
	case f.Kind == hv.Full || f.Kind == hv.Unavailable:
		f.Outcome, f.Retry = hv.NotRun, hv.Duration(defaultRetry)
		setRetry(w, defaultRetry)
	case f.Kind == hv.Uncertain:
		f.Outcome = hv.Unknown
	}
	if f.Outcome != "" {
		w.Header().Set(headerOutcome, string(f.Outcome))
	}
	writeJSON(w, status, f)
}

// setRetry sets Retry-After, which counts whole seconds, rounded up.
func setRetry(w http.ResponseWriter, d time.Duration) {
	seconds := max(1, int64((d+time.Second-1)/time.Second))
	w.Header().Set(headerRetry, strconv.FormatInt(seconds, 10))
}
