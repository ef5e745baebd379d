package hvhttp_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhttp"
)

const token = "s3cret"

// fake implements Runner, JobStore and Admin.
type fake struct {
	request   hv.Request
	response  hv.Response
	task      hv.Task
	selection hvhttp.Selection
	query     hvhttp.Query
	err       error
	waited    time.Duration
	block     bool
}

func (f *fake) Do(ctx context.Context, req hv.Request) hv.Response {
	f.request = req
	if f.block {
		<-ctx.Done()
	}
	resp := f.response
	resp.ID = req.ID
	return resp
}

func (f *fake) Submit(_ context.Context, _ string, t hv.Task) (hvhttp.Job, error) {
	f.task = t
	return hvhttp.Job{Task: t, State: "queued"}, f.err
}

func (f *fake) Get(_ context.Context, _ string, kind hv.Kind, id string) (hvhttp.Job, error) {
	return hvhttp.Job{Task: hv.Task{ID: id, Kind: kind}, State: "running"}, f.err
}

func (f *fake) List(_ context.Context, _ string, q hvhttp.Query) ([]hvhttp.Job, error) {
	f.query = q
	return nil, f.err
}

func (f *fake) Cancel(_ context.Context, _ string, s hvhttp.Selection) (int, error) {
	f.selection = s
	return 1, f.err
}

func (f *fake) Wait(ctx context.Context, caller string, kind hv.Kind, id string) (hvhttp.Job, error) {
	end, _ := ctx.Deadline()
	f.waited = time.Until(end)
	return f.Get(ctx, caller, kind, id)
}

func (f *fake) Settings(context.Context) (hvhttp.Settings, error) {
	return hvhttp.Settings{Version: 7, Files: map[string]json.RawMessage{}}, f.err
}

func (f *fake) Publish(_ context.Context, p hvhttp.Publication) (hv.Offset, error) {
	return p.Base + 1, f.err
}
func (f *fake) Status(context.Context) (any, error) { return map[string]int{"sides": 3}, f.err }
func (f *fake) Explain(_ context.Context, task string) (any, error) {
	return map[string]string{"task": task}, f.err
}
func (f *fake) Drain(context.Context, string) error { return f.err }

func (f *fake) handler() http.Handler {
	mux := http.NewServeMux()
	auth := hvhttp.NewTokenTable(map[string]string{token: "weights", "": "nobody"}).Lookup
	id := func() string { return "id-1" }
	hvhttp.RunAPI{Auth: auth, Runner: f, NewID: id, DefaultDeadline: func(hv.Class) time.Duration { return 2 * time.Second }}.Register(mux)
	hvhttp.TaskAPI{Auth: auth, Jobs: f, NewID: id}.Register(mux)
	hvhttp.AdminAPI{Auth: auth, Admin: f}.Register(mux)
	hvhttp.HealthAPI{
		Ready:   func() error { return f.err },
		Metrics: func(w io.Writer) error { _, err := io.WriteString(w, "hv_up 1\n"); return err },
	}.Register(mux)
	return mux
}

