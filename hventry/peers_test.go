package hventry

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	"hibiscusvane.example/hibiscusvane/hvledger"
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
		stores := newPeers(fmt.Sprint("gate-", i), nodes, log.NewNopLogger()).Stores()
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
	mux := hvwire.Mux{}
	hvwire.Handle(mux, methodProcess, func(context.Context, *hvwire.Conn, struct{}) (processInfo, error) {
		asked <- struct{}{}
		return processInfo{ID: "first"}, nil
	})
	first := hvledger.Claim{Epoch: 1, Name: "gate-1", Addr: hvwiretest.Serve(t, mux), Process: "first"}
	second := hvledger.Claim{Epoch: 2, Name: "gate-2", Addr: "127.0.0.1:1", Process: "second"}
	var claim atomic.Pointer[hvledger.Claim]
	claim.Store(&first)
	p := newPeers("gate-3", func() []hvledger.Node { return nil }, log.NewNopLogger())
	go p.watchOwners(t.Context(), func() hvledger.Claim { return *claim.Load() })
	<-asked
	claim.Store(&second)
	for deadline := time.Now().Add(3 * time.Second); !p.ownerEnded(second); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the end of the second owner's process was not noticed while the first one's is alive")
		}
	}
	if p.ownerEnded(first) {
		t.Error("the first owner's process counts as ended")
	}
}
