package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// submitServing is the load that these tests answer: lasting tasks reserve most of
// the processors and use half of them, while a flood of batch work fills the
// rest. One image of it slows one image that serves.
func submitServing(w *simCluster) (serving, overload hvjob.Job) {
	tolerant := hvjob.Step{Count: 1, Need: hvjob.Resources{CPU: 6000, Memory: 100}, LongRunning: true, Image: "calm", LatencyTarget: 50}
	sensitive := tolerant
	sensitive.Image = "touchy"
	serving = w.submit(steps(tolerant, sensitive))
	w.exchange()
	batch := hvjob.Step{Count: 4, Need: hvjob.Resources{CPU: 1000, Memory: 100}, Estimate: 2000, BestEffort: true, Checkpoint: true, Image: "press"}
	return serving, steps(batch)
}

// reportInterference reports that the image press slows touchy and not calm.
func reportInterference(w *simCluster, host string) {
	for i := range 200 {
		moved, change := int64(1000), int64(300)
		if i%2 == 1 {
			moved, change = -moved, -change
		}
		r := w.hosts[host].report(false)
		r.LoadChanges = map[string]int64{"press": moved}
		r.TailChanges = []hvorder.TailChange{{Image: "touchy", LogChange: change}, {Image: "calm", LogChange: 0}}
		w.cell.Report(w.now, host, r)
	}
}

func (e *executor) runsImage(image string) bool {
	for _, r := range e.cluster.cell.hosts[e.name].runs {
		if r.task.step.spec.Image == image {
			return true
		}
	}
	return false
}

// Guards against a flood of batch work that only one host takes at a time
// because the processors are reserved, though not used.
func TestBestEffortWorkUsesReservedProcessors(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	_, flood := submitServing(w)
	w.submit(flood)
	w.exchange()
	if w.runs() != 6 {
		t.Fatalf("%d runs, want 2 that serve and 4 that fill", w.runs())
	}
}

// Guards against fill work beside the serving tasks that it is known to slow.
func TestBestEffortWorkGoesWhereItInterferesLeast(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	_, flood := submitServing(w)
	reportInterference(w, "host-0")
	w.submit(flood)
	w.exchange()
	for name, e := range w.hosts {
		if e.runsImage("touchy") && e.runsImage("press") {
			t.Errorf("fill work runs on %s beside the image that it slows", name)
		}
	}
	if w.runs() != 6 {
		t.Fatalf("%d runs, want 6", w.runs())
	}
}

// Guards against fill work that stays where it is slowed to a crawl while
// another host could run it.
func TestThrottledBestEffortWorkMigrates(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	_, flood := submitServing(w)
	w.submit(flood)
	w.exchange()
	touchy := "host-0"
	if !w.hosts[touchy].runsImage("touchy") {
		touchy = "host-1"
	}
	if !w.hosts[touchy].runsImage("press") {
		t.Fatal("no fill work beside the image that it slows, though nothing is known yet")
	}
	reportInterference(w, touchy)
	for range 30 {
		r := w.hosts[touchy].report(false)
		r.ShareOffset = -80
		w.cell.Report(w.now, touchy, r)
		w.store()
		w.cell.Tick(w.now)
		w.cell.Plan(w.now)
		w.deliver("host-0")
		w.deliver("host-1")
		w.now = w.now.Add(100 * time.Millisecond)
	}
	if w.hosts[touchy].runsImage("press") {
		t.Error("fill work is left on the host that slows it")
	}
	if w.runs() != 6 {
		t.Errorf("%d runs after the moves, want 6", w.runs())
	}
}

// Guards against nodes that are not told which images to slow, or are told to
// slow harmless ones.
func TestGrantNamesInterferingImages(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	w.hosts["host-0"].capacityCPU = 16_000
	w.cell.Report(w.now, "host-0", w.hosts["host-0"].report(false))
	_, flood := submitServing(w)
	w.submit(flood)
	w.exchange()
	reportInterference(w, "host-0")
	g := w.cell.Report(w.now, "host-0", w.hosts["host-0"].report(false))
	if e := g.Effects["press"]; e < 250 || e > 350 {
		t.Errorf("effect of the image is %d thousandths, want about 300", e)
	}
}

// Guards against fill work that waits for ever because the only host that it
// would not disturb is one on which it failed.
func TestBestEffortWorkLeavesHostThatFailedIt(t *testing.T) {
	w := newSimCluster(t, 2)
	serving, empty := w.hosts["host-0"], w.hosts["host-1"]
	serving.capacityCPU = 16_000
	w.attach("host-0")
	_, flood := submitServing(w)
	reportInterference(w, "host-0")
	w.attach("host-1")
	flood.Steps[0].Count = 1
	w.submit(flood)
	w.exchange()
	if !empty.runsImage("press") {
		t.Fatal("fill work does not go to the empty host")
	}
	for task, run := range empty.running {
		empty.end(task, run, hv.EndFailed)
	}
	w.exchange()
	if !serving.runsImage("press") {
		t.Fatal("the task does not start on the host that is left")
	}
}

// Guards against a step that never starts because all hosts slow fill work.
func TestStarvedBestEffortWorkStarts(t *testing.T) {
	w := newSimCluster(t, 1)
	w.hosts["host-0"].capacityCPU = 16_000
	w.attachAll()
	_, flood := submitServing(w)
	reportInterference(w, "host-0")
	slow := func() {
		r := w.hosts["host-0"].report(false)
		r.ShareOffset = -100
		w.cell.Report(w.now, "host-0", r)
	}
	slow()
	w.submit(flood)
	w.cell.Plan(w.now)
	w.deliver("host-0")
	if w.hosts["host-0"].runsImage("press") {
		t.Fatal("fill work starts at once where it is paused")
	}
	w.advance(2 * time.Second)
	slow()
	w.cell.Plan(w.now)
	w.deliver("host-0")
	if !w.hosts["host-0"].runsImage("press") {
		t.Fatal("the step has not started after 2 s")
	}
}
