package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// replaceOldest ends that many of the runs of one-core jobs that are the oldest and submits
// as many new jobs.
func (w *simCluster) replaceOldest(jobs []hvjob.Job, n int) []hvjob.Job {
	for _, j := range jobs[:n] {
		task := hvjob.Task{Job: j.ID}.String()
		for _, e := range w.hosts {
			if run, ok := e.running[task]; ok {
				e.end(task, run, hv.EndDone)
			}
		}
	}
	jobs = jobs[n:]
	for range n {
		jobs = append(jobs, w.submit(urgentJob(testStep(1, 1000))))
	}
	return jobs
}

// Guards against a large urgent task that waits while small ones, spread over all hosts,
// leave a gap on each that it does not fit in: it waited until the load fell.
func TestLargeUrgentTaskStartsAmongSpreadSmallOnes(t *testing.T) {
	w := newSimCluster(t, 4)
	w.attachAll()
	var small []hvjob.Job
	for range 24 {
		small = append(small, w.submit(urgentJob(testStep(1, 1000))))
	}
	w.exchange()
	large := w.submit(urgentJob(testStep(1, 4000)))
	waited := 0
	for ; w.runsOf(large.ID) == 0 && waited < 50; waited++ {
		w.advance(100 * time.Millisecond)
		small = w.replaceOldest(small, 3)
		w.exchange()
	}
	t.Logf("the large task waited for %d of 50 intervals", waited)
	if waited > 20 {
		t.Error("the large task does not start while 8 of 32 cores are free")
	}
}

// Guards against urgent tasks that take processors from best-effort work on full hosts while
// other hosts have room.
func TestUrgentTasksAreNotPackedWhileThereIsRoom(t *testing.T) {
	w := newSimCluster(t, 4)
	w.attachAll()
	w.submit(urgentJob(testStep(12, 1000)))
	w.exchange()
	for name, e := range w.hosts {
		if len(e.running) != 3 {
			t.Errorf("%d of 12 tasks run on %s, want 3", len(e.running), name)
		}
	}
}
