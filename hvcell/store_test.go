package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Guards against ends that are acknowledged before their effect is stored.
func TestEndsAreAcknowledgedOnceStored(t *testing.T) {
	w := newRunningCluster(t, 1, testStep(1, 1000))
	w.finishAll(hv.EndDone)
	e := w.hosts["host-0"]
	g := w.cell.Report(w.now, e.name, e.report(false))
	if g.AckedEnd != 0 {
		t.Fatalf("end %d is acknowledged before it is stored", g.AckedEnd)
	}
	w.store()
	if g := w.cell.Report(w.now, e.name, e.report(false)); g.AckedEnd != 1 {
		t.Fatalf("acknowledged up to %d after the store, want 1", g.AckedEnd)
	}
}

// Guards against registrations of lost hosts that are never removed, so that every later
// owner waits for them.
func TestDisconnectedNodeIsDropped(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	w.cell.NodeDetached(w.now, "host-0")
	w.advance(10 * time.Second)
	if b, _ := w.cell.Batch(w.now); len(b.DroppedNodes) != 0 {
		t.Fatalf("%v are dropped too early", b.DroppedNodes)
	}
	w.advance(5 * time.Second)
	b, ok := w.cell.Batch(w.now)
	if !ok || len(b.DroppedNodes) != 1 || b.DroppedNodes[0] != "host-0" {
		t.Fatalf("%v are dropped, want host-0", b.DroppedNodes)
	}
	if b, _ := w.cell.Batch(w.now); len(b.DroppedNodes) != 0 {
		t.Fatalf("%v are dropped again", b.DroppedNodes)
	}
}

// Guards against a registration that outlasts an executor that has exited: the next owner,
// and its long-running tasks, would wait for that host.
func TestHostOfExitedExecutorIsDropped(t *testing.T) {
	w := newRunningCluster(t, 2, testStep(8, 1000))
	r := w.hosts["host-0"].report(false)
	r.Host.Draining, r.Host.Exiting = true, true
	w.cell.Report(w.now, "host-0", r)
	if b, _ := w.cell.Batch(w.now); len(b.DroppedNodes) != 0 {
		t.Fatalf("%v are dropped while runs may remain", b.DroppedNodes)
	}
	w.hosts["host-0"].crash()
	r.Incarnation, r.Full, r.ExecutorGone, r.Ended = "", false, true, nil
	w.cell.Report(w.now, "host-0", r)
	if b, _ := w.cell.Batch(w.now); len(b.DroppedNodes) != 1 || b.DroppedNodes[0] != "host-0" {
		t.Fatalf("%v are dropped, want host-0", b.DroppedNodes)
	}
	w.exchange()
	if w.runs() != 8 {
		t.Fatalf("%d runs elsewhere, want 8", w.runs())
	}
}

// Guards against a node that is attached while the removal of its registration is on its way:
// a new owner would not know of the node and start the tasks beside it a second time.
func TestNodeIsNotAttachedWhileItIsRemoved(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	w.cell.NodeDetached(w.now, "host-0")
	w.advance(15 * time.Second)
	b, _ := w.cell.Batch(w.now)
	if len(b.DroppedNodes) != 1 || w.cell.MayAttach(w.now, "host-0") {
		t.Fatalf("%v are dropped, want host-0, which may not be attached", b.DroppedNodes)
	}
	w.advance(removalReadLimit + time.Second)
	if w.cell.MayAttach(w.now, "host-0") {
		t.Fatal("the node may be attached before the removal is stored")
	}
	w.cell.MarkStored(b)
	if w.cell.MayAttach(w.now, "host-0") {
		t.Fatal("the node may be attached before the removal is read")
	}
	// The removal may be read only as part of the newest records, which do not show it if
	// the node has registered since.
	w.advance(removalReadLimit + time.Second)
	if !w.cell.MayAttach(w.now, "host-0") {
		t.Fatal("the node may never be attached again")
	}
	w.cell.DropHost("host-0")
	if !w.cell.MayAttach(w.now, "host-0") {
		t.Fatal("the node may not be attached after the removal was read")
	}
}
