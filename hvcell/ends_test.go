package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against a failed run that is counted twice because the previous owner, which
// stored its end, did not acknowledge it, and against retries beyond the attempts.
func TestAttemptsAreCountedOnce(t *testing.T) {
	w := newSimCluster(t, 3)
	w.attachAll()
	j := w.submit(urgentJob(testStep(1, 1000)))
	for i := 1; i <= 3; i++ {
		w.exchange()
		if w.runs() != 1 {
			t.Fatalf("attempt %d did not start", i)
		}
		w.finishAll(hv.EndFailed)
		if i == 1 {
			// The end is stored, but its acknowledgement is lost with the owner.
			for name, e := range w.hosts {
				w.cell.Report(w.now, name, e.report(false))
			}
			w.store()
			w.replaceOwner()
			w.attachAll()
		}
	}
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Failed {
		t.Fatalf("state after 3 failed runs is %q", s)
	}
}

// Guards against a panic when a host lists the saved state of a run that has not stopped
// yet although its job has failed.
func TestSavedStateOfFailedJob(t *testing.T) {
	w := newSimCluster(t, 1)
	w.savedStates = true
	w.attachAll()
	s := testStep(2, 1000)
	s.Checkpoint = true
	j := w.submit(urgentJob(s))
	e := w.hosts["host-0"]
	doomed := hvjob.Task{Job: j.ID}.String()
	for range 3 {
		w.exchange()
		e.end(doomed, e.running[doomed], hv.EndFailed)
	}
	w.cell.Report(w.now, e.name, e.report(false))
	w.advance(time.Second)
	w.cell.Report(w.now, e.name, e.report(false))
	w.exchange()
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Failed || w.runs() != 0 {
		t.Fatalf("state %q with %d runs", s, w.runs())
	}
}

// Guards against a start beyond the attempts of a queue by an owner that has not read
// the catalog yet, or whose catalog no longer has the queue.
func TestAttemptLimitAppliesWithoutCatalog(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	j := w.submit(urgentJob(testStep(1, 1000)))
	for range 2 {
		w.exchange()
		w.finishAll(hv.EndFailed)
	}
	w.exchange()
	w.noCatalog = true
	w.replaceOwner()
	w.finishAll(hv.EndFailed)
	w.attachAll()
	w.exchange()
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Failed || w.runs() != 0 {
		t.Fatalf("state %q with %d runs after 3 failed runs", s, w.runs())
	}
}

// Guards against a task that runs again because its executor ended right after it was
// done: the end comes with the report that the executor has gone.
func TestEndBeforeExecutorIsGoneCounts(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	j := w.submit(urgentJob(testStep(1, 1000)))
	w.exchange()
	for name, e := range w.hosts {
		for task, run := range e.running {
			e.alive, e.running = false, map[string]int{}
			r := e.report(false)
			r.LastEnds = []hv.RunEnd{{Number: 1, Task: task, Run: run, Reason: hv.EndDone}}
			for range 2 {
				w.cell.Report(w.now, name, r)
			}
		}
	}
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Complete || w.runs() != 0 {
		t.Fatalf("state is %q with %d runs, want the job complete", s, w.runs())
	}
}

// Guards against ends of an executor that has ended and that count as acknowledged before
// their effect is stored: the node forgets them, and the next owner runs their tasks again.
func TestLastEndsAreAcknowledgedOnceStored(t *testing.T) {
	w := newRunningCluster(t, 1, testStep(1, 1000))
	e := w.hosts["host-0"]
	r := hvorder.Report{ExecutorGone: true, LastEndNumber: 1}
	for task, run := range e.running {
		r.LastEnds = []hv.RunEnd{{Number: 7, Task: task, Run: run, Reason: hv.EndDone}}
	}
	if g := w.cell.Report(w.now, e.name, r); g.AckedLastEnd != 0 {
		t.Fatalf("end %d is acknowledged before it is stored", g.AckedLastEnd)
	}
	b, _ := w.cell.Batch(w.now)
	w.cell.MarkStored(b)
	if g := w.cell.Report(w.now, e.name, hvorder.Report{ExecutorGone: true}); g.AckedLastEnd != 1 {
		t.Fatalf("acknowledged up to %d after the store, want 1", g.AckedLastEnd)
	}
	b, _ = w.cell.Batch(w.now)
	w.attach(e.name)
	w.cell.MarkStored(b)
	if g := w.cell.Report(w.now, e.name, hvorder.Report{ExecutorGone: true}); g.AckedLastEnd != 0 {
		t.Fatalf("end %d of another connection is acknowledged", g.AckedLastEnd)
	}
}
