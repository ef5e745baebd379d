package hvworkertest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvworker"
)

// Faults are the faults to inject into a worker.
type Faults struct {
	// FailTasks fails every task when it is started.
	FailTasks bool `json:"fail,omitempty"`
	// Delay delays every call.
	Delay hv.Duration `json:"slow,omitempty"`
	// Unreachable closes every connection before the call takes effect.
	Unreachable bool `json:"unreachable,omitempty"`
	// DropResponses closes the connection of calls other than GET after they have
	// taken effect.
	DropResponses bool `json:"mute,omitempty"`
}

const (
	maxBodyBytes = 1 << 20
	// maxDelay bounds Faults.Delay.
	maxDelay = 30 * time.Second
)

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.faults = f
}

// Handler serves the protocol of the worker and, for tests, PUT /faults and
// GET /history.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /capacity", w.serve(func(string, *http.Request) (any, error) { return w.options.Capacity, nil }))
	mux.HandleFunc("GET /tasks", w.serve(func(string, *http.Request) (any, error) { return w.listAttempts(), nil }))
	mux.HandleFunc("GET /usage", w.serve(func(string, *http.Request) (any, error) { return w.listUsage(), nil }))
	mux.HandleFunc("PUT /tasks/{id}", w.serve(w.serveStart))
	mux.HandleFunc("DELETE /tasks/{id}", w.serve(func(id string, _ *http.Request) (any, error) { w.stop(id); return nil, nil }))
	mux.HandleFunc("POST /tasks/{id}/renew", w.serve(w.serveRenew))
	mux.HandleFunc("POST /tasks/{id}/throttle", w.serve(w.serveThrottle))
	mux.HandleFunc("POST /tasks/{id}/checkpoint", w.serve(w.serveCheckpoint))
	mux.HandleFunc("PUT /faults", w.serveFaults)
	mux.HandleFunc("GET /history", func(rw http.ResponseWriter, _ *http.Request) { writeJSON(rw, w.History()) })
	return mux
}

// serve runs a handler under the lock and injects the faults.
func (w *Worker) serve(handle func(id string, r *http.Request) (any, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		f := w.faults
		w.mu.Unlock()
		if f.Unreachable {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(min(f.Delay.Std(), maxDelay)):
		case <-r.Context().Done():
			return
		}
		r.Body = http.MaxBytesReader(rw, r.Body, maxBodyBytes)
		w.mu.Lock()
		w.advance()
		response, err := handle(r.PathValue("id"), r)
		w.mu.Unlock()
		switch {
		case f.DropResponses && r.Method != http.MethodGet:
			panic(http.ErrAbortHandler)
		case err != nil:
			http.Error(rw, err.Error(), statusCodes[hv.KindOf(err)])
		default:
			writeJSON(rw, response)
		}
	}
}

func writeJSON(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(rw).Encode(v)
}

func (w *Worker) serveStart(id string, r *http.Request) (any, error) {
	s, err := decode[hvworker.StartRequest](r)
	if err != nil {
		return nil, err
	}
	return nil, w.start(id, s)
}

func (w *Worker) running(id string) (*task, error) {
	t := w.tasks[id]
	if t == nil || t.attempt.State != hv.StateRunning {
		return nil, errorf(hv.NotFound, "attempt %s is not running", id)
	}
	return t, nil
}

func (w *Worker) serveRenew(id string, r *http.Request) (any, error) {
	b, err := decode[hvworker.RenewRequest](r)
	if err != nil {
		return nil, err
	}
	t, err := w.running(id)
	if err != nil {
		return nil, err
	}
	if end := w.clock.Now().Add(time.Duration(b.LeaseMillis) * time.Millisecond); end.After(t.leaseEnd) {
		t.leaseEnd = end
	}
	return nil, nil
}

func (w *Worker) serveThrottle(id string, r *http.Request) (any, error) {
	b, err := decode[hvworker.ThrottleRequest](r)
	if err != nil {
		return nil, err
	}
	t, err := w.running(id)
	if err != nil {
		return nil, err
	}
	if b.Share < 1 || b.Share > fullShare {
		return nil, errorf(hv.Invalid, "share: got %d, want 1 to %d", b.Share, fullShare)
	}
	t.throttle(w.clock.Now(), b.Share)
	return nil, nil
}

func (w *Worker) serveCheckpoint(id string, _ *http.Request) (any, error) {
	t, err := w.running(id)
	switch {
	case err != nil:
		return nil, err
	case t.attempt.Task.Program == "once":
		return nil, errorf(hv.Conflict, "program %s does not support checkpoints", t.attempt.Task.Program)
	}
	t.attempt.Checkpoint = checkpointPrefix + t.progress.String()
	return hvworker.CheckpointResponse{Checkpoint: t.attempt.Checkpoint}, nil
}

func (w *Worker) serveFaults(rw http.ResponseWriter, r *http.Request) {
	f, err := decode[Faults](r)
	if err != nil {
		http.Error(rw, err.Error(), http.StatusBadRequest)
		return
	}
	w.SetFaults(f)
	rw.WriteHeader(http.StatusNoContent)
}

func decode[T any](r *http.Request) (T, error) {
	var v T
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		return v, errorf(hv.Invalid, "body: %v", err)
	}
	return v, nil
}

var statusCodes = map[hv.ErrorKind]int{
	hv.Invalid:  http.StatusBadRequest,
	hv.NotFound: http.StatusNotFound,
	hv.Conflict: http.StatusConflict,
	hv.Expired:  http.StatusGone,
	hv.Full:     http.StatusInsufficientStorage,
}

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("fake worker: %v", e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

func errorf(kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: "serve", Kind: kind, Err: errors.Errorf(format, args...)}
}
