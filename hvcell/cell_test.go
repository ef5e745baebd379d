package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against a step that starts before the steps that it depends on, and against
// a job that never becomes complete.
func TestStepsRunInOrder(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	second := testStep(3, 1000)
	second.After = []int{0}
	j := w.submit(urgentJob(testStep(4, 1000), second))
	w.exchange()
	if n := w.runs(); n != 4 {
		t.Fatalf("%d runs, want the 4 of the first step", n)
	}
	w.finishAll(hv.EndDone)
	w.exchange()
	if n := w.runs(); n != 3 {
		t.Fatalf("%d runs, want the 3 of the second step", n)
	}
	w.finishAll(hv.EndDone)
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Complete {
		t.Fatalf("stored state is %q", s)
	}
}

// Guards against ends that are acknowledged before their effect is stored.
func TestEndsAreAcknowledgedOnceStored(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	w.submit(urgentJob(testStep(1, 1000)))
	w.exchange()
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

// Guards against a failed run that is counted twice because the previous owner, which
// stored its end, did not acknowledge it, and against retries beyond the attempts.
func TestAttemptsAreCountedOnce(t *testing.T) {
	w := newSimCluster(t, 3)
	w.attachAll()
	j := w.submit(urgentJob(testStep(1, 1000)))
	for i := 1; i <= 3; i++ {
		w.exchange()
		if w.runs() != 1 {
			t.Fatalf("attempt %d did not start", i)
		}
		w.finishAll(hv.EndFailed)
		if i == 1 {
			// The end is stored, but its acknowledgement is lost with the owner.
			for name, e := range w.hosts {
				w.cell.Report(w.now, name, e.report(false))
			}
			w.store()
			w.replaceOwner()
			w.attachAll()
		}
	}
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Failed {
		t.Fatalf("state after 3 failed runs is %q", s)
	}
}

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
	w := newSimCluster(t, 2)
	w.attachAll()
	w.submit(urgentJob(testStep(8, 1000)))
	w.exchange()
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
	w := newSimCluster(t, 2)
	w.attachAll()
	w.submit(urgentJob(testStep(8, 1000)))
	w.exchange()
	w.hosts["host-0"].crash()
	w.exchange()
	if got := len(w.hosts["host-1"].running); got != 8 {
		t.Fatalf("%d runs on the other host, want all 8", got)
	}
}

