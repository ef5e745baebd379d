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
	w.advance(w.cell.options.maxLeaseDuration() + 100*time.Millisecond)
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
	w.advance(w.cell.options.maxLeaseDuration() + 2*time.Second)
	w.exchange()
	if n := len(w.hosts["host-2"].running); w.runs() != 3 || n != 2 {
		t.Fatalf("%d of 3 tasks run, %d of them on host-2, a lease after the authority of the first owner", w.runs(), n)
	}
}

// Guards against a long-running task that stays without a run for over 11 s, which counts as
// lost, after its host and an owner were lost for good at the same time: the new owner
// counted a lease of the full duration after the authority of the owner before.
func TestLeasesOfLostOwnerCountOnlyTheirOverhang(t *testing.T) {
	w := newRunningCluster(t, 3, longRunningStep(3))
	w.authority = 5 * time.Second
	w.replaceOwner()
	w.hosts["host-0"].alive = false
	w.hosts["host-0"].running = map[string]int{}
	w.hosts["host-2"].capacityCPU = 24000
	w.attach("host-1")
	w.attach("host-2")
	claimedAt := w.now
	for w.exchange(); w.runs() < 3; w.exchange() {
		if w.now.Sub(claimedAt) > 8*time.Second {
			t.Fatalf("%d of 3 tasks run %v after the claim", w.runs(), w.now.Sub(claimedAt))
		}
		w.advance(100 * time.Millisecond)
	}
	if took := w.now.Sub(claimedAt); took < w.authority+leaseOverhang {
		t.Fatalf("an inherited task starts %v after the claim, while a lease may still be valid", took)
	}
}

// Guards against a task that runs twice: a lease beyond what a new owner counts, granted by
// an owner that is cut off.
func TestLeasesEndAtLimit(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	e := w.hosts["host-0"]
	w.cell.LimitLeases(w.now.Add(6 * time.Second))
	for range 6 {
		w.advance(time.Second)
		e.applyGrant(w.cell.Report(w.now, e.name, e.report(false)))
	}
	if got, want := e.leaseEnd, w.cell.leaseLimit; !got.Equal(want) {
		t.Errorf("the lease ends %v after the limit, want at the limit", got.Sub(want))
	}
}
