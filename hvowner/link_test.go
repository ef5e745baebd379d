package hvowner_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvowner"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvwire/hvwiretest"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

func claim(t *testing.T) *hvledger.Writer {
	t.Helper()
	return claimIn(t, platformtest.NewStore())
}

// claimIn claims the cell in the given store.
func claimIn(t *testing.T, fake *platformtest.Store) *hvledger.Writer {
	t.Helper()
	store := platform.NewStore(platformtest.Serve(t, fake))
	return platformtest.Claim(t.Context(), t, store, platform.CellTopic, hvledger.Claim{Name: "gate", Process: "p"})
}

// Guards against a node that stays attached without sending reports: a node that
// was paused may attach a connection that was closed in the meantime. Its leases
// then expire, and its tasks start on no other host.
func TestNodeWithoutReportsIsReattached(t *testing.T) {
	var attached atomic.Int64
	mux := hvwire.Mux{}
	hvwire.Handle(mux, hvorder.MethodAttach, func(context.Context, *hvwire.Conn, hvorder.Attach) (hvorder.Report, error) {
		attached.Add(1)
		return hvorder.Report{Incarnation: "1", Full: true}, nil
	})
	o := hvowner.New(hvowner.Options{Writer: claim(t), Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger()})
	o.NodeChanged(hvledger.Node{Name: "side", Addr: hvwiretest.Serve(t, mux)}, false)
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
	for deadline := time.Now().Add(6 * time.Second); attached.Load() < 2; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("attached %d times in 6 s without a report, want at least 2", attached.Load())
		}
	}
}

// Guards against a gate that ends because the registration of a node is removed or changes
// between the hand-over of the cell and the start of the owner.
func TestNodesChangeBeforeOwnerRuns(t *testing.T) {
	o := hvowner.New(hvowner.Options{Writer: claim(t), Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger()})
	o.NodeChanged(hvledger.Node{Name: "side", Addr: "127.0.0.1:1"}, false)
	o.NodeChanged(hvledger.Node{Name: "side", Addr: "127.0.0.1:2"}, false)
	o.NodeChanged(hvledger.Node{Name: "side"}, true)
}
