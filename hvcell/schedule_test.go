package hvcell

import (
	"encoding/json"
	"maps"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// overdueJob returns a schedule of one round a second, all of them overdue.
func overdueJob(now time.Time, rounds int) hvjob.Job {
	second := testStep(1, 100)
	second.After = []int{0}
	j := urgentJob(testStep(1, 100), second)
	j.Repetitions, j.Interval, j.FirstDue = rounds, 1000, now.Add(-time.Duration(rounds)*time.Second).UnixMilli()
	return j
}

// Guards against progress that grows with the rounds of a schedule until the store refuses
// its record, against rounds that are lost or run twice, and against an owner that stops the
// runs of rounds that the one before had set up and not stored.
func TestOverdueScheduleRunsEachRoundOnce(t *testing.T) {
	const rounds, limit = 3000, 48 << 10
	w := newSimCluster(t, 4)
	for _, e := range w.hosts {
		// All rounds that are set up run at once.
		e.capacityCPU = 80_000
	}
	w.attachAll()
	j := w.submit(overdueJob(w.now, rounds))
	for i := 0; w.stored[j.ID].State != hvjob.Complete; i++ {
		if i > 2000 {
			t.Fatalf("schedule is not complete: %d of %d rounds are", w.stored[j.ID].CompletedRounds.Count(), rounds)
		}
		w.exchange()
		w.finishAll(hv.EndDone)
		w.advance(100 * time.Millisecond)
		b, err := json.Marshal(w.stored[j.ID])
		if err != nil || len(b) > limit {
			t.Fatalf("progress takes %d bytes, want at most %d; %v", len(b), limit, err)
		}
		if i%3 != 2 {
			continue
		}
		// The ends are processed and the next rounds start, but nothing of it is stored.
		for name, e := range w.hosts {
			e.applyGrant(w.cell.Report(w.now, name, e.report(false)))
		}
		w.cell.Tick(w.now)
		w.cell.Plan(w.now)
		for name := range w.hosts {
			w.deliver(name)
		}
		// On one host the runs end before the next owner knows of them.
		w.hosts["host-0"].endAll(hv.EndDone)
		w.authority = 0
		w.replaceOwner()
		running := map[string]int{}
		for _, e := range w.hosts {
			maps.Copy(running, e.running)
		}
		w.attachAll()
		w.exchange()
		for _, e := range w.hosts {
			maps.DeleteFunc(running, func(task string, run int) bool { return e.running[task] == run })
		}
		if len(running) > 0 {
			t.Fatalf("%d runs were stopped by the new owner", len(running))
		}
	}
	if n := len(w.ended); n != 2*rounds {
		t.Errorf("%d tasks were done, want %d", n, 2*rounds)
	}
}

// Guards against a schedule whose rounds are late for good once it has fallen behind: those
// that become due wait until all overdue ones are complete.
func TestScheduleBehindServesPresentRounds(t *testing.T) {
	const overdue, present = 3000, 20
	w := newSimCluster(t, 1)
	w.hosts["host-0"].capacityCPU = 800
	w.attachAll()
	j := overdueJob(w.now, overdue)
	j.Repetitions += present
	for i := range j.Steps {
		j.Steps[i].Estimate = 300
	}
	j = w.submit(j)
	for end := w.now.Add((present + 2) * time.Second); w.now.Before(end); w.advance(100 * time.Millisecond) {
		w.exchange()
		w.finishAll(hv.EndDone)
	}
	w.exchange()
	done := 0
	for n := overdue; n < overdue+present; n++ {
		if w.stored[j.ID].CompletedRounds.Has(n) {
			done++
		}
	}
	if done != present {
		t.Errorf("%d of %d rounds are complete 2 s after the last was due", done, present)
	}
	if n := w.stored[j.ID].CompletedRounds.Count(); n < 2*overdue/8 {
		t.Errorf("%d rounds are complete, so the overdue ones wait for the present ones", n)
	}
}

// Guards against rounds that an earlier owner had set up and that are never set up again,
// because they are neither present nor the next of the overdue ones.
func TestStoredRoundsAreSetUpAgain(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	j := overdueJob(w.now, 2000)
	j.Repetitions, j.Interval, j.FirstDue = 1_000_000, 1, w.now.Add(-10*time.Second).UnixMilli()
	for i := range j.Steps {
		j.Steps[i].Estimate = 300
	}
	j = w.submit(j)
	w.exchange()
	w.finishAll(hv.EndDone)
	w.exchange()
	stored := w.stored[j.ID].Rounds
	if len(stored) < 500 {
		t.Fatalf("%d rounds are set up, want hundreds", len(stored))
	}
	w.authority = 0
	w.hosts["host-0"].crash()
	w.advance(20 * time.Second)
	w.replaceOwner()
	w.hosts["host-0"].start()
	w.attachAll()
	for n := range stored {
		if w.cell.jobs[j.ID].rounds[n] == nil {
			t.Fatalf("round %d of %d stored ones is not set up", n, len(stored))
		}
	}
}

// Guards against the progress of a task that fails or loses its host without end, which grew
// with each run.
func TestProgressOfEndlessFailuresIsBounded(t *testing.T) {
	r := hvjob.CrashRecord{}
	p := stepProgress{}
	for run := range 10_000 {
		r = r.WithRun(run, run%2 == 0)
		p.fail(0, run, 0)
	}
	p.Crashes = map[int]hvjob.CrashRecord{0: r}
	b, err := json.Marshal(p)
	if err != nil || len(b) > 1000 {
		t.Errorf("progress of one task takes %d bytes; %v", len(b), err)
	}
	if !r.Has(9999) || !r.Has(9998) || !r.IsLast(9999) {
		t.Error("the last runs are not in the record")
	}
}
