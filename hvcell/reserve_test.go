package hvcell

import (
	"fmt"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// newBusyCluster returns a cluster whose hosts run one-core tasks on all eight cores
// while many more of them wait.
func newBusyCluster(t *testing.T, hosts int) *simCluster {
	t.Helper()
	w := newSimCluster(t, hosts)
	w.attachAll()
	w.submit(urgentJob(testStep(200, 1000)))
	w.exchange()
	if n := w.runs(); n != 8*hosts {
		t.Fatalf("%d runs, want %d", n, 8*hosts)
	}
	return w
}

// finishOne completes one short run on each host.
func (w *simCluster) finishOne() {
	for _, e := range w.hosts {
		for task, run := range e.running {
			if id, err := hvjob.ParseTask(task); err == nil && id.Job == "0000000000000001" {
				e.end(task, run, hv.EndDone)
				break
			}
		}
	}
}

func longRunningStep(count int) hvjob.Step {
	s := testStep(count, 6000)
	s.LongRunning, s.Estimate = true, 0
	return s
}

// runsOf returns the number of runs of a job.
func (w *simCluster) runsOf(id string) (n int) {
	for _, e := range w.hosts {
		for task := range e.running {
			if got, err := hvjob.ParseTask(task); err == nil && got.Job == id {
				n++
			}
		}
	}
	return n
}

// Guards against a watcher that never starts because it needs several cores while
// each core that becomes free goes to a short task.
func TestLongRunningTaskGetsCapacityAmongShortTasks(t *testing.T) {
	w := newBusyCluster(t, 3)
	watch := w.submit(urgentJob(longRunningStep(2)))
	for range 8 {
		w.advance(200 * time.Millisecond)
		w.finishOne()
		w.exchange()
	}
	if n := w.runsOf(watch.ID); n != 2 {
		t.Fatalf("%d of 2 long-running tasks run after 6 cores of each host became free", n)
	}
	if n := w.runs(); n < 2+8+2*2 {
		t.Errorf("%d runs: capacity that is not reserved stays unused", n)
	}
}

// Guards against capacity that is reserved for a task that fits on no host even when
// it is empty.
func TestNoCapacityIsReservedWhereTheTaskCannotFit(t *testing.T) {
	w := newBusyCluster(t, 2)
	large := longRunningStep(1)
	large.Need.CPU = 9000
	w.submit(urgentJob(large))
	for range 4 {
		w.advance(200 * time.Millisecond)
		w.finishOne()
		w.exchange()
	}
	if n := w.runs(); n != 16 {
		t.Fatalf("%d runs, want 16: capacity is reserved for a task that fits on no host", n)
	}
}

// Guards against a watcher that does not run because the only host with capacity is in
// quarantine: a quarantine outlasts its cause by up to a minute.
func TestLongRunningTaskRunsOnHostInQuarantine(t *testing.T) {
	w := newSimCluster(t, 4)
	w.attachAll()
	// The order is fixed, as a task that fails on the first host that is recorded
	// counts as faulty itself.
	for i := range 6 {
		for _, name := range []string{"host-0", "host-1", "host-3", "host-2"} {
			w.cell.options.Health.Record(w.now, name, "r1-1", fmt.Sprint(name, i), name != "host-2")
		}
	}
	if w.cell.options.Health.Usable(w.now, "host-2") {
		t.Fatal("the host is not in quarantine")
	}
	watch := w.submit(urgentJob(longRunningStep(4)))
	w.exchange()
	if n := w.runsOf(watch.ID); n != 4 {
		t.Fatalf("%d of 4 long-running tasks run", n)
	}
	if len(w.hosts["host-2"].running) != 1 {
		t.Error("the host in quarantine runs nothing")
	}
}
