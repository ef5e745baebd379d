package hvcell

import (
	"maps"
	"slices"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// maxIdle is how long a task may wait on an idle host that may run it.
const maxIdle = 3 * time.Second

// only is the label of host-0.
const only = "only"

// newLabelledCluster returns a cluster with a host that the others cannot replace.
func newLabelledCluster(t *testing.T, hosts int) *simCluster {
	w := newSimCluster(t, hosts)
	w.hosts["host-0"].labels = []string{only}
	w.attachAll()
	return w
}

// exchangeFor lets the cluster go on for a time.
func (w *simCluster) exchangeFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.advance(100 * time.Millisecond) {
		w.exchange()
	}
	w.exchange()
}

// Guards against a gang that never starts again after a run of it failed, or a start was
// refused, on the only host that may run it: it waited for others that may not.
func TestGangStartsAgainOnItsOnlyHost(t *testing.T) {
	gang := testStep(2, 500)
	gang.Gang = true
	for name, change := range map[string]func(s *hvjob.Step){
		"label":           func(s *hvjob.Step) { s.RequiredLabel = only },
		"size":            func(s *hvjob.Step) { s.Need.CPU = 7000 },
		"tightly coupled": func(s *hvjob.Step) { s.RequiredLabel, s.TightlyCoupled = only, true },
		"best effort":     func(s *hvjob.Step) { s.RequiredLabel, s.BestEffort = only, true },
	} {
		for _, refused := range []bool{false, true} {
			w := newSimCluster(t, 4)
			for host, e := range w.hosts {
				e.capacityCPU = 4000
				if host == "host-0" {
					e.labels, e.capacityCPU = []string{only}, 16_000
				}
			}
			w.attachAll()
			s := gang
			change(&s)
			w.submit(urgentJob(s))
			if refused {
				w.cell.Plan(w.now)
				if n := w.refuseStarts("host-0", hv.Unavailable); n != 2 {
					t.Fatalf("%s: %d starts are refused, want 2", name, n)
				}
			} else {
				w.exchange()
				e := w.hosts["host-0"]
				failed := slices.Sorted(maps.Keys(e.running))[0]
				e.end(failed, e.running[failed], hv.EndFailed)
				w.finishAll(hv.EndGangBroken)
			}
			w.exchangeFor(maxIdle)
			if w.runs() != 2 {
				t.Errorf("%s, refused %v: %d members run %v later, want 2", name, refused, w.runs(), maxIdle)
			}
		}
	}
}

// quarantine makes tasks of other jobs fail on a host until it is in quarantine, while they
// succeed on the others. The runs of one job go on.
func (w *simCluster) quarantine(t *testing.T, host, job string) {
	t.Helper()
	for range 20 {
		w.submit(urgentJob(testStep(4*len(w.hosts), 500)))
		w.exchange()
		for name, e := range w.hosts {
			reason := hv.EndDone
			if name == host {
				reason = hv.EndFailed
			}
			w.endOthers(e, job, reason)
		}
		w.exchange()
		for _, e := range w.hosts {
			w.endOthers(e, job, hv.EndDone)
		}
		w.advance(100 * time.Millisecond)
		w.exchange()
		if !w.cell.options.Health.Usable(w.now, host) {
			return
		}
	}
	t.Fatalf("%s is not in quarantine", host)
}

// endOthers ends the runs on a host that are not of a job.
func (w *simCluster) endOthers(e *executor, job string, reason hv.EndReason) {
	for task, run := range e.running {
		if hvjob.JobOf(task) != job {
			e.end(task, run, reason)
		}
	}
}

// Guards against tasks that wait for a minute because the only host that may run them is in
// quarantine: suspected ones for good, gangs, and all but one task of a step.
func TestTasksStartOnTheirOnlyHostInQuarantine(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(s *hvjob.Step)
		crashes bool
	}{
		"ordinary":                {func(*hvjob.Step) {}, false},
		"gang":                    {func(s *hvjob.Step) { s.Gang = true }, false},
		"best effort":             {func(s *hvjob.Step) { s.BestEffort = true }, false},
		"long-running":            {func(s *hvjob.Step) { s.LongRunning = true }, false},
		"suspected":               {func(*hvjob.Step) {}, true},
		"suspected, long-running": {func(s *hvjob.Step) { s.LongRunning = true }, true},
		"suspected, best effort":  {func(s *hvjob.Step) { s.BestEffort = true }, true},
		"suspected gang":          {func(s *hvjob.Step) { s.Gang = true }, true},
	} {
		for _, policy := range []Policy{{}, {Backfill: true}, {Sharing: true, Colocation: true}} {
			w := newSimCluster(t, 12)
			w.hosts["host-0"].labels = []string{only}
			w.policy, w.authority = policy, 0
			w.replaceOwner()
			w.attachAll()
			s := testStep(3, 500)
			s.RequiredLabel = only
			c.change(&s)
			j := urgentJob(s)
			e := w.hosts["host-0"]
			if c.crashes {
				j = w.submit(j)
				w.exchange()
			}
			w.quarantine(t, e.name, j.ID)
			if c.crashes {
				// Only the tasks of the job are there, so they are suspected.
				if len(e.running) != s.Count {
					t.Fatalf("%s: %d runs before the crash, want %d", name, len(e.running), s.Count)
				}
				e.crash()
				w.exchangeFor(time.Second)
				e.start()
			} else {
				j = w.submit(j)
			}
			w.exchangeFor(maxIdle)
			if len(e.running) != s.Count {
				t.Errorf("%s, %+v: %d of %d tasks run after %v", name, policy, len(e.running), s.Count, maxIdle)
			}
		}
	}
}

// Guards against tasks that run one after the other because each has failed once on the only
// host that may run them.
func TestTasksShareTheirOnlyHostAfterFailures(t *testing.T) {
	w := newLabelledCluster(t, 4)
	s := testStep(8, 500)
	s.RequiredLabel = only
	w.submit(urgentJob(s))
	w.exchange()
	w.finishAll(hv.EndFailed)
	w.exchangeFor(maxIdle)
	if w.runs() != 8 {
		t.Errorf("%d of 8 tasks run %v after they failed", w.runs(), maxIdle)
	}
}
