package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Guards against expected run times of a fraction of the true ones, with which good runs are
// abandoned as stragglers: a run that resumes from a saved state does a part of its task.
func TestRunTimesOfResumedRunsDoNotCount(t *testing.T) {
	step := testStep(4, 1000)
	step.Estimate, step.Checkpoint = 4000, true
	w := newRunningCluster(t, 2, step)
	w.savedStates = true
	w.advance(2 * time.Second)
	w.exchange()
	w.finishAll(hv.EndStopped)
	w.exchange()
	w.advance(200 * time.Millisecond)
	w.expectUnlearned(4)
}

// Guards against the same after a change of the owner: the new one learns of the runs long
// after they began.
func TestRunTimesOfAdoptedRunsDoNotCount(t *testing.T) {
	step := testStep(4, 1000)
	step.Estimate = 4000
	w := newRunningCluster(t, 2, step)
	w.advance(2 * time.Second)
	w.replaceOwner()
	w.attachAll()
	w.advance(200 * time.Millisecond)
	w.expectUnlearned(4)
}

// expectUnlearned ends all runs as done, that many, and fails the test if the owner learns
// their run times.
func (w *simCluster) expectUnlearned(tasks int) {
	if n := w.runs(); n != tasks {
		w.t.Fatalf("%d tasks run, want %d", n, tasks)
	}
	w.finishAll(hv.EndDone)
	w.exchange()
	if n := w.cell.Counts().Done; n != int64(tasks) {
		w.t.Fatalf("%d tasks are done, want %d", n, tasks)
	}
	if s := w.cell.estimate.queues["urgent"]; s != nil {
		w.t.Fatalf("run times that were learned: %+v, want none", *s)
	}
}
