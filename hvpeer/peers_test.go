package hvpeer

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"go.uber.org/goleak"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

func newPeers(name string, clock *manualClock, heartbeats chan string) *Peers {
	mux := hvwire.Mux{}
	p := New(Deps{
		Clock: clock, Logger: log.NewNopLogger(), Mux: mux,
		Self:        func() hvwire.PeerHeartbeat { return hvwire.PeerHeartbeat{Name: name} },
		OnHeartbeat: func(peer hvwire.PeerHeartbeat) { heartbeats <- peer.Name },
	})
	hvwire.Handle(mux, hvwire.MethodPeerHeartbeat, func(_ context.Context, _ *hvwire.Conn, peer hvwire.PeerHeartbeat) (hvwire.PeerHeartbeat, error) {
		p.RecordHeartbeat(peer)
		return hvwire.PeerHeartbeat{Name: name}, nil
	})
	return p
}

// Guards against a dead gate that remains among the live peers, and against
// goroutines that are still running after Run has returned.
func TestPeersExchangeHeartbeatsAndTimeOut(t *testing.T) {
	defer goleak.VerifyNone(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	clock := &manualClock{now: time.Unix(1000, 0)}
	heartbeatsAtA, heartbeatsAtB := make(chan string, 100), make(chan string, 100)
	a, b := newPeers("a", clock, heartbeatsAtA), newPeers("b", clock, heartbeatsAtB)
	var server *hvwire.Conn
	accepted := make(chan struct{})
	go func() {
		defer close(accepted)
		if nc, err := l.Accept(); err == nil {
			server = hvwire.NewConn(nc, a.deps.Mux)
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() { defer close(stopped); b.Run(ctx) }()
	b.SetAddresses([]string{l.Addr().String()})
	if name := <-heartbeatsAtB; name != "a" {
		t.Errorf("b got a heartbeat from %q, want a", name)
	}
	if name := <-heartbeatsAtA; name != "b" {
		t.Errorf("a got a heartbeat from %q, want b", name)
	}
	if responses := CallAll[hvwire.PeerHeartbeat](ctx, b, hvwire.MethodPeerHeartbeat, hvwire.PeerHeartbeat{Name: "b"}); len(responses) != 1 {
		t.Errorf("responses = %v, want one from a", responses)
	}
	cancel()
	<-stopped
	<-accepted
	server.Close()
	l.Close()
	clock.advance(peerTimeout + time.Millisecond)
	if live := b.Live(); len(live) != 0 {
		t.Errorf("live peers after %s without heartbeats = %v, want none", peerTimeout, live)
	}
}