// Guards against a task that never starts again because its executor restarted without
// it under the same identifier.
func TestNewIncarnationLosesRuns(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	w.submit(urgentJob(testStep(2, 1000)))
	w.exchange()
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

// Guards against runs of a cancelled job that continue or start again, also under a
// new owner.
func TestCancelStopsRuns(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	j := w.submit(urgentJob(testStep(6, 1000)))
	w.exchange()
	w.cancel(j.ID)
	w.exchange()
	w.exchange()
	if w.runs() != 0 {
		t.Fatalf("%d runs of a cancelled job", w.runs())
	}
	w.replaceOwner()
	w.attachAll()
	w.exchange()
	if w.runs() != 0 {
		t.Fatalf("%d runs of a cancelled job under a new owner", w.runs())
	}
}

// Guards against a gang of which only some tasks start, and against a job that does not
// end with its gang.
func TestGangStartsCompletelyOrNotAtAll(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	blocker := w.submit(urgentJob(testStep(5, 2000)))
	w.exchange()
	gang := testStep(4, 2000)
	gang.Gang = true
	j := w.submit(urgentJob(gang))
	w.exchange()
	if w.runs() != 5 {
		t.Fatalf("%d runs, want none of the gang beside the 5", w.runs())
	}
	w.cancel(blocker.ID)
	w.exchange()
	w.exchange()
	if w.runs() != 4 {
		t.Fatalf("%d runs, want the 4 of the gang", w.runs())
	}
	w.finishAll(hv.EndDone)
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Complete {
		t.Fatalf("state of the gang's job is %q", s)
	}
}

// Guards against more tasks of a step on one host than the caller allows.
func TestSpreadLimitsTasksOnHost(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	s := testStep(6, 500)
	s.MaxPerHost = 2
	w.submit(urgentJob(s))
	w.exchange()
	for name, e := range w.hosts {
		if len(e.running) > 2 {
			t.Errorf("%d runs on %s, want at most 2", len(e.running), name)
		}
	}
}

// Guards against a scheduled round that starts early or never.
func TestRoundsStartWhenDue(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	j := urgentJob(testStep(1, 1000))
	j.Repetitions, j.FirstDue, j.Interval = 2, w.now.Add(3*time.Second).UnixMilli(), 4000
	j = w.submit(j)
	w.exchange()
	w.advance(2500 * time.Millisecond)
	w.exchange()
	if w.runs() != 0 {
		t.Fatal("the round starts before it is due")
	}
	for range 2 {
		w.advance(time.Second)
		w.exchange()
		if w.runs() != 1 {
			t.Fatal("the round that is due does not start")
		}
		w.finishAll(hv.EndDone)
		w.exchange()
		w.advance(3 * time.Second)
		w.exchange()
	}
	if s := w.stored[j.ID].State; s != hvjob.Complete {
		t.Fatalf("state after both rounds is %q", s)
	}
}

// Guards against an owner that starts tasks or renews leases while another may have
// replaced it.
func TestSuspendedOwnerStartsNothing(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	w.cell.Suspend(true)
	w.submit(urgentJob(testStep(1, 1000)))
	before := w.hosts["host-0"].leaseEnd
	w.advance(time.Second)
	w.exchange()
	if w.runs() != 0 || w.hosts["host-0"].leaseEnd.After(before) {
		t.Fatal("a suspended owner starts tasks or renews leases")
	}
}

// Guards against a stalled run whose task does not start elsewhere.
func TestStalledRunStartsElsewhere(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	w.submit(urgentJob(testStep(1, 1000)))
	w.exchange()
	name := "host-0"
	if len(w.hosts[name].running) == 0 {
		name = "host-1"
	}
	r := w.hosts[name].report(false)
	for task, run := range w.hosts[name].running {
		r.Stalled = append(r.Stalled, hvorder.Run{Task: task, Run: run})
	}
	w.cell.Report(w.now, name, r)
	w.exchange()
	w.exchange()
	if len(w.hosts[name].running) != 0 || w.runs() != 1 {
		t.Fatalf("%d runs on the host of the stalled run, %d in all", len(w.hosts[name].running), w.runs())
	}
}

// Guards against a task that takes much longer than its caller estimated and is
// abandoned repeatedly.
func TestLongTaskIsNotAbandonedForever(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	s := testStep(1, 1000)
	s.Estimate = 100
	w.submit(urgentJob(s))
	longest, running := 0, 0
	last := map[string]int{}
	for range 600 {
		w.exchange()
		now := map[string]int{}
		for name, e := range w.hosts {
			for task, run := range e.running {
				now[name+task] = run
			}
		}
		for k, run := range now {
			if last[k] == run {
				running++
			} else {
				running = 1
			}
		}
		last = now
		longest = max(longest, running)
		w.advance(100 * time.Millisecond)
	}
	if longest < 150 {
		t.Fatalf("the longest run within a minute lasted %d ms", longest*100)
	}
}

// Guards against a task that never starts again because it failed on the only remaining
// host.
func TestAvoidedHostIsUsedIfNoOtherRemains(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attach("host-0")
	w.submit(urgentJob(testStep(1, 1000)))
	w.exchange()
	w.finishAll(hv.EndFailed)
	w.exchange()
	if w.runs() != 1 {
		t.Fatal("the task does not start again on the only host")
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

// Guards against a panic when a host lists the saved state of a run that has not stopped
// yet although its job has failed.
func TestSavedStateOfFailedJob(t *testing.T) {
	w := newSimCluster(t, 1)
	w.savedStates = true
	w.attachAll()
	s := testStep(2, 1000)
	s.Checkpoint = true
	j := w.submit(urgentJob(s))
	e := w.hosts["host-0"]
	doomed := hvjob.Task{Job: j.ID}.String()
	for range 3 {
		w.exchange()
		e.end(doomed, e.running[doomed], hv.EndFailed)
	}
	w.cell.Report(w.now, e.name, e.report(false))
	w.advance(time.Second)
	w.cell.Report(w.now, e.name, e.report(false))
	w.exchange()
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Failed || w.runs() != 0 {
		t.Fatalf("state %q with %d runs", s, w.runs())
	}
}

// Guards against a start beyond the attempts of a queue by an owner that has not read
// the catalog yet, or whose catalog no longer has the queue.
func TestAttemptLimitAppliesWithoutCatalog(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	j := w.submit(urgentJob(testStep(1, 1000)))
	for range 2 {
		w.exchange()
		w.finishAll(hv.EndFailed)
	}
	w.exchange()
	w.noCatalog = true
	w.replaceOwner()
	w.finishAll(hv.EndFailed)
	w.attachAll()
	w.exchange()
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Failed || w.runs() != 0 {
		t.Fatalf("state %q with %d runs after 3 failed runs", s, w.runs())
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

// Guards against a registration that outlasts an executor that has exited: the next owner,
// and its long-running tasks, would wait for that host.
func TestHostOfExitedExecutorIsDropped(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	w.submit(urgentJob(testStep(8, 1000)))
	w.exchange()
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

// Guards against a long-running task that does not start again because only the host on
// which it failed has capacity.
func TestLongRunningTaskReturnsToOnlyHostWithCapacity(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	s := testStep(4, 4000)
	s.LongRunning = true
	w.submit(urgentJob(s))
	w.exchange()
	if w.runs() != 4 {
		t.Fatalf("%d runs on the two hosts, want 4", w.runs())
	}
	e := w.hosts["host-0"]
	for task, run := range e.running {
		e.end(task, run, hv.EndFailed)
		break
	}
	w.exchange()
	if w.runs() != 4 {
		t.Fatalf("%d runs after one has failed, want 4", w.runs())
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

// Guards against a job that is counted as running although no host has begun any of its
// tasks: callers are told how many jobs wait.
func TestJobIsQueuedUntilTaskBegins(t *testing.T) {
	refused := func(w *simCluster, o hvorder.Orders) {
		w.cell.Report(w.now, "host-0", hvorder.Report{Refused: []hvorder.Refusal{{Run: o.Starts[0].Run, Kind: hv.Full}}})
	}
	for name, lose := range map[string]func(w *simCluster, o hvorder.Orders){
		"ordered": func(*simCluster, hvorder.Orders) {},
		"refused": refused,
		"executor gone": func(w *simCluster, _ hvorder.Orders) {
			w.cell.Report(w.now, "host-0", hvorder.Report{ExecutorGone: true})
		},
		"owner lost": func(w *simCluster, _ hvorder.Orders) {
			w.store()
			w.replaceOwner()
			w.attachAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1)
			w.attachAll()
			j := w.submit(urgentJob(testStep(1, 1000)))
			w.cell.Plan(w.now)
			o, ok := w.cell.Orders("host-0")
			if !ok || len(o.Starts) != 1 {
				t.Fatalf("orders are %+v, want one start", o)
			}
			lose(w, o)
			w.store()
			if s := w.stored[j.ID].State; s != "" && s != hvjob.Queued {
				t.Fatalf("job is %q although no task has begun", s)
			}
			if name == "ordered" {
				w.hosts["host-0"].applyOrders(o)
			}
			w.advance(time.Second)
			w.exchange()
			w.exchange()
			if s := w.stored[j.ID].State; w.runs() != 1 || s != hvjob.Running {
				t.Fatalf("job is %q with %d runs, want it running with one", s, w.runs())
			}
		})
	}
}
