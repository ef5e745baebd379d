package hvcell

import (
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against tasks that stay without a run because the node beside their executor
// reports while the executor does not respond: its runs end with their leases, which the
// node cannot renew.
func TestTasksOfSilentExecutorStartAgain(t *testing.T) {
	w := newRunningCluster(t, 2, longRunningStep(2))
	silent, other := w.hosts["host-0"], w.hosts["host-1"]
	if len(silent.running) != 1 || len(other.running) != 1 {
		t.Fatalf("runs are %v and %v, want one on each host", silent.running, other.running)
	}
	other.capacityCPU = 16000
	last := silent.report(false)
	for i := range 13 {
		w.now = w.now.Add(500 * time.Millisecond)
		silent.expireLease()
		w.cell.Report(w.now, silent.name, last)
		other.applyGrant(w.cell.Report(w.now, other.name, other.report(false)))
		w.store()
		w.cell.Tick(w.now)
		w.cell.Plan(w.now)
		w.deliver(other.name)
		if i < 9 && len(other.running) > 1 {
			t.Fatal("a task starts again while its lease may be valid")
		}
	}
	if len(other.running) != 2 {
		t.Fatalf("%d of 2 tasks run on the other host 6.5 s after the executor responded last", len(other.running))
	}
	if o, _ := w.cell.Orders(silent.name); len(o.Starts) > 0 {
		t.Errorf("%d tasks start on the silent executor", len(o.Starts))
	}
}

// Guards against runs that a silent executor lost with their leases, and that count again
// because its node repeats the lists from before: their tasks wait, and go on from an older
// saved state.
func TestListsOfSilentExecutorAreNotAdopted(t *testing.T) {
	w := newRunningCluster(t, 1, longRunningStep(1))
	silent := w.hosts["host-0"]
	lists := silent.report(true)
	digest := lists
	digest.Full, digest.Running, digest.Digest = false, nil, silent.digest()
	silent.applyGrant(w.cell.Report(w.now, silent.name, lists))
	for range 7 {
		w.advance(time.Second)
		w.cell.Confirm(w.now)
	}
	check := func(after string) {
		t.Helper()
		if n := w.cell.Counts().Running; n != 0 {
			t.Fatalf("%d runs count after %s", n, after)
		}
	}
	check("the end of their lease")
	if g := w.cell.Report(w.now, silent.name, digest); g.List {
		t.Error("the owner asks for lists that are no newer than those before")
	}
	w.cell.Report(w.now, silent.name, lists)
	check("older lists")
	w.cell.NodeDetached(w.now, silent.name)
	w.cell.NodeAttached(w.now, silent.name, lists)
	check("an attachment with older lists")
	digest.Clock, digest.Digest = silent.clock(), hvorder.EmptyDigest
	if g := w.cell.Report(w.now, silent.name, digest); !g.List {
		t.Error("the owner does not ask for the lists after the executor has responded")
	}
}
