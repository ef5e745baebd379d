package hvcell

import (
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// Guards against long-running tasks, and jobs that are submitted once, that wait behind the
// suspected rounds of a schedule: each round had a trial of its own, and there was one trial
// at a time.
func TestSuspectedRoundsLeaveOthersTheirTurn(t *testing.T) {
	w := newLabelledCluster(t, 4)
	w.hosts["host-3"].labels = []string{"other"}
	w.attach("host-3")
	watch, once := testStep(1, 100), testStep(1, 100)
	watch.LongRunning = true
	jobs := []hvjob.Job{overdueJob(w.now, 60), urgentJob(watch), urgentJob(once)}
	hosts := []*executor{w.hosts["host-3"], w.hosts["host-0"], w.hosts["host-0"]}
	for i, j := range jobs {
		for k := range j.Steps {
			j.Steps[k].RequiredLabel = hosts[i].labels[0]
		}
		jobs[i] = w.submit(j)
	}
	w.exchangeFor(200 * time.Millisecond)
	hosts[0].crash()
	hosts[1].crash()
	w.exchangeFor(time.Second)
	suspects := 0
	for _, j := range jobs {
		for _, r := range w.cell.jobs[j.ID].rounds {
			for _, record := range r.steps[0].crashRecords() {
				if record.Suspected {
					suspects++
				}
			}
		}
	}
	if suspects != 62 {
		t.Fatalf("%d tasks are suspected, want 62", suspects)
	}
	hosts[0].start()
	hosts[1].start()
	w.exchangeFor(maxIdle)
	running := map[string]int{}
	for _, e := range hosts[:2] {
		for task := range e.running {
			running[hvjob.JobOf(task)]++
		}
	}
	for i, want := range []int{60, 1, 1} {
		if got := running[jobs[i].ID]; got < want {
			t.Errorf("%d of %d tasks of job %d run after %v", got, want, i+1, maxIdle)
		}
	}
}
