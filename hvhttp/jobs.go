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
	// maxWait is the maximum value of the wait parameter.
	maxWait = 30 * time.Second
	// maxList is the maximum value of the max parameter of a list, and defaultList
	// its default.
	maxList     = 1000
	defaultList = 100
	// maxCancel is the maximum number of identifiers in one cancellation.
	maxCancel = 1000
)

// Job is the state of a task as reported to callers.
type Job struct {
	Task  hv.Task `json:"task"`
	State string  `json:"state"`
	// Reason describes why the task waits, cannot run or has ended.
	Reason  string `json:"reason,omitempty"`
	Host    string `json:"host,omitempty"`
	Attempt int    `json:"attempt,omitempty"`
	// Final reports whether the state can no longer change.
	Final bool `json:"final"`
}

// Query selects jobs for a list.
type Query struct {
	Kind hv.Kind
	// Label and Value select the jobs with this value of the label, if Label is not
	// empty.
	Label, Value string
	// Limit is the maximum length of the list.
	Limit int
}

// Selection selects the tasks of a cancellation by identifier or by label.
type Selection struct {
	IDs          []string
	Label, Value string
}

// JobStore stores the tasks. Its errors have one of these kinds: Conflict for a
// known identifier with a different body, NotFound, Unavailable while the log service
// is unreachable, Uncertain if the operation may have taken effect.
type JobStore interface {
	// Submit returns after the submission has been written to the log.
	Submit(ctx context.Context, caller string, t hv.Task) (Job, error)
	Get(ctx context.Context, caller string, kind hv.Kind, id string) (Job, error)
	List(ctx context.Context, caller string, q Query) ([]Job, error)
	// Cancel returns the number of selected tasks.
	Cancel(ctx context.Context, caller string, s Selection) (int, error)
	// Wait waits until the state is final or ctx is done, and returns the state at
	// that time.
	Wait(ctx context.Context, caller string, kind hv.Kind, id string) (Job, error)
}

// TaskAPI serves jobs and watchers.
type TaskAPI struct {
	Auth  AuthFunc
	Jobs  JobStore
	NewID func() string

	bodies *bodyBudget
}

// Register adds the API to a mux.
func (h TaskAPI) Register(mux *http.ServeMux) {
	h.bodies = newBodyBudget(documentMemory)
	for path, kind := range map[string]hv.Kind{"/v1/jobs": hv.Job, "/v1/watchers": hv.Watcher} {
		mux.HandleFunc("POST "+path, requireAuth(h.Auth, h.submit(kind)))
		mux.HandleFunc("GET "+path, requireAuth(h.Auth, h.list(kind)))
		mux.HandleFunc("GET "+path+"/{id...}", requireAuth(h.Auth, h.get(kind)))
		mux.HandleFunc("DELETE "+path+"/{id...}", requireAuth(h.Auth, h.delete(kind)))
	}
	mux.HandleFunc("POST /v1/cancel", requireAuth(h.Auth, h.cancel))
}

type handler = func(w http.ResponseWriter, r *http.Request, caller string)

func (h TaskAPI) submit(kind hv.Kind) handler {
	return func(w http.ResponseWriter, r *http.Request, caller string) {
		body, release, err := h.bodies.read(w, r, caller, maxTaskSize)
		if err != nil {
			writeNotRun(w, err, "")
			return
		}
		defer release()
		t, err := h.decodeTask(body, kind)
		if err != nil {
			writeNotRun(w, err, t.ID)
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

// decodeTask decodes a task, sets its defaults and checks it.
func (h TaskAPI) decodeTask(body []byte, kind hv.Kind) (hv.Task, error) {
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
		return t, invalid("kind", "want %q for this path", kind)
	}
	return t, withField(t.Check())
}

// withField converts the error of a check, whose text begins with the name of the
// invalid field, to an error with that field.
func withField(err error) error {
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
		wait, err := parseWait(r)
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

func parseWait(r *http.Request) (time.Duration, error) {
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
		q, err := parseQuery(r, kind)
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

func parseQuery(r *http.Request, kind hv.Kind) (Query, error) {
	q := Query{Kind: kind, Limit: defaultList}
	var err error
	if v := r.URL.Query().Get("max"); v != "" {
		q.Limit, err = strconv.Atoi(v)
		if err != nil || q.Limit < 1 || q.Limit > maxList {
			return q, invalid("max", "%q: want a number from 1 to %d", v, maxList)
		}
	}
	if v := r.URL.Query().Get("label"); v != "" {
		q.Label, q.Value, err = parseLabel(v)
	}
	return q, err
}

func parseLabel(v string) (label, value string, err error) {
	label, value, ok := strings.Cut(v, "=")
	if !ok || label == "" {
		return "", "", invalid("label", "%q: want NAME=VALUE", v)
	}
	return label, value, nil
}
