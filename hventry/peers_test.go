package hventry

import (
	"fmt"
	"testing"

	"github.com/go-kit/log"

	"hibiscusvane.example/hibiscusvane/hvledger"
)

// Guards against calls of all gates that go through the same peer, on a thin
// link at worst.
func TestStoresPreferStrongPeers(t *testing.T) {
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
				t.Errorf("gate %d asks the weak gate %s as number %d", i, s.(*peerStore).addr, k)
			}
		}
		firstPeers[stores[0].(*peerStore).addr] = true
	}
	if len(firstPeers) < 3 {
		t.Errorf("%d gates ask %d peers first", gates, len(firstPeers))
	}
}
