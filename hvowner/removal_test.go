package hvowner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvwire/hvwiretest"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

// Guards against leases for an executor that starts while the registration of its node is
// removed, as the executor before has exited: a new owner would not know of the node and
// start the tasks there a second time, and this owner would lose the node for a lease.
func TestNodeIsGrantedNothingWhileItIsRemoved(t *testing.T) {
	store := platformtest.NewStore()
	var attached, granted atomic.Int64
	mux := hvwire.Mux{}
	hvwire.Handle(mux, hvorder.MethodAttach, func(_ context.Context, c *hvwire.Conn, _ hvorder.Attach) (hvorder.Report, error) {
		if attached.Add(1) > 1 {
			return hvorder.Report{Incarnation: "2", Clock: 1000, Full: true}, nil
		}
		time.AfterFunc(300*time.Millisecond, func() {
			next := hvorder.Report{Incarnation: "2", Clock: 1000, Full: true, Host: &hvorder.Host{Incarnation: "2"}}
			if g, err := hvwire.Call[hvorder.Grant](t.Context(), c, hvorder.MethodReport, next); err == nil {
				granted.Store(g.LeaseEnd)
			}
		})
		return hvorder.Report{ExecutorGone: true, Host: &hvorder.Host{Incarnation: "1", Draining: true, Exiting: true}}, nil
	})
	o := newOwnerIn(t, store)
	// The removal takes this long to be stored.
	store.SetFaults(platformtest.Faults{AppendDuration: time.Second})
	node := hvledger.Node{Name: "side", Addr: hvwiretest.Serve(t, mux)}
	o.NodeChanged(node, false)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Run(ctx)
	}()
	defer func() {
		cancel()
		<-done
	}()
	time.Sleep(1500 * time.Millisecond)
	if granted.Load() != 0 || attached.Load() != 1 {
		t.Errorf("lease until %d and %d attachments while the registration is removed, want no lease and the first attachment", granted.Load(), attached.Load())
	}
	o.NodeChanged(node, true)
	o.NodeChanged(node, false)
	for deadline := time.Now().Add(5 * time.Second); attached.Load() < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the node is not attached after it has registered again")
		}
	}
}
