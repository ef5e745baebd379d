package hvnode

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Guards against a list that is made while an owner attaches and that the owner processes
// after the newer one in the response: a run that has ended in between would count as
// running for good.
func TestNothingIsReportedWhileOwnerAttaches(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	e.renewing = func() {
		if _, r, ok := n.nextReport(); ok {
			t.Errorf("report %+v is sent before the response to the attachment", r)
		}
	}
	if _, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	e.renewing = nil
	if _, _, ok := n.nextReport(); !ok {
		t.Fatal("nothing is reported after the attachment")
	}
}

// Guards against a run that the owner counts and that is not on the executor, or the
// reverse, which nobody notices until the owner connects again: its task never runs.
func TestListsAreRepeated(t *testing.T) {
	n, clock := newClockedNode(t)
	if _, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	if _, r, _ := n.nextReport(); r.Full {
		t.Fatalf("report %+v right after the attachment repeats the lists", r)
	}
	n.list("1", 100, testRun)
	clock.advance(4 * time.Second)
	_, r, _ := n.nextReport()
	if !r.Full || len(r.Running) != 1 {
		t.Fatalf("report %+v 4 s after the last full one, want the lists", r)
	}
	if _, r, _ := n.nextReport(); r.Full {
		t.Fatalf("report %+v right after the lists repeats them", r)
	}
}

func (n *Node) lockedFullReport() hvorder.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.fullReport()
}

// Guards against repeated lists that miss the starts of orders which the node took before.
func TestListsNameTheirOrders(t *testing.T) {
	e := &fakeExecutor{errs: []error{errorOfKind(hv.Uncertain)}}
	n := newNode(t, e)
	o := startOrder(3)
	o.Batch = 7
	if err := n.handleOrders(t.Context(), o); err != nil {
		t.Fatal(err)
	}
	n.waitStarted(t)
	n.applyState(hv.ExecutorState{Incarnation: "1", ClockMS: 100}, n.currentVersion())
	if r := n.lockedFullReport(); !r.Full || r.Batch != 7 {
		t.Fatalf("report %+v, want the lists as of orders 7", r)
	}
	if _, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	if r := n.lockedFullReport(); r.Batch != 0 {
		t.Errorf("report %+v after another attachment has the number of orders on the connection before", r)
	}
}
