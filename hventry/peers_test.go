package hventry

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvwire/hvwiretest"
)

// Guards against gates that all relay their calls through the same peer, possibly one
// with a slow link.
func TestStoresPreferPeersWithCapacity(t *testing.T) {
	const gates = 12
	nodes := func() (out []hvledger.Node) {
		for i := range gates {
			capacity := int64(192)
			if i%2 == 0 {
				capacity = 800
			}
			out = append(out, hvledger.Node{Name: fmt.Sprint("gate-", i), Addr: fmt.Sprint(i), Gate: true, Capacity: capacity})
		}
		return append(out, hvledger.Node{Name: "side"})
	}
	firstPeers := map[string]bool{}
	for i := range gates {
		stores := newPeers(fmt.Sprint("gate-", i), nodes, hv.SystemClock{}, log.NewNopLogger()).Stores()
		if len(stores) != gates-1 {
			t.Fatalf("%d stores, want %d", len(stores), gates-1)
		}
		for k, s := range stores[:gates/2-1] {
			var n int
			if _, err := fmt.Sscan(s.(*peerStore).addr, &n); err != nil || n%2 != 0 {
				t.Errorf("gate %d prefers gate %s, which has little capacity, as choice %d", i, s.(*peerStore).addr, k)
			}
		}
		firstPeers[stores[0].(*peerStore).addr] = true
	}
	if len(firstPeers) < 3 {
		t.Errorf("the first choices of %d gates are only %d different peers", gates, len(firstPeers))
	}
}

// Guards against a gate that goes on watching the process of an earlier owner, which is
// alive, and does not notice that the process of the present owner has ended.
func TestProcessOfPresentOwnerIsWatched(t *testing.T) {
	asked := make(chan struct{}, 1)
	first := hvledger.Claim{Epoch: 1, Name: "gate-1", Addr: hvwiretest.Serve(t, processMux("first", asked)), Process: "first"}
	second := hvledger.Claim{Epoch: 2, Name: "gate-2", Addr: "127.0.0.1:1", Process: "second"}
	var claim atomic.Pointer[hvledger.Claim]
	claim.Store(&first)
	p := newPeers("gate-3", func() []hvledger.Node { return nil }, hv.SystemClock{}, log.NewNopLogger())
	go p.watchOwners(t.Context(), func() hvledger.Claim { return *claim.Load() }, func() time.Duration { return 0 })
	<-asked
	claim.Store(&second)
	waitForEnd(t, p, second)
	if p.ownerEnded(first) {
		t.Error("the first owner's process counts as ended")
	}
}

// Guards against an owner whose process has ended and whose connection went silent before:
// no end of the connection arrives, and new ones are refused.
func TestEndOfOwnerIsNoticedBehindSilentConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	asked := make(chan struct{}, 1)
	accepted := make(chan net.Conn, 8)
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				close(accepted)
				return
			}
			accepted <- nc
			hvwire.NewConn(nc, processMux("first", asked))
		}
	}()
	owner := hvledger.Claim{Epoch: 1, Name: "gate-1", Addr: l.Addr().String(), Process: "first"}
	var silence atomic.Int64
	p := newPeers("gate-2", func() []hvledger.Node { return nil }, hv.SystemClock{}, log.NewNopLogger())
	go p.watchOwners(t.Context(), func() hvledger.Claim { return owner }, func() time.Duration { return time.Duration(silence.Load()) })
	<-asked
	time.Sleep(watchInterval)
	_ = l.Close()
	silence.Store(int64(time.Second))
	waitForEnd(t, p, owner)
	for nc := range accepted {
		_ = nc.Close()
	}
}

// processMux serves the process ID of a gate and tells when it is asked for the first time.
func processMux(id string, asked chan<- struct{}) hvwire.Mux {
	mux := hvwire.Mux{}
	hvwire.Handle(mux, methodProcess, func(context.Context, *hvwire.Conn, struct{}) (processInfo, error) {
		hvtick.Wake(asked)
		return processInfo{ID: id}, nil
	})
	return mux
}

// waitForEnd fails the test if the end of an owner's process is not noticed.
func waitForEnd(t *testing.T, p *peers, owner hvledger.Claim) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); !p.ownerEnded(owner); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("the end of the process of %s was not noticed", owner.Name)
		}
	}
}

// Guards against a gate whose calls to the store all fail, as the peers that it prefers are
// gone or cannot reach the store either, although another one can.
func TestFailedPeersAreTriedLast(t *testing.T) {
	mux := hvwire.Mux{}
	hvwire.Handle(mux, hvorder.MethodRead, func(context.Context, *hvwire.Conn, hvorder.Read) (hv.KeyedPage, error) {
		return hv.KeyedPage{End: 7}, nil
	})
	cutOff := hvwire.Mux{}
	hvwire.Handle(cutOff, hvorder.MethodRead, func(context.Context, *hvwire.Conn, hvorder.Read) (hv.KeyedPage, error) {
		return hv.KeyedPage{}, failure("direct", hv.Unavailable, "the store has failed and does not respond yet")
	})
	nodes := []hvledger.Node{
		{Name: "gone-1", Addr: "127.0.0.1:1", Gate: true, Capacity: 800},
		{Name: "cut-off", Addr: hvwiretest.Serve(t, cutOff), Gate: true, Capacity: 800},
		{Name: "gone-2", Addr: "127.0.0.1:2", Gate: true, Capacity: 800},
		{Name: "good", Addr: hvwiretest.Serve(t, mux), Gate: true, Capacity: 100},
	}
	p := newPeers("gate", func() []hvledger.Node { return slices.Clone(nodes) }, hv.SystemClock{}, log.NewNopLogger())
	r := hvledger.NewRelay(unavailableStore{}, p, hv.SystemClock{}, log.NewNopLogger())
	for call := 1; ; call++ {
		_, err := r.Read(t.Context(), "topic", 0, 0)
		if err == nil {
			break
		}
		if call == 3 {
			t.Fatalf("no call reached the store through the fourth peer: %v", err)
		}
	}
	if _, err := r.Read(t.Context(), "topic", 0, 0); err != nil {
		t.Errorf("a call fails after one succeeded: %v", err)
	}
}

// unavailableStore turns every call away.
type unavailableStore struct{ hv.KeyedStore }

func (unavailableStore) Read(context.Context, string, int64, time.Duration) (hv.KeyedPage, error) {
	return hv.KeyedPage{}, failure("read", hv.Unavailable, "the store turns this gate away")
}