// call serves a request. The headers alternate between names and values.
func call(h http.Handler, method, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

// Guards against a wrong status code or header for an outcome. Callers base their
// retries on them.
func TestOutcomes(t *testing.T) {
	for _, test := range []struct {
		response       hv.Response
		status         int
		outcome, retry string
	}{
		{hv.Response{Outcome: hv.Done, Status: 201, Body: []byte("label")}, 201, "done", ""},
		{hv.Response{Outcome: hv.Done, Status: 500, Body: []byte("fault")}, 500, "done", ""},
		{hv.Response{Outcome: hv.NotRun, RetryAfter: hv.Duration(1200 * time.Millisecond)}, 503, "not-run", "2"},
		{hv.Response{Outcome: hv.NotRun, Kind: hv.Full, RetryAfter: hv.Duration(time.Millisecond)}, 429, "not-run", "1"},
		{hv.Response{Outcome: hv.Unknown, Reason: "no response"}, 504, "unknown", ""},
	} {
		w := call((&fake{response: test.response}).handler(), "POST", "/v1/run/labels/print", "x")
		if w.Code != test.status || w.Header().Get("Hv-Outcome") != test.outcome || w.Header().Get("Retry-After") != test.retry {
			t.Errorf("%+v: status %d, headers %v", test.response, w.Code, w.Header())
		}
		if w.Header().Get("Hv-Request") != "id-1" {
			t.Errorf("%+v: no request identifier", test.response)
		}
	}
}

// Guards against a path, query or header that does not reach the upstream as the
// caller sent it.
func TestRequestReachesUpstream(t *testing.T) {
	f := &fake{response: hv.Response{Outcome: hv.Done, Status: 200}}
	call(f.handler(), "POST", "/v1/run/labels/a%2Fb/c?day=2", "body",
		"Hv-Class", "urgent", "Hv-Deadline", "250ms", "Idempotency-Key", "k1", "Content-Type", "text/plain")
	got, _ := json.Marshal(f.request)
	want := `{"id":"id-1","caller":"weights","class":"urgent","service":"labels","method":"POST","path":"/a%2Fb/c?day=2","type":"text/plain","body":"Ym9keQ==","key":"k1","left":"250ms","attempt":0}`
	if string(got) != want {
		t.Errorf("request is\n%s, want\n%s", got, want)
	}
	call(f.handler(), "GET", "/v1/run/labels/", "")
	if f.request.Path != "/" || !f.request.Idempotent || f.request.Class != hv.Standard || f.request.Remaining.Std() != 2*time.Second {
		t.Errorf("request with defaults is %+v", f.request)
	}
}

// Guards against error responses that do not name the invalid field.
func TestErrorsNameTheField(t *testing.T) {
	for _, test := range []struct {
		method, path, body, header, value string
		status                            int
		field                             string
	}{
		{"POST", "/v1/run/labels/x", "", "Hv-Class", "soon", 400, "Hv-Class"},
		{"POST", "/v1/run/labels/x", "", "Hv-Deadline", "5", 400, "Hv-Deadline"},
		{"POST", "/v1/run/labels/x", "", "Hv-Deadline", "2m", 400, "Hv-Deadline"},
		{"POST", "/v1/run/labels/x", "", "Hv-Idempotent", "yes", 400, "Hv-Idempotent"},
		{"POST", "/v1/run/labels/x", "", "Idempotency-Key", strings.Repeat("k", 129), 400, "Idempotency-Key"},
		{"POST", "/v1/run/labels/x", strings.Repeat("b", hvhttp.MaxBodySize+1), "", "", 413, "body"},
		{"POST", "/v1/run/labels/x", "", "Authorization", "Bearer wrong", 401, "Authorization"},
		{"POST", "/v1/run/labels/x", "", "Authorization", "Bearer ", 401, "Authorization"},
		{"GET", "/admin/status", "", "Authorization", "Basic " + token, 401, "Authorization"},
		{"POST", "/v1/jobs", `{"program":"p","deadline":"tomorrow"}`, "", "", 400, "deadline"},
		{"POST", "/v1/jobs", `{"program":"p"}`, "", "", 400, "deadline"},
		{"POST", "/v1/jobs", `{"program":"p","runtime":"5"}`, "", "", 400, "runtime"},
		{"POST", "/v1/jobs", `{"program":"p","colour":1}`, "", "", 400, "colour"},
		{"POST", "/v1/jobs", `[]`, "", "", 400, "body"},
		{"POST", "/v1/watchers", `{"program":"p","kind":"job"}`, "", "", 400, "kind"},
		{"POST", "/v1/cancel", `{}`, "", "", 400, "ids"},
		{"POST", "/v1/cancel", `{"label":"day"}`, "", "", 400, "label"},
		{"GET", "/v1/jobs/a?wait=1h", "", "", "", 400, "wait"},
		{"GET", "/v1/jobs?max=0", "", "", "", 400, "max"},
		{"POST", "/admin/publish", `{"base":1}`, "", "", 400, "files"},
	} {
		var headers []string
		if test.header != "" {
			headers = []string{test.header, test.value}
		}
		w := call((&fake{}).handler(), test.method, test.path, test.body, headers...)
		var f struct{ Error, Field string }
		if err := json.Unmarshal(w.Body.Bytes(), &f); err != nil {
			t.Errorf("%s %s: %v in %q", test.method, test.path, err, w.Body)
		}
		if w.Code != test.status || f.Field != test.field || f.Error == "" {
			t.Errorf("%s %s %q: status %d, %+v; want %d and field %s", test.method, test.path, test.value, w.Code, f, test.status, test.field)
		}
	}
}

// Guards against wrong paths, parameters and status codes of the APIs for jobs,
// watchers, administration and health.
func TestJobsAndAdmin(t *testing.T) {
	f := &fake{}
	h := f.handler()
	for _, test := range []struct {
		method, path, body string
		status             int
		want               string
	}{
		{"POST", "/v1/jobs", `{"program":"p","deadline":"2026-01-02T03:04:05Z"}`, 202, `"id":"id-1","kind":"job"`},
		{"POST", "/v1/watchers", `{"id":"w/1","program":"p"}`, 202, `"id":"w/1","kind":"watcher"`},
		{"GET", "/v1/watchers/w/1", "", 200, `"id":"w/1"`},
		{"GET", "/v1/jobs/a?wait=10s", "", 200, `"final":false`},
		{"GET", "/v1/jobs?label=day=friday", "", 200, `{"jobs":[]}`},
		{"DELETE", "/v1/jobs/a", "", 202, `{"canceled":1}`},
		{"POST", "/v1/cancel", `{"label":"day=friday"}`, 202, `{"canceled":1}`},
		{"GET", "/admin/settings", "", 200, `{"version":7,"files":{}}`},
		{"POST", "/admin/publish", `{"base":7,"files":{"a.json":{"teams":{}}}}`, 200, `{"version":8}`},
		{"GET", "/admin/explain/w/1", "", 200, `{"task":"w/1"}`},
		{"POST", "/admin/drain/h1", "", 202, `{"host":"h1"}`},
		{"GET", "/healthz", "", 200, "ok"},
		{"GET", "/readyz", "", 200, "ready"},
		{"GET", "/metrics", "", 200, "hv_up 1"},
	} {
		w := call(h, test.method, test.path, test.body)
		if w.Code != test.status || !strings.Contains(w.Body.String(), test.want) {
			t.Errorf("%s %s: status %d, body %s; want %d with %s", test.method, test.path, w.Code, w.Body, test.status, test.want)
		}
	}
	if f.query.Label != "day" || f.query.Value != "friday" || f.selection.Label != "day" || f.waited < 9*time.Second {
		t.Errorf("label is %q, selection %+v, wait %v", f.query.Label, f.selection, f.waited)
	}
	for kind, status := range map[hv.ErrorKind]int{hv.NotFound: 404, hv.Conflict: 409, hv.Unavailable: 503, hv.Uncertain: 504, hv.Internal: 500} {
		f.err = &hvhttp.Error{Op: "test", Kind: kind, Err: errors.New("fault")}
		if w := call(h, "POST", "/v1/watchers", `{"id":"w1","program":"p"}`); w.Code != status || !strings.Contains(w.Body.String(), `"id":"w1"`) {
			t.Errorf("%s: status %d, body %s; want %d", kind, w.Code, w.Body, status)
		}
	}
}

// pipeListener is a listener whose connections are pipes in memory, so that timeouts
// run in virtual time.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	select {
	case <-p.done:
	default:
		close(p.done)
	}
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	return client
}

