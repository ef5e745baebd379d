package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Guards against a list that crossed an order on its way: the run that it does not name
// yet was stopped as lost.
func TestListOlderThanOrderStopsNothing(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	e := w.hosts["host-0"]
	w.submit(urgentJob(testStep(1, 1000)))
	w.cell.Plan(w.now)
	// The order has not been sent.
	e.applyGrant(w.cell.Report(w.now, e.name, e.report(true)))
	list := e.report(true)
	o := w.deliver(e.name)
	if len(o.Starts) != 1 || len(o.Stops) != 0 {
		t.Fatalf("orders are %+v, want a start and no stop", o)
	}
	// The list was made before the order arrived.
	e.applyGrant(w.cell.Report(w.now, e.name, list))
	if o := w.deliver(e.name); len(o.Stops) != 0 {
		t.Fatalf("runs %v are stopped because of a list that is older than their order", o.Stops)
	}
	// A list that is newer than the order names the run.
	e.applyGrant(w.cell.Report(w.now, e.name, e.report(true)))
	if o := w.deliver(e.name); len(o.Stops) != 0 || w.runs() != 1 {
		t.Fatalf("orders are %+v after the list with the run, %d runs", o, w.runs())
	}
}

// Guards against a run that counts for good because a list with it is processed after a
// newer one with its end: its task never runs again.
func TestRunListedAfterItsEndIsFoundMissing(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	e := w.hosts["host-0"]
	w.submit(urgentJob(longRunningStep(1)))
	w.exchange()
	older := e.report(true)
	w.finishAll(hv.EndLapsed)
	w.attach(e.name)
	e.applyGrant(w.cell.Report(w.now, e.name, older))
	for range 5 {
		w.advance(time.Second)
		w.exchange()
	}
	if w.runs() != 1 {
		t.Fatal("the task has no run 5 s after the list of the run that had ended")
	}
}

// Guards against a long-running task that stays without a run because the owner counts one
// that is on no host.
func TestTaskOfVanishedRunStartsAgain(t *testing.T) {
	w := newRunningCluster(t, 2, longRunningStep(2))
	if w.runs() != 2 {
		t.Fatalf("%d of 2 tasks run", w.runs())
	}
	for _, e := range w.hosts {
		clear(e.running)
	}
	for range 5 {
		w.advance(time.Second)
		w.exchange()
	}
	if w.runs() != 2 {
		t.Fatalf("%d of 2 tasks run 5 s after their runs have vanished", w.runs())
	}
}

// Guards against a run that counts for good because a list with it is processed after a
// newer one with its end, if the node never lists again: a node that was paused for longer
// than the lease sent what it knew from before.
func TestOlderListsAreIgnored(t *testing.T) {
	w := newRunningCluster(t, 2, longRunningStep(2))
	e := w.hosts["host-0"]
	older := e.report(true)
	for range 6 {
		w.now = w.now.Add(time.Second)
		e.expireLease()
	}
	w.attach(e.name)
	w.cell.Report(w.now, e.name, older)
	w.cell.Plan(w.now)
	if o := w.deliver(e.name); len(o.Starts) != 1 {
		t.Fatalf("orders are %+v after the end of the run, want a start", o)
	}
}
