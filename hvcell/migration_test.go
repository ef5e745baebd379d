package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
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

// Guards against runs that are stopped one after another, to move off a host that throttled
// them when it was last heard of, while nothing is heard of it.
func TestRunsStayOnSilentHost(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	_, overload := submitServing(w)
	overload.Steps[0].Count = 12
	w.submit(overload)
	w.exchange()
	sensitive := "host-0"
	if !w.hosts[sensitive].runsImage("sensitive") {
		sensitive = "host-1"
	}
	reportInterference(w, sensitive)
	other := "host-1"
	if sensitive == other {
		other = "host-0"
	}
	w.finishOn(other)
	r := w.hosts[sensitive].report(false)
	r.ShareOffset = -80
	w.cell.Report(w.now, sensitive, r)
	tick := func(d time.Duration) int64 {
		before := w.cell.Counts().Stopped
		for range d / tickTime {
			w.now = w.now.Add(tickTime)
			w.cell.Report(w.now, other, w.hosts[other].report(false))
			w.cell.Tick(w.now)
		}
		return w.cell.Counts().Stopped - before
	}
	if tick(time.Second) == 0 {
		t.Fatal("no run moves off the host that throttles them")
	}
	if n := tick(1800 * time.Millisecond); n > 0 {
		t.Fatalf("%d more runs were stopped to move while nothing was heard of their host for 1 s and more", n)
	}
}

const tickTime = 100 * time.Millisecond

// finishOn ends all best-effort runs on a host, so that others have room there.
func (w *simCluster) finishOn(name string) {
	for _, r := range w.cell.hosts[name].runs {
		if r.task.step.spec.BestEffort {
			w.hosts[name].end(r.task.name, r.number, hv.EndDone)
		}
	}
	w.cell.Report(w.now, name, w.hosts[name].report(false))
}
