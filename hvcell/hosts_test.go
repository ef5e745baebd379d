package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against tasks that are sent one after the other to a host whose executor has
// ended, and wait each time, until its node reports the end.
func TestNothingStartsOnUnreachableHost(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	w.hosts["host-1"].capacityCPU = 1000
	w.exchange()
	w.submit(urgentJob(testStep(1, 1000)))
	w.cell.Plan(w.now)
	o, ok := w.cell.Orders("host-0")
	if !ok || len(o.Starts) != 1 {
		t.Fatalf("orders are %+v, want a start on the larger host", o)
	}
	w.cell.Report(w.now, "host-0", hvorder.Report{Refused: []hvorder.Refusal{{Run: o.Starts[0].Run, Kind: hv.NotFound}}})
	w.submit(urgentJob(testStep(1, 1000)))
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders("host-0"); len(o.Starts) > 0 {
		t.Errorf("%d tasks start on a host whose executor was not found", len(o.Starts))
	}
	if o := w.deliver("host-1"); len(o.Starts) != 1 {
		t.Errorf("%d tasks start on the other host at once, want 1", len(o.Starts))
	}
	w.hosts["host-0"].start()
	w.exchange()
	w.exchange()
	if n := w.runs(); n != 2 {
		t.Errorf("%d tasks run after the executor is back, want both", n)
	}
}

// Guards against two runs of one task when an order was delayed: the run must be
// blocked before the task starts elsewhere.
func TestRunOfDelayedOrderIsBlockedFirst(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attach("host-0")
	w.submit(urgentJob(testStep(1, 1000)))
	w.cell.Plan(w.now)
	delayed, ok := w.cell.Orders("host-0")
	if !ok || len(delayed.Starts) != 1 {
		t.Fatalf("orders are %+v", delayed)
	}
	w.cell.NodeDetached(w.now, "host-0")
	w.attach("host-1")
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders("host-1"); len(o.Starts) > 0 {
		t.Fatal("the task starts elsewhere while its order may still arrive")
	}
	w.attach("host-0")
	o := w.deliver("host-0")
	if len(o.Stops) != 1 || o.Stops[0] != delayed.Starts[0].Run {
		t.Fatalf("stops are %v, want the run of the delayed order", o.Stops)
	}
	// The late order finds its run blocked.
	w.hosts["host-0"].applyOrders(delayed)
	w.exchange()
	if w.runs() != 1 {
		t.Fatalf("%d runs", w.runs())
	}
}

// Guards against a new owner that starts a task again while a host that it cannot
// reach may still run it, and against an owner that also delays jobs that were
// submitted after its claim.
func TestInheritedTasksWaitForDisconnectedHosts(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attach("host-0")
	w.submit(urgentJob(testStep(2, 1000)))
	w.attach("host-1")
	w.exchange()
	if w.runs() != 2 {
		t.Fatalf("%d runs", w.runs())
	}
	disconnected, other := "host-0", "host-1"
	if len(w.hosts[disconnected].running) == 0 {
		disconnected, other = other, disconnected
	}
	w.replaceOwner()
	w.attach(other)
	j := w.submit(urgentJob(testStep(1, 1000)))
	before := w.runs()
	w.exchange()
	if w.runs() != before+1 {
		t.Fatalf("%d runs, want the earlier ones and that of job %s", w.runs(), j.ID)
	}
	for range 16 {
		w.advance(time.Second)
		w.exchange()
	}
	if w.runs() != 3 {
		t.Fatalf("%d runs after the leases have expired, want 3", w.runs())
	}
}

// Guards against tasks that do not start again after the loss of their host, and
// against starting them before its lease has expired.
func TestTasksOfDisconnectedHostStartAfterItsLease(t *testing.T) {
	w := newRunningCluster(t, 2, testStep(8, 1000))
	onDisconnected := len(w.hosts["host-0"].running)
	if onDisconnected == 0 || w.runs() != 8 {
		t.Fatalf("%d runs, %d of them on host-0", w.runs(), onDisconnected)
	}
	w.cell.NodeDetached(w.now, "host-0")
	w.advance(4 * time.Second)
	w.exchange()
	if w.runs() != 8 {
		t.Fatal("tasks started before the lease has expired")
	}
	for range 3 {
		w.advance(time.Second)
		w.exchange()
	}
	if got := len(w.hosts["host-1"].running); got != 8 {
		t.Fatalf("%d runs on the other host, want all 8", got)
	}
}

