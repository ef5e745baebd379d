package hvcell

import (
	"maps"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// submitServing submits two serving tasks that reserve most of the processors and use
// half of them, and returns their job and one, not yet submitted, that overloads the
// rest with best-effort tasks. The best-effort image slows one of the serving images.
func submitServing(w *simCluster) (serving, overload hvjob.Job) {
	tolerant := hvjob.Step{Count: 1, Need: hvjob.Resources{CPU: 6000, Memory: 100}, LongRunning: true, Image: "tolerant", LatencyTarget: 50}
	sensitive := tolerant
	sensitive.Image = "sensitive"
	serving = w.submit(urgentJob(tolerant, sensitive))
	w.exchange()
	batch := hvjob.Step{Count: 4, Need: hvjob.Resources{CPU: 1000, Memory: 100}, Estimate: 2000, BestEffort: true, Checkpoint: true, Image: "best-effort"}
	return serving, urgentJob(batch)
}

// reportInterference reports that the best-effort image slows the sensitive image and
// not the tolerant one.
func reportInterference(w *simCluster, host string) {
	for i := range 200 {
		loadChange, change := int64(1000), int64(300)
		if i%2 == 1 {
			loadChange, change = -loadChange, -change
		}
		r := w.hosts[host].report(false)
		r.LoadChanges = map[string]int64{"best-effort": loadChange}
		r.TailChanges = []hvorder.TailChange{{Image: "sensitive", LogChange: change}, {Image: "tolerant", LogChange: 0}}
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

// Guards against best-effort tasks that wait because the processors are reserved by
// serving tasks, though not used.
func TestBestEffortWorkUsesReservedProcessors(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	_, overload := submitServing(w)
	w.submit(overload)
	w.exchange()
	if w.runs() != 6 {
		t.Fatalf("%d runs, want 2 serving and 4 best-effort ones", w.runs())
	}
}

// Guards against best-effort tasks beside the serving tasks that they are known to
// slow.
func TestBestEffortWorkGoesWhereItInterferesLeast(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	_, overload := submitServing(w)
	reportInterference(w, "host-0")
	w.submit(overload)
	w.exchange()
	for name, e := range w.hosts {
		if e.runsImage("sensitive") && e.runsImage("best-effort") {
			t.Errorf("best-effort tasks run on %s beside the image that they slow", name)
		}
	}
	if w.runs() != 6 {
		t.Fatalf("%d runs, want 6", w.runs())
	}
}

// Guards against best-effort tasks that stay on a host that throttles them while
// another host could run them at full speed.
func TestThrottledBestEffortWorkMigrates(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	_, overload := submitServing(w)
	w.submit(overload)
	w.exchange()
	sensitive := "host-0"
	if !w.hosts[sensitive].runsImage("sensitive") {
		sensitive = "host-1"
	}
	if !w.hosts[sensitive].runsImage("best-effort") {
		t.Fatal("no best-effort task beside the image that it slows, though the effect is not known yet")
	}
	reportInterference(w, sensitive)
	for range 30 {
		r := w.hosts[sensitive].report(false)
		r.ShareOffset = -80
		w.cell.Report(w.now, sensitive, r)
		w.store()
		w.cell.Tick(w.now)
		w.cell.Plan(w.now)
		w.deliver("host-0")
		w.deliver("host-1")
		w.now = w.now.Add(100 * time.Millisecond)
	}
	if w.hosts[sensitive].runsImage("best-effort") {
		t.Error("best-effort tasks remain on the host that throttles them")
	}
	if w.runs() != 6 {
		t.Errorf("%d runs after the migrations, want 6", w.runs())
	}
}

// Guards against grants that lack the images that a node has to throttle.
func TestGrantNamesInterferingImages(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	w.hosts["host-0"].capacityCPU = 16_000
	w.cell.Report(w.now, "host-0", w.hosts["host-0"].report(false))
	_, overload := submitServing(w)
	w.submit(overload)
	w.exchange()
	reportInterference(w, "host-0")
	g := w.cell.Report(w.now, "host-0", w.hosts["host-0"].report(false))
	if e := g.Effects["best-effort"]; e < 250 || e > 350 {
		t.Errorf("effect of the image is %d thousandths, want about 300", e)
	}
}

// Guards against a best-effort task that waits forever because the only host on which
// it would not interfere is one on which it failed.
func TestBestEffortTaskStartsElsewhereAfterFailure(t *testing.T) {
	w := newSimCluster(t, 2)
	serving, empty := w.hosts["host-0"], w.hosts["host-1"]
	serving.capacityCPU = 16_000
	w.attach("host-0")
	_, overload := submitServing(w)
	reportInterference(w, "host-0")
	w.attach("host-1")
	overload.Steps[0].Count = 1
	w.submit(overload)
	w.exchange()
	if !empty.runsImage("best-effort") {
		t.Fatal("the best-effort task does not start on the empty host")
	}
	for task, run := range empty.running {
		empty.end(task, run, hv.EndFailed)
	}
	w.exchange()
	if !serving.runsImage("best-effort") {
		t.Fatal("the task does not start on the remaining host")
	}
}

// Guards against a step that never starts because all hosts throttle best-effort
// tasks.
func TestStarvedBestEffortWorkStarts(t *testing.T) {
	w := newSimCluster(t, 1)
	w.hosts["host-0"].capacityCPU = 16_000
	w.attachAll()
	_, overload := submitServing(w)
	reportInterference(w, "host-0")
	throttle := func() {
		r := w.hosts["host-0"].report(false)
		r.ShareOffset = -100
		w.cell.Report(w.now, "host-0", r)
	}
	throttle()
	w.submit(overload)
	w.cell.Plan(w.now)
	w.deliver("host-0")
	if w.hosts["host-0"].runsImage("best-effort") {
		t.Fatal("best-effort tasks start at once on a host that pauses them")
	}
	w.advance(2 * time.Second)
	throttle()
	w.cell.Plan(w.now)
	w.deliver("host-0")
	if !w.hosts["host-0"].runsImage("best-effort") {
		t.Fatal("the step has not started after 2 s")
	}
}

// newStarvedCluster returns a cluster of one host that pauses interfering work, and a job of
// such work that has waited for 2 s.
func newStarvedCluster(t *testing.T) (*simCluster, hvjob.Job) {
	t.Helper()
	w := newSimCluster(t, 1)
	w.hosts["host-0"].capacityCPU = 16_000
	w.attachAll()
	_, overload := submitServing(w)
	reportInterference(w, "host-0")
	w.hosts["host-0"].shareOffset = -100
	w.exchange()
	w.submit(overload)
	w.exchange()
	w.advance(2 * time.Second)
	return w, overload
}

// Guards against a step with idle tasks for most of the time while other best-effort work
// takes all processors: once it has waited without a run, one of its tasks runs at all
// times.
func TestStarvedStepKeepsARun(t *testing.T) {
	w, overload := newStarvedCluster(t)
	for i := range overload.Steps[0].Count {
		w.exchange()
		if !w.hosts["host-0"].runsImage("best-effort") {
			t.Fatalf("no task of the step runs after %d ends", i)
		}
		for task, run := range maps.Clone(w.hosts["host-0"].running) {
			if w.cell.findTask(task).step.spec.BestEffort {
				w.hosts["host-0"].end(task, run, hv.EndDone)
			}
		}
		w.exchange()
	}
}

// Guards against throttled work that on-call engineers cannot see: what best-effort tasks
// need, and what of it they get.
func TestLoadOfBestEffortWorkIsMeasured(t *testing.T) {
	w, _ := newStarvedCluster(t)
	w.exchange()
	w.advance(loadInterval)
	w.exchange()
	l := w.cell.BestEffortLoad()
	if l.Needed != 1000 || l.Granted != 0 || l.Throttled != 1 || l.Unused <= 0 {
		t.Fatalf("load is %+v, want 1000 needed, none of it granted, on one throttled host", l)
	}
}
