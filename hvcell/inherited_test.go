package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// newInheritedCluster returns a cluster with a new owner to which all hosts but host-0 are
// attached and list the runs of a long-running job.
func newInheritedCluster(t *testing.T) *simCluster {
	t.Helper()
	w := newRunningCluster(t, 3, longRunningStep(3))
	for name, e := range w.hosts {
		if len(e.running) != 1 {
			t.Fatalf("%d tasks run on %s, want 1", len(e.running), name)
		}
	}
	w.replaceOwner()
	w.attach("host-1")
	w.attach("host-2")
	w.exchange()
	return w
}

// Guards against a long-running task that a new owner has seen running and that stays
// without a run, once that has ended, until the leases on a host that is gone have
// expired: nothing of the task can be there.
func TestAdoptedTaskStartsAgainAtOnce(t *testing.T) {
	w := newInheritedCluster(t)
	for task, run := range w.hosts["host-1"].running {
		w.hosts["host-1"].end(task, run, hv.EndFailed)
	}
	w.exchange()
	if w.runs() != 3 {
		t.Fatalf("%d of 3 tasks run after one of an adopted run has failed", w.runs())
	}
}

// Guards against a start of a task that may run on a host which a new owner cannot reach,
// because other tasks of its step may start.
func TestOnlyAdoptedTasksStartBeforeRecovery(t *testing.T) {
	w := newInheritedCluster(t)
	w.advance(2 * time.Second)
	w.hosts["host-1"].crash()
	w.exchange()
	if n := len(w.hosts["host-2"].running); n != 1 {
		t.Fatalf("%d tasks run on host-2, which has room for one", n)
	}
	w.hosts["host-2"].capacityCPU = 24000
	w.exchange()
	if n := len(w.hosts["host-2"].running); n != 2 {
		t.Fatalf("%d tasks run on host-2, want its own and that of the executor which ended", n)
	}
	for range 16 {
		w.advance(time.Second)
		w.exchange()
	}
	if n := len(w.hosts["host-2"].running); n != 3 {
		t.Fatalf("%d tasks run on host-2 after the leases on the host that is gone have expired, want 3", n)
	}
}

// Guards against a long-running task that stays without a run for longer than a lease after
// an owner that stood still goes on: its host is gone, and the new owner waited until the
// owner before could grant no lease even if it never went on.
func TestEndOfPreviousOwnerShortensWait(t *testing.T) {
	w := newInheritedCluster(t)
	w.hosts["host-2"].capacityCPU = 24000
	w.advance(2 * time.Second)
	w.hosts["host-0"].alive = false
	w.hosts["host-0"].running = map[string]int{}
	w.endPrevious()
	w.exchange()
	if w.runs() != 2 {
		t.Fatal("an inherited task starts while a lease may still be valid")
	}
	w.advance(w.cell.maxLeaseDuration() + 100*time.Millisecond)
	w.exchange()
	if w.runs() != 3 {
		t.Fatalf("%d of 3 tasks run a lease after the end of the previous owner", w.runs())
	}
}

// Guards against a task that runs twice, because the end of the owner before also ended the
// wait for the authority of the one before that, which is cut off and goes on granting leases.
func TestEndOfPreviousOwnerKeepsEarlierAuthority(t *testing.T) {
	w := newRunningCluster(t, 3, longRunningStep(3))
	w.replaceOwner()
	w.replaceOwner()
	w.attach("host-1")
	w.attach("host-2")
	w.hosts["host-2"].capacityCPU = 24000
	w.endPrevious()
	first := w.earlier[0]
	for w.now.Before(first.until) {
		// A start of the task of host-0 elsewhere fails the test.
		w.exchange()
		w.advance(time.Second)
		cutOff := w.hosts["host-0"]
		w.actAs(first, func() { cutOff.applyGrant(w.cell.Report(w.now, cutOff.name, cutOff.report(false))) })
	}
	w.advance(w.cell.maxLeaseDuration() + 2*time.Second)
	w.exchange()
	if n := len(w.hosts["host-2"].running); w.runs() != 3 || n != 2 {
		t.Fatalf("%d of 3 tasks run, %d of them on host-2, a lease after the authority of the first owner", w.runs(), n)
	}
}
