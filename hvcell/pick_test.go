package hvcell

import (
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

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

// Guards against a log that does not tell why a task finds no room: processors and memory
// run out for different reasons.
func TestCapacityObstacleNamesWhatIsMissing(t *testing.T) {
	w := newRunningCluster(t, 1, testStep(4, 1000))
	h := w.cell.hosts["host-0"]
	h.reserved.CPU = 2000
	for want, need := range map[string]hvjob.Resources{
		"":       {CPU: 2000, Memory: 1},
		"kept":   {CPU: 3000, Memory: 1},
		"cpu":    {CPU: 5000, Memory: 1},
		"memory": {CPU: 1000, Memory: 1 << 20},
		"gpu":    {CPU: 1000, Memory: 1, GPU: 1},
	} {
		s := &step{spec: &hvjob.Step{Need: need}}
		if got := s.capacityObstacle(h); got != want {
			t.Errorf("%+v is ruled out by %q, want %q", need, got, want)
		}
	}
}
