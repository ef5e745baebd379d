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

// Faults are the failures of a worker.
type Faults struct {
	// FailTasks lets everything fail that is started.
	FailTasks bool `json:"fail,omitempty"`
	// Delay delays every answer.
	Delay hv.Duration `json:"slow,omitempty"`
	// Unreachable cuts every connection.
	Unreachable bool `json:"unreachable,omitempty"`
	// DropResponses cuts the connection after the call has taken effect.
	DropResponses bool `json:"mute,omitempty"`
}

const (
	maxBodyBytes = 1 << 20
	// maxSlow bounds the delay of an answer.
	maxSlow = 30 * time.Second
)

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.faults = f
}

// Handler serves the protocol of the worker, and for tests PUT /faults and
// GET /history.
func (w *Worker) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /capacity", w.serve(func(string, *http.Request) (any, error) { return w.options.Capacity, nil }))
	mux.HandleFunc("GET /tasks", w.serve(func(string, *http.Request) (any, error) { return w.list(), nil }))
	mux.HandleFunc("GET /usage", w.serve(func(string, *http.Request) (any, error) { return w.usage(), nil }))
	mux.HandleFunc("PUT /tasks/{id}", w.serve(w.serveStart))
	mux.HandleFunc("DELETE /tasks/{id}", w.serve(func(id string, _ *http.Request) (any, error) { w.stop(id); return nil, nil }))
	mux.HandleFunc("POST /tasks/{id}/renew", w.serve(w.serveRenew))
	mux.HandleFunc("POST /tasks/{id}/throttle", w.serve(w.serveThrottle))
	mux.HandleFunc("POST /tasks/{id}/checkpoint", w.serve(w.serveCheckpoint))
	mux.HandleFunc("PUT /faults", w.serveFaults)
	mux.HandleFunc("GET /history", func(rw http.ResponseWriter, _ *http.Request) { answer(rw, w.History()) })
	return mux
}

// serve applies the faults around a handler that runs under the lock.
func (w *Worker) serve(handle func(id string, r *http.Request) (any, error)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		w.mu.Lock()
		f := w.faults
		w.mu.Unlock()
		if f.Unreachable {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-time.After(min(f.Delay.Std(), maxSlow)):
		case <-r.Context().Done():
			return
		}
		r.Body = http.MaxBytesReader(rw, r.Body, maxBodyBytes)
		w.mu.Lock()
		w.advance()
		ans, err := handle(r.PathValue("id"), r)
		w.mu.Unlock()
		switch {
		case f.DropResponses && r.Method != http.MethodGet:
			panic(http.ErrAbortHandler)
		case err != nil:
			http.Error(rw, err.Error(), statuses[hv.KindOf(err)])
		default:
			answer(rw, ans)
		}
	}
}

func answer(rw http.ResponseWriter, ans any) {
	rw.Header().Set("Content-Type", "application/json")
	// An error of the write means that the client has gone.
	_ = json.NewEncoder(rw).Encode(ans)
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
	if t == nil || t.run.State != hv.StateRunning {
		return nil, errorf(hv.NotFound, "attempt %s does not run", id)
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
	if end := w.clock.Now().Add(time.Duration(b.LeaseMillis) * time.Millisecond); end.After(t.lease) {
		t.lease = end
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
		return nil, errorf(hv.Invalid, "share: %d is not within 1 to %d", b.Share, fullShare)
	}
	t.throttle(w.clock.Now(), b.Share)
	return nil, nil
}

func (w *Worker) serveCheckpoint(id string, _ *http.Request) (any, error) {
	t, err := w.running(id)
	switch {
	case err != nil:
		return nil, err
	case t.run.Task.Program == "once":
		return nil, errorf(hv.Conflict, "program %s cannot write a checkpoint", t.run.Task.Program)
	}
	t.run.Checkpoint = checkpointPrefix + t.progress.String()
	return hvworker.CheckpointResponse{Checkpoint: t.run.Checkpoint}, nil
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

var statuses = map[hv.ErrorKind]int{
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

func (e *Error) Error() string { return fmt.Sprintf("worker stand-in: %v", e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

func errorf(kind hv.ErrorKind, format string, args ...any) error {
	return &Error{Op: "serve", Kind: kind, Err: errors.Errorf(format, args...)}
}
