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
	if _, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 3, Owner: "gate", Lists: true}); err != nil {
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

// Guards against repeated lists for an owner of an earlier build, which takes every list
// for newer than its orders and stops the runs that it lacks.
func TestListsAreRepeatedOnlyOnRequest(t *testing.T) {
	n, clock := newClockedNode(t)
	if _, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	n.list("1", 100, testRun)
	clock.advance(4 * time.Second)
	if _, r, _ := n.nextReport(); r.Full {
		t.Fatalf("report %+v repeats the lists for an owner that does not number its orders", r)
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

// Guards against ends that are reported on a connection which has been replaced, and then
// count as reported: the owner acknowledges later ends and with them those that it never
// got, and their tasks run again or count as running.
func TestReplacedAttachmentReportsNothing(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	current := &hvwire.Conn{}
	e.state.ClockMS = 100
	e.state.Ended = []hv.RunEnd{{Number: 5, Task: testRun.Task, Run: testRun.Run, Reason: hv.EndDone}}
	e.renewing = func() {
		// The owner attaches another connection while the executor responds to the first.
		e.renewing, e.renewErr = nil, errorOfKind(hv.Uncertain)
		if _, err := n.attach(t.Context(), current, hvorder.Attach{Epoch: 4, Owner: "gate"}); err != nil {
			t.Fatal(err)
		}
		e.renewErr = nil
	}
	if r, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 4, Owner: "gate"}); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("response on the replaced connection is %+v, %v", r, err)
	}
	n.applyState(e.state, n.currentVersion())
	if conn, r, _ := n.nextReport(); conn != current || !r.Full || len(r.Ended) != 1 {
		t.Fatalf("report %+v on the current connection, want the lists with the end", r)
	}
}

// Guards against a stalled run that the owner never learns of because the connection of
// the one report with it ended: it is not replaced.
func TestStalledRunIsReportedOnNextConnection(t *testing.T) {
	n, clock := newClockedNode(t)
	for range 2 {
		if _, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
			t.Fatal(err)
		}
		n.list("1", clock.now.UnixMilli(), testRun)
		clock.advance(stallTimeout + time.Second)
		n.list("1", clock.now.UnixMilli(), testRun)
		if _, r, _ := n.nextReport(); len(r.Stalled) != 1 {
			t.Fatalf("report %+v lacks the stalled run", r)
		}
	}
}
