package hventry

import (
	"fmt"
	"testing"

	"github.com/go-kit/log"

	"hibiscusvane.example/hibiscusvane/hvledger"
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
