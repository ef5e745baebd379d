package hvdaemon_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"

	"hibiscusvane.example/hibiscusvane/hvdaemon"
)

func listen(t *testing.T, h http.HandlerFunc) (*hvdaemon.Server, string) {
	t.Helper()
	s, err := hvdaemon.Listen("127.0.0.1:0", h, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	go s.Serve()
	return s, s.Addr()
}

// Guards against a connection that a balancer opens in advance: the shutdown of net/http
// waits 5 s for its first request, which is the whole grace period of a gate.
func TestStopDoesNotWaitForUnusedConnections(t *testing.T) {
	s, addr := listen(t, func(http.ResponseWriter, *http.Request) {})
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	// The server must have accepted the connection.
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	began := time.Now()
	s.Stop(ctx)
	if took := time.Since(began); took > 2*time.Second {
		t.Errorf("stopped after %v, want at most 2 s", took)
	}
}

// Guards against callers of held requests whose connections are cut without a response
// at the end of the grace period.
func TestStopEndsHeldRequests(t *testing.T) {
	arrived := make(chan struct{})
	s, addr := listen(t, func(w http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	status := make(chan int, 1)
	go func() {
		resp, err := http.Get("http://" + addr)
		if err != nil {
			status <- 0
			return
		}
		_ = resp.Body.Close()
		status <- resp.StatusCode
	}()
	<-arrived
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	s.Stop(ctx)
	if got := <-status; got != http.StatusServiceUnavailable {
		t.Errorf("status %d of a held request, want 503", got)
	}
}
