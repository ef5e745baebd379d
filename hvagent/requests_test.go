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

// addUpstream adds an upstream to the host.
func (f *fixture) addUpstream(h http.HandlerFunc) {
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

// keyAt returns a key whose creation time is at.
func keyAt(at time.Time) string {
	id := uuid.Must(uuid.NewV7())
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(id[:6], ms[2:])
	return id.String()
}

// Guards against a request that runs twice because it is repeated with the same
// key through another gate while the first one is running.
func TestKeyRunsOnceThroughTwoGates(t *testing.T) {
	f := newFixture(t, 2)
	var runs atomic.Int64
	release := make(chan struct{})
	f.addUpstream(func(w http.ResponseWriter, r *http.Request) {
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
	// A key that is older than the ownership of its slot may have run elsewhere.
	var oldResp hv.Response
	if err := f.gates[0].call(hvwire.MethodRun, request("r0", keyAt(since)), &oldResp); err != nil || oldResp.Outcome != hv.Unknown {
		t.Errorf("an old key: %+v, error %v", oldResp, err)
	}
	f.clock.advance(5 * time.Second)
	key := keyAt(f.clock.Now())
	responses := make([]hv.Response, 2)
	var wg sync.WaitGroup
	for i, id := range []string{"r1", "r2"} {
		wg.Go(func() {
			if err := f.gates[i].call(hvwire.MethodRun, request(id, key), &responses[i]); err != nil {
				t.Error(err)
			}
		})
	}
	eventually(t, "the run", func() bool { return runs.Load() > 0 })
	f.gates[0].awaitHeartbeats(t)
	close(release)
	wg.Wait()
	for i, resp := range responses {
		if resp.Outcome != hv.Done || string(resp.Body) != key || resp.ID != []string{"r1", "r2"}[i] || resp.Checksum != xxhash.Sum64(resp.Body) {
			t.Errorf("response %d: %+v", i, resp)
		}
	}
	if runs.Load() != 1 {
		t.Errorf("the key ran %d times", runs.Load())
	}
}

// Guards against a shutdown that interrupts a request in flight or accepts a new
// one.
func TestStopFinishesRequests(t *testing.T) {
	f := newFixture(t, 1)
	entered, blocked := make(chan struct{}), make(chan struct{})
	release := sync.OnceFunc(func() { close(blocked) })
	f.addUpstream(func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-blocked
		_, _ = w.Write([]byte("done"))
	})
	t.Cleanup(release)
	f.gates[0].grantAll(f.clock.Now())
	_, stop := f.start()
	g := f.gates[0]
	first := make(chan hv.Response, 1)
	go func() {
		var resp hv.Response
		if err := g.call(hvwire.MethodRun, request("r1", ""), &resp); err != nil {
			t.Error(err)
		}
		first <- resp
	}()
	<-entered
	stopped := make(chan struct{})
	go func() { stop(); close(stopped) }()
	eventually(t, "the leave message", func() bool { return get(g, func(g *fakeGate) bool { return g.leaveReceived && g.heartbeat.Leaving }) })
	var refused hv.Response
	if err := g.call(hvwire.MethodRun, request("r2", ""), &refused); err != nil || refused.Outcome != hv.NotRun {
		t.Errorf("a new request: %+v, error %v", refused, err)
	}
	// The request lasts longer than the pause before the connections close.
	g.awaitHeartbeats(t)
	g.awaitHeartbeats(t)
	release()
	if resp := <-first; resp.Outcome != hv.Done || string(resp.Body) != "done" {
		t.Errorf("the request in flight: %+v", resp)
	}
	<-stopped
}

// Guards against a truncated or oversized response that is passed on as done, and
// against a request counted as possibly run although its connection was refused.
func TestOutcomesOfTheUpstream(t *testing.T) {
	f := newFixture(t, 1)
	f.addUpstream(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/cut":
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("short"))
		case "/long":
			_, _ = w.Write([]byte(strings.Repeat("x", maxResponseSize+1)))
		case "/moved":
			http.Redirect(w, r, "/cut", http.StatusFound)
		}
	})
	for path, want := range map[string]hv.Outcome{"/cut": hv.Unknown, "/long": hv.Unknown, "/moved": hv.Done, "/": hv.Done} {
		u := newUpstream(f.conf.Upstream, func() int { return maxResponseSize })
		req := request("r", "")
		req.Path = path
		if resp := u.forward(t.Context(), req, time.Minute); resp.Outcome != want {
			t.Errorf("%s: %+v, want %s", path, resp, want)
		}
		u.http.CloseIdleConnections()
	}
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	u := newUpstream(closed.URL, func() int { return maxResponseSize })
	if resp := u.forward(t.Context(), request("r", ""), time.Minute); resp.Outcome != hv.NotRun {
		t.Errorf("a refused connection: %+v", resp)
	}
}

// Guards against a request that runs twice because net/http retries some requests
// when a reused connection ends without a response.
func TestRequestIsSentOnce(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		for _, body := range []string{"", "a"} {
			f := newFixture(t, 1)
			var runs atomic.Int64
			f.addUpstream(func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/warm" {
					return
				}
				runs.Add(1)
				panic(http.ErrAbortHandler)
			})
			u := newUpstream(f.conf.Upstream, func() int { return maxResponseSize })
			warmUp := request("r0", "")
			warmUp.Path = "/warm"
			if resp := u.forward(t.Context(), warmUp, time.Minute); resp.Outcome != hv.Done {
				t.Fatalf("%+v", resp)
			}
			req := request("r1", "key")
			req.Method, req.Body = method, []byte(body)
			if resp := u.forward(t.Context(), req, time.Minute); resp.Outcome != hv.Unknown || runs.Load() != 1 {
				t.Errorf("%s with body %q: %d runs, response %+v", method, body, runs.Load(), resp)
			}
			u.http.CloseIdleConnections()
		}
	}
}
