package hvwire

import (
	"bytes"
	"context"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// silent returns a connection to a peer that never answers. The peer reads
// what it is sent if it reads at all, and sends a notification every beat.
func silent(t *testing.T, reads bool, beat time.Duration) *Conn {
	near, far := net.Pipe()
	t.Cleanup(func() { far.Close() })
	if reads {
		go func() { _, _ = io.Copy(io.Discard, far) }()
	}
	if beat > 0 {
		var frame bytes.Buffer
		notification := map[string]any{"jsonrpc": "2.0", "method": "none"}
		if err := (frameCodec{}).WriteObject(&frame, notification); err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				if _, err := far.Write(frame.Bytes()); err != nil {
					return
				}
				select {
				case <-t.Context().Done():
					return
				case <-time.After(beat):
				}
			}
		}()
	}
	c := NewConn(near, Mux{})
	t.Cleanup(func() { c.Close() })
	return c
}

// abandon calls with a context that ends before the answer.
func abandon(c *Conn, req any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	return c.Call(ctx, MethodRun, req, nil)
}

func open(c *Conn) bool {
	synctest.Wait()
	select {
	case <-c.Done():
		return false
	default:
		return true
	}
}

// Guards against memory that grows with every abandoned call while a peer
// hangs but its heartbeats go on.
func TestAbandonedCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := silent(t, true, time.Second)
		for i := range maxCalls {
			if err := abandon(c, Leave{}); hv.KindOf(err) != hv.Uncertain {
				t.Fatalf("call %d: %v, want kind %s", i, err, hv.Uncertain)
			}
		}
		if err := abandon(c, Leave{}); hv.KindOf(err) != hv.Full || !NotSent(err) {
			t.Errorf("%v, want kind %s and not sent", err, hv.Full)
		}
		if time.Sleep(2 * maxQuiet); !open(c) {
			t.Error("the connection ended although the peer sends")
		}
	})
	c, sent := newCalls(), 0
	for range maxCalls {
		if _, err := c.begin(MethodRun, 1<<20); err == nil {
			sent++
		}
	}
	if sent != maxCallBytes>>20 {
		t.Errorf("%d calls of 1 MiB are allowed, want %d", sent, maxCallBytes>>20)
	}
}

// Guards against answered calls that stay counted until no call is possible.
func TestAnsweredCallsAreForgotten(t *testing.T) {
	mux := Mux{}
	Handle(mux, MethodLeave, func(context.Context, *Conn, Leave) (Ack, error) { return Ack{}, nil })
	client, _ := pair(t, mux)
	for range 2 * maxCalls {
		if err := client.Call(t.Context(), MethodLeave, Leave{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := client.Call(t.Context(), MethodRun, make([]byte, maxFrameBytes), nil); !NotSent(err) {
		t.Errorf("message over the limit: %v, want it not sent", err)
	}
	if n, b := len(client.calls.sizes), client.calls.bytes; n != 0 || b != 0 {
		t.Errorf("%d calls with %d bytes are still counted", n, b)
	}
}

// Guards against a connection to a peer that is gone without closing it, and
// against one that is closed while it is only idle.
func TestConnectionToQuietPeerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := silent(t, true, 0)
		if time.Sleep(10 * maxQuiet); !open(c) {
			t.Fatal("an idle connection was closed")
		}
		_ = abandon(c, Leave{})
		if time.Sleep(maxQuiet - time.Second); !open(c) {
			t.Errorf("closed before %v", maxQuiet)
		}
		if time.Sleep(2 * watchInterval); open(c) {
			t.Errorf("still open after %v without an answer", maxQuiet+2*watchInterval)
		}
	})
}

// Guards against a peer that sends heartbeats but no longer reads, which
// would stay in use although no call can reach it.
func TestConnectionToPeerThatDoesNotReadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := silent(t, false, time.Second)
		_ = abandon(c, Leave{})
		if time.Sleep(writeTimeout); open(c) {
			t.Error("the connection is open after a failed write")
		}
	})
}
