package hvowner

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

// Guards against an owner that was paused beyond its authority and grants a lease, or
// plans, before its ticker has noticed: another gate may own the cell by then.
func TestPausedOwnerGrantsNothing(t *testing.T) {
	store := platform.NewStore(platformtest.Serve(t, platformtest.NewStore()))
	w := platformtest.Claim(t.Context(), t, store, platform.CellTopic, hvledger.Claim{Name: "gate", Process: "p"})
	o := New(Options{Writer: w, Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger()})
	o.NodeChanged(hvledger.Node{Name: "side", Addr: "127.0.0.1:1"}, false)
	l := o.links["side"]
	report := hvorder.Report{Incarnation: "1", Clock: 1000, Full: true}
	if g, err := l.report(t.Context(), nil, report); err != nil || g.LeaseEnd == 0 {
		t.Fatalf("grant %+v, error %v; want a lease while the owner has authority", g, err)
	}
	// The loops of the owner do not run, as in a process that has just gone on.
	time.Sleep(hvledger.AuthorityTimeout + 100*time.Millisecond)
	report.Clock += 6000
	if g, err := l.report(t.Context(), nil, report); err != nil || g.LeaseEnd != 0 {
		t.Errorf("grant %+v, error %v; want no lease without authority", g, err)
	}
}

// Guards against a lease of an owner that is cut off which lasts longer than a new owner
// expects, as it counts from the last record of the owner: a task runs twice.
func TestSilentOwnerGrantsShorterLeases(t *testing.T) {
	store := platform.NewStore(platformtest.Serve(t, platformtest.NewStore()))
	w := platformtest.Claim(t.Context(), t, store, platform.CellTopic, hvledger.Claim{Name: "gate", Process: "p"})
	o := New(Options{Writer: w, Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger()})
	o.NodeChanged(hvledger.Node{Name: "side", Addr: "127.0.0.1:1"}, false)
	time.Sleep(hvledger.AuthorityTimeout - time.Second)
	silence := w.SinceLastAppend()
	report := hvorder.Report{Incarnation: "1", Clock: 1000, Full: true}
	g, err := o.links["side"].report(t.Context(), nil, report)
	if err != nil {
		t.Fatal(err)
	}
	if got, limit := time.Duration(g.LeaseEnd-report.Clock)*time.Millisecond, hvledger.AuthorityTimeout+hvledger.LeaseOverhang-silence; got > limit {
		t.Errorf("lease of %v after a silence of %v, want at most %v", got, silence, limit)
	}
}

// Guards against an owner that has released the cell and still grants leases to a report
// that arrives before its connections are closed: the next owner counts no authority of it.
func TestReleasedOwnerGrantsNothing(t *testing.T) {
	store := platform.NewStore(platformtest.Serve(t, platformtest.NewStore()))
	w := platformtest.Claim(t.Context(), t, store, platform.CellTopic, hvledger.Claim{Name: "gate", Process: "p"})
	o := New(Options{Writer: w, Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger()})
	o.NodeChanged(hvledger.Node{Name: "side", Addr: "127.0.0.1:1"}, false)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	o.Run(ctx)
	report := hvorder.Report{Incarnation: "1", Clock: 1000, Full: true}
	if g, err := o.links["side"].report(t.Context(), nil, report); err != nil || g.LeaseEnd != 0 {
		t.Errorf("grant %+v, error %v; want no lease after the release", g, err)
	}
}
