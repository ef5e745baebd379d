package hvcell

import (
	"testing"

	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// colocationCluster returns a cluster with one host on which a sensitive and a tolerant
// service run, with the policy on and the effects known.
func colocationCluster(t *testing.T) *simCluster {
	w := newSimCluster(t, 1)
	w.policy.Colocation = true
	w.cell.options.Policy = w.policy
	w.hosts["host-0"].capacityCPU = 24_000
	w.attachAll()
	submitServing(w)
	w.exchange()
	reportInterference(w, "host-0")
	return w
}

// reportTail reports the ratio of the tail latency of the sensitive image to its target,
// as a logarithm in thousandths.
func (w *simCluster) reportTail(ratio int64) {
	r := w.hosts["host-0"].report(false)
	r.TailChanges = []hvorder.TailChange{{Image: "sensitive", LogRatio: ratio}}
	w.cell.Report(w.now, "host-0", r)
}

func bestEffortStep(count int, image string) hvjob.Step {
	return hvjob.Step{Count: count, Need: hvjob.Resources{CPU: 1000, Memory: 100}, Estimate: 2000, BestEffort: true, Image: image}
}

func (w *simCluster) countImage(image string) int {
	for _, b := range w.cell.hosts["host-0"].bestEffort {
		if b.image == image {
			return b.runs
		}
	}
	return 0
}

// Guards against a flood of best-effort tasks that each interfere little enough but
// together push a service over its target.
func TestFloodOfInterferingWorkStopsBelowTarget(t *testing.T) {
	w := colocationCluster(t)
	for range 20 {
		w.reportTail(-1400)
	}
	w.submit(urgentJob(bestEffortStep(8, "best-effort")))
	w.exchange()
	// Each raises the logarithm by 0.3: three fit between -1.4 and maxTail.
	if n := w.countImage("best-effort"); n != 3 {
		t.Errorf("%d interfering tasks run, want 3", n)
	}
	w.submit(urgentJob(bestEffortStep(3, "harmless")))
	for range 200 {
		r := w.hosts["host-0"].report(false)
		r.LoadChanges = map[string]int64{"harmless": 1000}
		r.TailChanges = []hvorder.TailChange{{Image: "sensitive"}, {Image: "tolerant"}}
		w.cell.Report(w.now, "host-0", r)
	}
	w.exchange()
	if n := w.countImage("harmless"); n != 3 {
		t.Errorf("%d harmless tasks run beside the service at its limit, want 3", n)
	}
}

// Guards against best-effort tasks that start at the lowest load of a service that was at
// its limit a moment ago, and against a peak that keeps them away for good.
func TestSwingOfServiceHoldsBackInterferingWork(t *testing.T) {
	w := colocationCluster(t)
	w.reportTail(-450)
	if n := w.cell.Colocation().Limited; n != 1 {
		t.Errorf("%d hosts are limited, want 1", n)
	}
	w.reportTail(-1400)
	w.submit(urgentJob(bestEffortStep(1, "best-effort")))
	w.exchange()
	if n := w.countImage("best-effort"); n != 0 {
		t.Fatal("an interfering task starts 0.5 s after a peak of the service")
	}
	for range 10 {
		w.reportTail(-1400)
	}
	w.exchange()
	if n := w.countImage("best-effort"); n != 1 {
		t.Error("the task does not start after 5 s of low load")
	}
}

// Guards against a new owner that fills a host before the nodes have reported the tails.
func TestNewOwnerAssumesTailsUntilReported(t *testing.T) {
	w := colocationCluster(t)
	w.advance(learnedStoreInterval)
	w.exchange()
	w.replaceOwner()
	w.attachAll()
	w.submit(urgentJob(bestEffortStep(8, "best-effort")))
	w.exchange()
	if n := w.countImage("best-effort"); n != 0 {
		t.Errorf("%d interfering tasks start with assumed tails, want none", n)
	}
}

// Guards against the loss of one zone taking most tasks of a service that could have run
// in both.
func TestServiceSurvivesLossOfZone(t *testing.T) {
	w := newSimCluster(t, 4)
	// Without regard to zones the larger hosts of one zone come first.
	w.hosts["host-1"].capacityCPU, w.hosts["host-3"].capacityCPU = 7000, 7000
	w.policy.Colocation = true
	w.cell.options.Policy = w.policy
	w.attachAll()
	s := hvjob.Step{Count: 4, Need: hvjob.Resources{CPU: 3000, Memory: 1}, LongRunning: true, Image: "service", LatencyTarget: 50, MaxPerHost: 1}
	w.submit(urgentJob(s))
	s.Count, s.Image = 2, "other"
	j := w.submit(urgentJob(s))
	w.exchange()
	zones := map[string]int{}
	for name, h := range w.cell.hosts {
		for _, r := range h.runs {
			if r.task.step.round.job.ID == j.ID {
				zones[zoneOf(name)]++
			}
		}
	}
	if zones["north"] != 1 || zones["south"] != 1 {
		t.Errorf("tasks by zone: %v, want one in each", zones)
	}
}
