package hvcell

import (
	"testing"
	"time"
)

// Guards against runs without saved states that are stopped to move, after a change of the
// owner, as if they had just begun: the new owner does not know for how long they have run.
func TestAdoptedRunWithoutSavedStatesIsNotMoved(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	_, overload := submitServing(w)
	overload.Steps[0].Checkpoint = false
	w.submit(overload)
	w.exchange()
	sensitive := "host-0"
	if !w.hosts[sensitive].runsImage("sensitive") {
		sensitive = "host-1"
	}
	w.advance(3 * time.Second)
	w.exchange()
	w.replaceOwner()
	w.attachAll()
	reportInterference(w, sensitive)
	for range 30 {
		r := w.hosts[sensitive].report(false)
		r.ShareOffset = -80
		w.cell.Report(w.now, sensitive, r)
		w.store()
		w.cell.Tick(w.now)
		w.now = w.now.Add(100 * time.Millisecond)
	}
	if n := w.cell.Counts().Stopped; n > 0 {
		t.Fatalf("%d runs that began 3 s before the change of the owner were stopped to move", n)
	}
}
