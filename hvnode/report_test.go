package hvnode

import (
	"encoding/json"
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
// reverse, which nobody notices until the owner connects again: its task never runs. The
// node tells the owner every 3 s which runs there are, and lists them on request.
func TestListsAreRepeatedOnRequest(t *testing.T) {
	n, clock := newClockedNode(t)
	conn := &hvwire.Conn{}
	if _, err := n.attach(t.Context(), conn, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	_, r, _ := n.nextReport()
	if r.Full || r.Digest != 0 {
		t.Fatalf("report %+v right after the attachment repeats the runs", r)
	}
	n.list("1", 100, testRun)
	pending := hvorder.Run{Task: "pending", Run: 2}
	n.pendingStarts[pending], n.pendingStarts[testRun] = true, true
	n.batch = 5
	clock.advance(4 * time.Second)
	_, r, _ = n.nextReport()
	if want := hvorder.EmptyDigest.With(pending).With(testRun); r.Full || r.Digest != want || r.Batch != 5 {
		t.Fatalf("report %+v 4 s after the lists, want the digest %d of both runs as of orders 5", r, want)
	}
	n.handleGrant(conn, r, hvorder.Grant{})
	if _, r, _ = n.nextReport(); r.Full || r.Digest != 0 {
		t.Fatalf("report %+v right after the digest repeats the runs", r)
	}
	n.handleGrant(conn, r, hvorder.Grant{List: true})
	if _, r, _ = n.nextReport(); !r.Full || len(r.Running) != 1 || r.Batch != 5 {
		t.Fatalf("report %+v, want the lists that the owner has asked for", r)
	}
}

// Guards against a busy host that never says which runs it has because a start is called
// during each renewal that waits for the end of a run.
func TestDigestsAreSentFromBusyHost(t *testing.T) {
	n, clock := newClockedNode(t)
	if _, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	digests := 0
	for until := clock.now.Add(20 * time.Second); clock.now.Before(until); {
		renewal, version, _ := n.nextRenewal()
		if renewal.WaitMS > 0 {
			clock.advance(50 * time.Millisecond)
			n.startNow(testRun)
			n.mu.Lock()
			n.startCalls++
			n.mu.Unlock()
		}
		clock.advance(time.Millisecond)
		n.applyState(hv.ExecutorState{Incarnation: "1", ClockMS: clock.now.UnixMilli()}, version)
		if _, r, _ := n.nextReport(); r.Digest != 0 {
			digests++
		}
	}
	if digests < 5 || digests > 7 {
		t.Fatalf("%d digests in 20 s, want one every 3 s", digests)
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
		t.Fatalf("report %+v repeats the lists although the owner has not asked for them", r)
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
	if err := n.handleOrders(t.Context(), nil, o); err != nil {
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
		n.listFor(clock, stallTimeout+time.Second, testRun)
		if _, r, _ := n.nextReport(); len(r.Stalled) != 1 {
			t.Fatalf("report %+v lacks the stalled run", r)
		}
	}
}

// Guards against a stalled run that is reported before the lists of a new owner, which
// does not know the run yet and ignores it: the run holds its task for good.
func TestStalledRunIsReportedWithLists(t *testing.T) {
	n, clock := newClockedNode(t)
	n.listFor(clock, stallTimeout+time.Second, testRun)
	n.mu.Lock()
	n.startsInFlight++
	n.mu.Unlock()
	if _, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 4, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	n.list("1", clock.now.UnixMilli()+1, testRun)
	if _, r, _ := n.nextReport(); r.Full || len(r.Stalled) > 0 {
		t.Errorf("report %+v without lists, want no stalled run", r)
	}
	n.endStartCall()
	n.list("1", clock.now.UnixMilli()+2, testRun)
	if _, r, _ := n.nextReport(); !r.Full || len(r.Stalled) != 1 {
		t.Fatalf("report %+v, want the lists with the stalled run", r)
	}
}

// Guards against harmless work that is throttled as interfering because a grant of a
// suspended owner, or one on an earlier connection, says nothing of effects.
func TestEffectsOutlastGrantsWithoutThem(t *testing.T) {
	n, _ := newClockedNode(t)
	conn := &hvwire.Conn{}
	if _, err := n.attach(t.Context(), conn, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	n.handleGrant(conn, hvorder.Report{}, hvorder.Grant{Effects: map[string]int64{"loud": 300}})
	n.handleGrant(conn, hvorder.Report{}, hvorder.Grant{})
	n.handleGrant(&hvwire.Conn{}, hvorder.Report{}, hvorder.Grant{Effects: map[string]int64{"quiet": 300}})
	if n.isHarmless("loud") || !n.isHarmless("quiet") {
		t.Fatalf("effects are %v, want those of the last grant with some on the present connection", n.effects)
	}
}

// Guards against orders on a connection that has been replaced, which the node processes
// after the present one was attached because it stood still: their number counts as taken
// on the present connection, and the owner stops runs whose orders are still on their way.
func TestOrdersOnReplacedConnectionAreRefused(t *testing.T) {
	n, _ := newClockedNode(t)
	replaced, current := &hvwire.Conn{}, &hvwire.Conn{}
	for _, c := range []*hvwire.Conn{replaced, current} {
		if _, err := n.attach(t.Context(), c, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
			t.Fatal(err)
		}
	}
	orders := func(c *hvwire.Conn, batch int64) error {
		params, err := json.Marshal(hvorder.Orders{Epoch: 3, Incarnation: "1", Batch: batch})
		if err != nil {
			t.Fatal(err)
		}
		_, err = n.Mux(t.Context())[hvorder.MethodOrders](t.Context(), c, params)
		return err
	}
	if err := orders(replaced, 500); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("orders on the replaced connection: %v, want kind unavailable", err)
	}
	if err := orders(current, 2); err != nil {
		t.Fatal(err)
	}
	if r := n.lockedFullReport(); r.Batch != 2 {
		t.Fatalf("lists are as of orders %d, want 2, the last ones on the present connection", r.Batch)
	}
}

// Guards against a busy host that reports no ends while the owner waits for its lists: a
// start is in flight whenever the executor responds, so that there are no full lists.
func TestEndsAreReportedWhileListsAreWanted(t *testing.T) {
	n, _ := newClockedNode(t)
	conn := &hvwire.Conn{}
	if _, err := n.attach(t.Context(), conn, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	n.handleGrant(conn, hvorder.Report{}, hvorder.Grant{List: true})
	n.mu.Lock()
	n.startsInFlight++
	n.mu.Unlock()
	n.applyState(hv.ExecutorState{Incarnation: "1", ClockMS: 100, Ended: []hv.RunEnd{{Number: 1, Task: testRun.Task, Run: testRun.Run, Reason: hv.EndDone}}}, n.currentVersion())
	if !n.hasUnreported() {
		t.Error("the end of the run wakes no report")
	}
	if _, r, _ := n.nextReport(); r.Full || len(r.Ended) != 1 {
		t.Fatalf("report %+v while a start is in flight, want the end", r)
	}
	n.endStartCall()
	n.list("1", 200)
	if _, r, _ := n.nextReport(); !r.Full {
		t.Fatalf("report %+v, want the lists that the owner has asked for", r)
	}
}

// Guards against reports that repeat what the owner knows from the attachment, such as the
// name of the node.
func TestReportWithoutChangesRepeatsNothing(t *testing.T) {
	n, clock := newClockedNode(t)
	if _, err := n.attach(t.Context(), &hvwire.Conn{}, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	for range 5 {
		clock.advance(100 * time.Millisecond)
		n.list("1", 100, testRun)
		if _, _, ok := n.nextReport(); !ok {
			t.Fatal("nothing is reported")
		}
	}
	_, r, _ := n.nextReport()
	b, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	if want := `{"epoch":3,"life":"1","clock":100}`; string(b) != want {
		t.Errorf("report without changes is %s, want %s", b, want)
	}
}
