package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"sync"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

const testToken = "0123456789abcdef"

// fakeGate serves the real HTTP handlers of a gate over settings and jobs in
// memory.
type fakeGate struct {
	http.Handler
	mu       sync.Mutex
	settings *hvconf.Store
	offset   hv.Offset
	jobs     map[string]hvhttp.Job
	posts    int
	// fault applies to the next POST; rivalFiles are the settings that another
	// operator publishes.
	fault      string
	rivalFiles hvconf.Files
}

func newFakeGate() *fakeGate {
	s := &fakeGate{jobs: map[string]hvhttp.Job{}}
	s.settings = hvconf.NewStore(func(n int, message string) { panic(message) })
	mux := http.NewServeMux()
	auth := hvhttp.NewTokenTable(map[string]string{testToken: "ana"}).Lookup
	hvhttp.AdminAPI{Auth: auth, Admin: s}.Register(mux)
	hvhttp.TaskAPI{Auth: auth, Jobs: s, NewID: func() string { return "made-by-gate" }}.Register(mux)
	s.Handler = mux
	return s
}

// ServeHTTP serves one request at a time and applies the fault.
func (s *fakeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method != http.MethodPost {
		s.Handler.ServeHTTP(w, r)
		return
	}
	s.posts++
	fault := s.fault
	s.fault = ""
	if fault == "beaten" {
		s.publishRival()
	}
	if fault == "lost" || fault == "raced" {
		s.Handler.ServeHTTP(httptest.NewRecorder(), r)
	}
	switch fault {
	case "raced":
		s.publishRival()
	case "balancer":
		http.Error(w, "<html>", http.StatusBadGateway)
		return
	case "uncertain":
		s.fault = fault
	}
	if fault == "lost" || fault == "raced" || fault == "beaten" || fault == "ignored" {
		panic(http.ErrAbortHandler)
	}
	s.Handler.ServeHTTP(w, r)
}

// publishRival publishes rivalFiles as another operator.
func (s *fakeGate) publishRival() {
	p := hvconf.Publication{Base: s.settings.Current().Number, Author: "ben", Files: s.rivalFiles}
	if _, err := hvconf.Publish(context.Background(), s.settings, s.append, p); err != nil {
		panic(err)
	}
}

func (s *fakeGate) append(_ context.Context, kind string, body json.RawMessage) (hv.Offset, error) {
	s.offset++
	s.settings.Apply(hv.Record{Offset: s.offset, Kind: kind, Body: body})
	return s.offset, nil
}

func (s *fakeGate) Settings(context.Context) (out hvhttp.Settings, err error) {
	data, err := s.settings.Snapshot()
	if err == nil {
		err = json.Unmarshal(data, &out)
	}
	return out, err
}

func (s *fakeGate) Publish(ctx context.Context, p hvhttp.Publication) (hv.Offset, error) {
	if s.fault == "uncertain" {
		s.fault = ""
		return 0, &hvconf.Error{Op: "publish", Kind: hv.Uncertain, Err: errors.New("no response from the log service")}
	}
	return hvconf.Publish(ctx, s.settings, s.append, hvconf.Publication{Base: p.Base, Author: p.Author, Files: p.Files})
}

func (s *fakeGate) Status(context.Context) (any, error) { return map[string]int{"sides": 3}, nil }

func (s *fakeGate) Explain(_ context.Context, task string) (any, error) {
	return map[string]string{"task": task, "reason": "no host has free resources"}, nil
}

func (s *fakeGate) Drain(_ context.Context, host string) error {
	if host != "host-1" {
		return &hvconf.Error{Op: "drain", Kind: hv.NotFound, Err: errors.Errorf("no host %q", host)}
	}
	return nil
}

func (s *fakeGate) Submit(_ context.Context, _ string, t hv.Task) (hvhttp.Job, error) {
	old, known := s.jobs[t.ID]
	if known && old.Task.Program != t.Program {
		return old, &hvconf.Error{Op: "submit", Kind: hv.Conflict, Err: errors.Errorf("%s already exists", t.ID)}
	}
	s.jobs[t.ID] = hvhttp.Job{Task: t, State: "queued", Reason: "no host\nhas free resources"}
	return s.jobs[t.ID], nil
}

func (s *fakeGate) Get(_ context.Context, _ string, kind hv.Kind, id string) (hvhttp.Job, error) {
	j, known := s.jobs[id]
	if !known || j.Task.Kind != kind {
		return j, &hvconf.Error{Op: "get", Kind: hv.NotFound, Err: errors.Errorf("no %s %q", kind, id)}
	}
	return j, nil
}

func (s *fakeGate) List(_ context.Context, _ string, q hvhttp.Query) (all []hvhttp.Job, _ error) {
	for _, j := range s.jobs {
		if j.Task.Kind == q.Kind && j.Task.Labels[q.Label] == q.Value {
			all = append(all, j)
		}
	}
	return all, nil
}

func (s *fakeGate) Cancel(_ context.Context, _ string, sel hvhttp.Selection) (int, error) {
	return len(sel.IDs) + len(sel.Value), nil
}

// Wait moves a job to its next state: from queued to running, then to a final
// state named like its program.
func (s *fakeGate) Wait(ctx context.Context, caller string, kind hv.Kind, id string) (hvhttp.Job, error) {
	j, err := s.Get(ctx, caller, kind, id)
	if j.State == "queued" {
		j.State = "running"
	} else {
		j.State, j.Final = j.Task.Program, true
	}
	s.jobs[id] = j
	return j, err
}