// Guards against callers that occupy a connection and memory by sending slowly.
func TestSlowCallerIsDisconnected(t *testing.T) {
	for _, test := range []struct {
		name, text string
		within     time.Duration
	}{
		{"headers", "POST /v1/run/labels/x HTTP/1.1\r\nHost: g\r\n", 6 * time.Second},
		{"body", "POST /v1/run/labels/x HTTP/1.1\r\nHost: g\r\nAuthorization: Bearer " + token + "\r\nContent-Length: 10\r\n\r\nab", 11 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				l, f, end := newPipeListener(), &fake{}, make(chan error, 1)
				go func() { end <- hvhttp.Serve(ctx, l, f.handler()) }()
				c := l.dial()
				defer c.Close()
				start := time.Now()
				fmt.Fprint(c, test.text)
				_, _ = io.Copy(io.Discard, c)
				if took := time.Since(start); took > test.within {
					t.Errorf("connection closed after %v, want at most %v", took, test.within)
				}
				if f.request.ID != "" {
					t.Error("a request with an incomplete body was run")
				}
				cancel()
				if err := <-end; err != nil {
					t.Error(err)
				}
			})
		})
	}
}

// Guards against a shutdown that interrupts a request in flight, and against an
// unlimited number of connections.
func TestStopFinishesRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		l, end := newPipeListener(), make(chan error, 1)
		mux := http.NewServeMux()
		mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(5 * time.Second)
			_, _ = io.WriteString(w, "complete")
		})
		go func() { end <- hvhttp.Serve(ctx, hvhttp.LimitConnections(l, 1), mux) }()
		c := l.dial()
		go fmt.Fprint(c, "GET / HTTP/1.1\r\nHost: g\r\n\r\n")
		time.Sleep(time.Second)
		start := time.Now()
		if _, err := l.dial().Read(make([]byte, 1)); err == nil || time.Since(start) > 0 {
			t.Errorf("a connection beyond the limit ended after %v with %v, want at once with an error", time.Since(start), err)
		}
		cancel()
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil || string(body) != "complete" {
			t.Errorf("got body %q, error %v; want the complete response", body, err)
		}
		if err := <-end; err != nil {
			t.Error(err)
		}
	})
}
