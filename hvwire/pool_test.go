package hvwire

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Guards against one connection for each of several calls that begin at the same time,
// and against a pool that goes on with a connection that has ended or timed out.
func TestPoolKeepsOneConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	var open atomic.Int64
	conns := make(chan *Conn, 100)
	mux := Mux{}
	Handle(mux, "echo", func(context.Context, *Conn, struct{}) (struct{}, error) { return struct{}{}, nil })
	Handle(mux, "hang", func(ctx context.Context, _ *Conn, _ struct{}) (struct{}, error) {
		time.Sleep(300 * time.Millisecond)
		return struct{}{}, nil
	})
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c := NewConn(nc, mux)
			open.Add(1)
			conns <- c
			go func() {
				<-c.Done()
				open.Add(-1)
			}()
		}
	}()
	p := NewPool(time.Second)
	call := func(method string) error {
		_, err := CallPeer[struct{}](t.Context(), p, l.Addr().String(), method, 100*time.Millisecond, struct{}{})
		return err
	}
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			if err := call("echo"); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	for deadline := time.Now().Add(2 * time.Second); open.Load() != 1; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections are open, want 1", open.Load())
		}
	}
	if err := call("hang"); hv.KindOf(err) != hv.Uncertain {
		t.Errorf("call without a response: %v, want kind uncertain", err)
	}
	if err := call("echo"); err != nil {
		t.Errorf("call after a timeout: %v", err)
	}
	for len(conns) > 0 {
		_ = (<-conns).Close()
	}
	time.Sleep(50 * time.Millisecond)
	if err := call("echo"); err != nil {
		t.Errorf("call after the connection ended: %v", err)
	}
}