// Guards against waiting for the lease of an executor that is known to have ended.
func TestTasksOfEndedExecutorStartAtOnce(t *testing.T) {
	w := newRunningCluster(t, 2, testStep(8, 1000))
	w.hosts["host-0"].crash()
	w.exchange()
	if got := len(w.hosts["host-1"].running); got != 8 {
		t.Fatalf("%d runs on the other host, want all 8", got)
	}
}

// Guards against a task that never starts again because its executor restarted without
// it under the same identifier.
func TestNewIncarnationLosesRuns(t *testing.T) {
	w := newRunningCluster(t, 1, testStep(2, 1000))
	w.advance(time.Second)
	w.hosts["host-0"].start()
	// The runs are blocked in the new incarnation before their tasks start again.
	w.exchange()
	w.exchange()
	if w.runs() != 2 {
		t.Fatalf("%d runs in the new incarnation, want 2", w.runs())
	}
}

// Guards against starts on a host that drains.
func TestDrainingHostGetsNoStarts(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	r := w.hosts["host-0"].report(false)
	r.Host.Draining = true
	w.cell.Report(w.now, "host-0", r)
	w.submit(urgentJob(testStep(4, 1000)))
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders("host-0"); len(o.Starts) > 0 {
		t.Fatalf("%d starts on the draining host", len(o.Starts))
	}
	w.deliver("host-1")
	if w.runs() != 4 {
		t.Fatalf("%d runs on the other host, want 4", w.runs())
	}
}

// Guards against waiting for the authority of a previous owner that is known to have
// ended: after the loss of all machines, one host that does not return would delay the
// inherited tasks of all others by 15 s.
func TestNewOwnerDoesNotWaitForEndedOwner(t *testing.T) {
	w := newSimCluster(t, 2)
	w.authority = 0
	w.attachAll()
	w.submit(urgentJob(testStep(2, 1000)))
	w.replaceOwner()
	w.attach("host-1")
	w.exchange()
	if w.runs() != 0 {
		t.Fatal("inherited tasks start while a lease may still be valid")
	}
	w.advance(5500 * time.Millisecond)
	w.exchange()
	if w.runs() != 2 {
		t.Fatalf("%d runs after the last lease, want 2", w.runs())
	}
}

// Guards against a second run of a task whose start was carried out by an incarnation of
// the executor that the owner did not know yet.
func TestRunInUnknownIncarnationIsKept(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attach("host-0")
	w.submit(urgentJob(testStep(1, 1000)))
	w.cell.Plan(w.now)
	o, ok := w.cell.Orders("host-0")
	if !ok || len(o.Starts) != 1 {
		t.Fatalf("orders are %+v", o)
	}
	w.attach("host-1")
	e := w.hosts["host-0"]
	e.start()
	e.startDelayed(o)
	if len(e.running) != 1 {
		t.Fatal("the order was not carried out in the new incarnation")
	}
	// A report without the lists of the new incarnation shows nothing about its runs.
	r := e.report(false)
	r.Full, r.Running = false, nil
	w.cell.Report(w.now, "host-0", r)
	w.cell.Plan(w.now)
	w.deliver("host-1")
	for range 3 {
		w.exchange()
	}
	if w.runs() != 1 || len(e.running) != 1 {
		t.Fatalf("%d runs, %d of them in the new incarnation", w.runs(), len(e.running))
	}
}

// Guards against starts on a host that drains after both its node and the owner were
// replaced: the registration in the store is older than the drain, and the node has
// not heard its executor yet.
func TestRestartedNodeWaitsForAnnouncement(t *testing.T) {
	w := newSimCluster(t, 1)
	e := w.hosts["host-0"]
	registered := *e.report(true).Host
	w.replaceOwner()
	w.cell.AddHost(w.now, e.name, &registered)
	r := e.report(true)
	r.Host = nil
	e.applyGrant(w.cell.NodeAttached(w.now, e.name, r))
	w.submit(urgentJob(testStep(1, 1000)))
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders(e.name); len(o.Starts) != 0 {
		t.Fatalf("%d starts before the executor announced itself, want none", len(o.Starts))
	}
	draining := e.report(false)
	draining.Host.Draining = true
	w.cell.Report(w.now, e.name, draining)
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders(e.name); len(o.Starts) != 0 {
		t.Fatalf("%d starts on the draining host, want none", len(o.Starts))
	}
	w.cell.Report(w.now, e.name, e.report(false))
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders(e.name); len(o.Starts) != 1 {
		t.Fatalf("%d starts after the announcement, want 1", len(o.Starts))
	}
}

