package hvagent

import (
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// serve adds an upstream to the host.
func (f *fixture) serve(h http.HandlerFunc) {
	server := httptest.NewServer(h)
	f.Cleanup(server.Close)
	f.conf.Service, f.conf.Upstream, f.conf.Worker = "label", server.URL, ""
}

func request(id, key string) hv.Request {
	return hv.Request{
		ID: id, Caller: "shop", Class: hv.Urgent, Service: "label", Method: http.MethodPost, Path: "/print",
		Body: []byte("a"), IdempotencyKey: key, Remaining: hv.Duration(20 * time.Second), Attempt: 1,
	}
}

// keyAt returns a key that was created at a time.
func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(id[:6], ms[2:])
	return id.String()
}

// Guards against a second run of a key whose repeat comes through another gate
// while the first one runs.
func TestKeyRunsOnceThroughTwoGates(t *testing.T) {
	f := newFixture(t, 2)
	var runs atomic.Int64
	release := make(chan struct{})
	f.serve(func(w http.ResponseWriter, r *http.Request) {
		runs.Add(1)
		<-release
		_, _ = w.Write([]byte(r.Header.Get("Idempotency-Key")))
	})
	since := f.clock.Now()
	for _, g := range f.gates {
		g.grantAll(since)
	}
	a, _ := f.start()
	eventually(t, "the grant", func() bool { return len(a.service.keys.memory.ServedSlots()) == 256 })
	// A key that is older than the ownership may have run elsewhere.
	var old hv.Response
	if err := f.gates[0].call(hvwire.MethodRun, request("r0", keyAt(since)), &old); err != nil || old.Outcome != hv.Unknown {
		t.Errorf("an old key: %+v, error %v", old, err)
	}
	f.clock.pass(5 * time.Second)
	key := keyAt(f.clock.Now())
	answers := make([]hv.Response, 2)
	var wg sync.WaitGroup
	for i, id := range []string{"r1", "r2"} {
		wg.Go(func() {
			if err := f.gates[i].call(hvwire.MethodRun, request(id, key), &answers[i]); err != nil {
				t.Error(err)
			}
		})
	}
	eventually(t, "the run", func() bool { return runs.Load() > 0 })
	f.gates[0].nextBeats(t)
	close(release)
	wg.Wait()
	for i, ans := range answers {
		if ans.Outcome != hv.Done || string(ans.Body) != key || ans.ID != []string{"r1", "r2"}[i] || ans.Checksum != xxhash.Sum64(ans.Body) {
			t.Errorf("answer %d: %+v", i, ans)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("the key ran %d times", runs.Load())
	}
}

// Guards against a stop that cuts off a request in flight or takes a new one.
func TestStopFinishesRequests(t *testing.T) {
	f := newFixture(t, 1)
	entered, held := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(held) })
	f.serve(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-held
		_, _ = w.Write([]byte("done"))
	})
	t.Cleanup(release)
	f.gates[0].grantAll(f.clock.Now())
	_, stop := f.start()
	g := f.gates[0]
	first := make(chan hv.Response, 1)
	go func() {
		var ans hv.Response
		if err := g.call(hvwire.MethodRun, request("r1", ""), &ans); err != nil {
			t.Error(err)
		}
		first <- ans
	}()
	<-entered
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	eventually(t, "the leave", func() bool { return get(g, func(g *fakeGate) bool { return g.left && g.beat.Leaving }) })
	var refused hv.Response
	if err := g.call(hvwire.MethodRun, request("r2", ""), &refused); err != nil || refused.Outcome != hv.NotRun {
		t.Errorf("a new request: %+v, error %v", refused, err)
	}
	// The request lasts longer than the pause before the connections close.
	g.nextBeats(t)
	g.nextBeats(t)
	release()
	if ans := <-first; ans.Outcome != hv.Done || string(ans.Body) != "done" {
		t.Errorf("the request in flight: %+v", ans)
	}
	<-stopped
}

// Guards against outcomes that promise too much.
func TestOutcomesOfTheUpstream(t *testing.T) {
	f := newFixture(t, 1)
	f.serve(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/cut":
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("short"))
		case "/long":
			_, _ = w.Write([]byte(strings.Repeat("x", maxAnswer+1)))
		case "/moved":
			http.Redirect(w, r, "/cut", http.StatusFound)
		}
	})
	for path, want := range map[string]hv.Outcome{"/cut": hv.Unknown, "/long": hv.Unknown, "/moved": hv.Done, "/": hv.Done} {
		u := newUpstream(f.conf.Upstream, func() int { return maxAnswer })
		req := request("r", "")
		req.Path = path
		if ans := u.forward(t.Context(), req, time.Minute); ans.Outcome != want {
			t.Errorf("%s: %+v, want %s", path, ans, want)
		}
		u.http.CloseIdleConnections()
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	u := newUpstream(closed.URL, func() int { return maxAnswer })
	if ans := u.forward(t.Context(), request("r", ""), time.Minute); ans.Outcome != hv.NotRun {
		t.Errorf("a refused connection: %+v", ans)
	}
}

// Guards against net/http, which sends some requests again when a connection
// that was used before ends without an answer.
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, body := range []string{"", "a"} {
			f := newFixture(t, 1)
			var runs atomic.Int64
			f.serve(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					return
				}
				runs.Add(1)
				panic(http.ErrAbortHandler)
			})
			u := newUpstream(f.conf.Upstream, func() int { return maxAnswer })
			warm := request("r0", "")
			warm.Path = "/warm"
			if ans := u.forward(t.Context(), warm, time.Minute); ans.Outcome != hv.Done {
				t.Fatalf("%+v", ans)
			}
			req := request("r1", "key")
			req.Method, req.Body = method, []byte(body)
			if ans := u.forward(t.Context(), req, time.Minute); ans.Outcome != hv.Unknown || runs.Load() != 1 {
				t.Errorf("%s with body %q: %d runs, answer %+v", method, body, runs.Load(), ans)
			}
			u.http.CloseIdleConnections()
		}
	}
}
