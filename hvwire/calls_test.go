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

// connToSilentPeer returns a connection to a peer that never responds. If reads
// is set the peer reads what it is sent. If interval is positive it sends a
// notification at that interval.
func connToSilentPeer(t *testing.T, reads bool, interval time.Duration) *Conn {
	local, remote := net.Pipe()
	t.Cleanup(func() { remote.Close() })
	if reads {
		go func() { _, _ = io.Copy(io.Discard, remote) }()
	}
	if interval > 0 {
		var frame bytes.Buffer
		notification := map[string]any{"jsonrpc": "2.0", "method": "none"}
		if err := (frameCodec{}).WriteObject(&frame, notification); err != nil {
			t.Fatal(err)
		}
		go func() {
			for {
				if _, err := remote.Write(frame.Bytes()); err != nil {
					return
				}
				select {
				case <-t.Context().Done():
					return
				case <-time.After(interval):
				}
			}
		}()
	}
	c := NewConn(local, Mux{})
	t.Cleanup(func() { c.Close() })
	return c
}

// callAndAbandon calls with a context that ends before the response.
func callAndAbandon(c *Conn, req any) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	return c.Call(ctx, MethodRun, req, nil)
}

func isOpen(c *Conn) bool {
	synctest.Wait()
	select {
	case <-c.Done():
		return false
	default:
		return true
	}
}

// Guards against memory that grows with each abandoned call while the peer does
// not respond but still sends heartbeats.
func TestAbandonedCallsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := connToSilentPeer(t, true, time.Second)
		for i := range maxCalls {
			if err := callAndAbandon(c, Leave{}); hv.KindOf(err) != hv.Uncertain {
				t.Fatalf("call %d: %v, want kind %s", i, err, hv.Uncertain)
			}
		}
		if err := callAndAbandon(c, Leave{}); hv.KindOf(err) != hv.Full || !NotSent(err) {
			t.Errorf("%v, want kind %s and not sent", err, hv.Full)
		}
		if time.Sleep(2 * maxSilence); !isOpen(c) {
			t.Error("the connection was closed although the peer sends")
		}
	})
	c, sent := newPendingCalls(), 0
	for range maxCalls {
		if _, err := c.add(MethodRun, 1<<20); err == nil {
			sent++
		}
	}
	if sent != maxCallBytes>>20 {
		t.Errorf("%d calls of 1 MiB are allowed, want %d", sent, maxCallBytes>>20)
	}
}

// Guards against counting completed calls as pending until no call is possible.
func TestCompletedCallsAreNotPending(t *testing.T) {
	mux := Mux{}
	Handle(mux, MethodLeave, func(context.Context, *Conn, Leave) (Ack, error) { return Ack{}, nil })
	client, _ := connPair(t, mux)
	for range 2 * maxCalls {
		if err := client.Call(t.Context(), MethodLeave, Leave{}, nil); err != nil {
			t.Fatal(err)
		}
	}
	if err := client.Call(t.Context(), MethodRun, make([]byte, maxFrameBytes), nil); !NotSent(err) {
		t.Errorf("message over the limit: %v, want it not sent", err)
	}
	if n, b := len(client.pending.sizes), client.pending.bytes; n != 0 || b != 0 {
		t.Errorf("%d calls with %d bytes are still pending", n, b)
	}
}

// Guards against keeping a connection whose peer disappeared without closing it,
// and against closing one that is only idle.
func TestConnectionToSilentPeerEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := connToSilentPeer(t, true, 0)
		if time.Sleep(10 * maxSilence); !isOpen(c) {
			t.Fatal("an idle connection was closed")
		}
		_ = callAndAbandon(c, Leave{})
		if time.Sleep(maxSilence - time.Second); !isOpen(c) {
			t.Errorf("closed before %v", maxSilence)
		}
		if time.Sleep(2 * checkInterval); isOpen(c) {
			t.Errorf("still open after %v without a response", maxSilence+2*checkInterval)
		}
	})
}

// Guards against keeping a connection to a peer that sends heartbeats but no
// longer reads, so that no call can reach it.
func TestConnectionToPeerThatDoesNotReadEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := connToSilentPeer(t, false, time.Second)
		_ = callAndAbandon(c, Leave{})
		if time.Sleep(writeTimeout); isOpen(c) {
			t.Error("the connection is open after a failed write")
		}
	})
}