// newIncompleteGang returns a cluster with a gang of two of which the member on host-1 has
// started, and the run of the other, whose start host-0 has not received.
func newIncompleteGang(t *testing.T) (*simCluster, hvorder.Run) {
	t.Helper()
	w := newSimCluster(t, 2)
	w.attachAll()
	step := testStep(2, 5000)
	step.Gang = true
	w.submit(urgentJob(step))
	w.cell.Plan(w.now)
	o, ok := w.cell.Orders("host-0")
	if !ok || len(o.Starts) != 1 {
		t.Fatalf("orders are %+v, want the start of one member", o)
	}
	w.deliver("host-1")
	return w, o.Starts[0].Run
}

// checkGangRestarts fails the test unless the started member is stopped and both start again.
func (w *simCluster) checkGangRestarts(t *testing.T) {
	t.Helper()
	if o := w.deliver("host-1"); len(o.Stops) != 1 {
		t.Fatalf("stops of the other member are %v, want one", o.Stops)
	}
	w.advance(retryDelay)
	w.exchange()
	w.exchange()
	if n := w.runs(); n != 2 {
		t.Fatalf("%d members run after that, want both", n)
	}
}

// Guards against the other members of a gang that wait for one whose start was refused
// until they end alone, and hold their resources meanwhile.
func TestRefusedMemberStopsItsGang(t *testing.T) {
	w, missing := newIncompleteGang(t)
	w.cell.Report(w.now, "host-0", hvorder.Report{Refused: []hvorder.Refusal{{Run: missing, Kind: hv.Full}}})
	w.checkGangRestarts(t)
}

// Guards against the other members of a gang that wait for one whose node has withdrawn its
// start, and stopped the run in case that the executor carries it out late.
func TestWithdrawnMemberStopsItsGang(t *testing.T) {
	w, missing := newIncompleteGang(t)
	w.cell.Report(w.now, "host-0", hvorder.Report{Stopped: []hvorder.Run{missing}})
	w.checkGangRestarts(t)
}

// Guards against an owner that is cut off with some of its hosts and starts the tasks of
// all others again: a new owner may have taken note of their ends.
func TestTasksOfLostHostWaitForConfirmedOwnership(t *testing.T) {
	w := newRunningCluster(t, 2, testStep(1, 1000))
	w.cell.NodeDetached(w.now, "host-0")
	w.cell.NodeDetached(w.now, "host-1")
	w.advance(2 * time.Second)
	w.cell.Confirm(w.now)
	w.advance(20 * time.Second)
	w.attach("host-1")
	lost := w.hosts["host-0"]
	if len(lost.ended) != 1 {
		t.Fatalf("ends on the lost host are %v, want one", lost.ended)
	}
	w.cell.Tick(w.now)
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders("host-1"); len(o.Starts) > 0 {
		t.Fatal("a task of a lost host starts again although the owner may have been replaced")
	}
	w.cell.Confirm(w.now)
	w.cell.Tick(w.now)
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders("host-1"); len(o.Starts) != 1 {
		t.Fatal("the task of a lost host does not start again under a confirmed owner")
	}
}

// Guards against a new owner that is cut off while it waits for the leases of hosts that it
// cannot reach, and then starts their tasks although a later owner has them.
func TestInheritedTasksWaitForConfirmedOwnership(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	w.submit(urgentJob(testStep(1, 1000)))
	w.replaceOwner()
	w.cell.Confirm(w.now)
	w.attach("host-1")
	w.advance(20 * time.Second)
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders("host-1"); len(o.Starts) > 0 {
		t.Fatal("an inherited task starts although the owner may have been replaced")
	}
	w.cell.Confirm(w.now)
	w.cell.Tick(w.now)
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders("host-1"); len(o.Starts) != 1 {
		t.Fatal("the inherited task does not start under a confirmed owner")
	}
}
