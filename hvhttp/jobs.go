package hvhttp

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// maxWait bounds ?wait= of a job.
	maxWait = 30 * time.Second
	// maxList bounds the jobs in one answer, and defaultList holds without
	// ?max=.
	maxList     = 1000
	defaultList = 100
	// maxCancel bounds the identifiers in one cancellation.
	maxCancel = 1000
)

// Job is the state of a task as callers see it.
type Job struct {
	Task  hv.Task `json:"task"`
	State string  `json:"state"`
	// Reason says in words why the task waits, cannot run or has ended.
	Reason  string `json:"reason,omitempty"`
	Host    string `json:"host,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	// Final is true in a state that never changes.
	Final bool `json:"final"`
}

// Query selects jobs for a list.
type Query struct {
	Kind hv.Kind
	// Label and Value select by a label, if Label is not empty.
	Label, Value string
	// Limit bounds the list.
	Limit int
}

// Selection names the tasks of a cancellation: identifiers or a label.
type Selection struct {
	IDs          []string
	Label, Value string
}

// JobStore is the store of tasks. Errors carry a kind: Conflict for a known
// identifier with another body, NotFound, Unavailable while the log is down,
// Uncertain if the operation may have taken effect.
type JobStore interface {
	// Submit returns when the submission is in the log.
	Submit(ctx context.Context, caller string, t hv.Task) (Job, error)
	Get(ctx context.Context, caller string, kind hv.Kind, id string) (Job, error)
	List(ctx context.Context, caller string, q Query) ([]Job, error)
	// Cancel returns the number of tasks that the cancellation covers.
	Cancel(ctx context.Context, caller string, s Selection) (int, error)
	// Wait returns when the state is final or ctx has ended, with the state at
	// that time.
	Wait(ctx context.Context, caller string, kind hv.Kind, id string) (Job, error)
}

// TaskAPI serves jobs and watchers.
type TaskAPI struct {
	Auth  AuthFunc
	Jobs  JobStore
	NewID func() string

	bodies *bodies
}

// Register adds the API to a mux.
func (h TaskAPI) Register(mux *http.ServeMux) {
	h.bodies = newBodies(documentMemory)
	for path, kind := range map[string]hv.Kind{"/v1/jobs": hv.Job, "/v1/watchers": hv.Watcher} {
		mux.HandleFunc("POST "+path, authed(h.Auth, h.submit(kind)))
		mux.HandleFunc("GET "+path, authed(h.Auth, h.list(kind)))
		mux.HandleFunc("GET "+path+"/{id...}", authed(h.Auth, h.get(kind)))
		mux.HandleFunc("DELETE "+path+"/{id...}", authed(h.Auth, h.delete(kind)))
	}
	mux.HandleFunc("POST /v1/cancel", authed(h.Auth, h.cancel))
}

type handler = func(w http.ResponseWriter, r *http.Request, caller string)

func (h TaskAPI) submit(kind hv.Kind) handler {
	return func(w http.ResponseWriter, r *http.Request, caller string) {
		body, free, err := h.bodies.read(w, r, caller, maxDocument)
		if err != nil {
			refuse(w, err, "")
			return
		}
		defer free()
		t, err := h.task(body, kind)
		if err != nil {
			refuse(w, err, t.ID)
			return
		}
		job, err := h.Jobs.Submit(r.Context(), caller, t)
		if err != nil {
			writeError(w, err, t.ID)
			return
		}
		writeJSON(w, http.StatusAccepted, job)
	}
}

// task decodes and completes a task.
func (h TaskAPI) task(body []byte, kind hv.Kind) (hv.Task, error) {
	t, err := decode[hv.Task](body)
	if err != nil {
		return t, err
	}
	if t.ID == "" {
		t.ID = h.NewID()
	}
	if t.Kind == "" {
		t.Kind = kind
	}
	if t.Kind != kind {
		return t, invalid("kind", "want %q under this path", kind)
	}
	return t, fieldOf(t.Check())
}

// fieldOf takes the name of the field from the error of a check, which
// begins with it.
func fieldOf(err error) error {
	var e *hv.Error
	if !errors.As(err, &e) {
		return err
	}
	field, text, ok := strings.Cut(e.Err.Error(), ": ")
	if !ok {
		return err
	}
	return invalid(field, "%s", text)
}

func (h TaskAPI) get(kind hv.Kind) handler {
	return func(w http.ResponseWriter, r *http.Request, caller string) {
		id := r.PathValue("id")
		wait, err := waitOf(r)
		if err != nil {
			writeError(w, err, id)
			return
		}
		var job Job
		if wait > 0 {
			ctx, cancel := context.WithTimeout(r.Context(), wait)
			defer cancel()
			job, err = h.Jobs.Wait(ctx, caller, kind, id)
		} else {
			job, err = h.Jobs.Get(r.Context(), caller, kind, id)
		}
		if err != nil {
			writeError(w, err, id)
			return
		}
		writeJSON(w, http.StatusOK, job)
	}
}

func waitOf(r *http.Request) (time.Duration, error) {
	v := r.URL.Query().Get("wait")
	if v == "" {
		return 0, nil
	}
	var d hv.Duration
	if err := d.UnmarshalText([]byte(v)); err != nil || d.Std() > maxWait {
		return 0, invalid("wait", "%q: want a duration such as \"10s\" up to %v", v, maxWait)
	}
	return d.Std(), nil
}

func (h TaskAPI) list(kind hv.Kind) handler {
	return func(w http.ResponseWriter, r *http.Request, caller string) {
		q, err := queryOf(r, kind)
		if err != nil {
			writeError(w, err, "")
			return
		}
		jobs, err := h.Jobs.List(r.Context(), caller, q)
		if err != nil {
			writeError(w, err, "")
			return
		}
		writeJSON(w, http.StatusOK, map[string][]Job{"jobs": append([]Job{}, jobs...)})
	}
}

func queryOf(r *http.Request, kind hv.Kind) (Query, error) {
	q := Query{Kind: kind, Limit: defaultList}
	var err error
	if v := r.URL.Query().Get("max"); v != "" {
		q.Limit, err = strconv.Atoi(v)
		if err != nil || q.Limit < 1 || q.Limit > maxList {
			return q, invalid("max", "%q: want a number from 1 to %d", v, maxList)
		}
	}
	if v := r.URL.Query().Get("label"); v != "" {
		q.Label, q.Value, err = labelOf(v)
	}
	return q, err
}

func labelOf(v string) (label, value string, err error) {
	label, value, ok := strings.Cut(v, "=")
	if !ok || label == "" {
		return "", "", invalid("label", "%q: want NAME=VALUE", v)
	}
	return label, value, nil
}
