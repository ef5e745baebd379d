package hvcell

import (
	"maps"
	"slices"
	"time"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// maxMissing is how long a long-running task may stay without a run once all faults have
// ended. One that has none after 7 s without faults counts as lost.
const maxMissing = 7 * time.Second

// maxMissingAfterLoss replaces maxMissing if a host is lost for good, perhaps with the owner:
// a new owner first waits until all leases of the one before have expired.
const maxMissingAfterLoss = previousAuthority + leaseOverhang + 500*time.Millisecond + maxMissing

// recoverAll ends all faults and checks that every job ends.
func (m *faultMachine) recoverAll(t *rapid.T) {
	m.delayed, m.earlier = nil, nil
	limit := m.loseForGood(t)
	m.evacuate()
	m.setCapacity(8000)
	for _, e := range m.hosts {
		if !e.alive {
			e.start()
		}
	}
	// Nodes that are attached stay so: the lists of a new attachment would hide a run that
	// the owner counts by mistake.
	for name := range m.hosts {
		if h := m.cell.hosts[name]; h == nil || !h.connected {
			m.attach(name)
		}
	}
	missing := m.watches()
	for i := range 60 {
		m.exchange()
		m.removeRunning(missing)
		m.finishJobs()
		m.exchange()
		m.removeRunning(missing)
		if time.Duration(i)*time.Second == limit && len(missing) > 0 {
			t.Fatalf("long-running tasks %v have no run for %v after all faults have ended", slices.Sorted(maps.Keys(missing)), limit)
		}
		m.advance(time.Second)
	}
	m.cancelWatches()
	m.exchange()
	m.exchange()
	for _, j := range m.jobs {
		if !m.cancelled[j.ID] && !m.stored[j.ID].State.Final() {
			t.Fatalf("job %s is %q after all faults have ended", j.ID, m.stored[j.ID].State)
		}
	}
	if m.runs() > 0 {
		t.Fatalf("%d runs remain after every job has ended", m.runs())
	}
	for _, j := range m.jobs {
		if m.stored[j.ID].State == hvjob.Complete && m.cancelled[j.ID] {
			continue
		}
		if m.cell.jobs[j.ID] != nil {
			t.Fatalf("job %s is kept after its end", j.ID)
		}
	}
}

// loseForGood may let a host be gone for good, and the owner too. It returns how long a
// long-running task may stay without a run.
func (m *faultMachine) loseForGood(t *rapid.T) time.Duration {
	if len(m.hosts) == 1 || !rapid.Bool().Draw(t, "lose a host") {
		return maxMissing
	}
	e := m.host(t)
	e.crash()
	m.cell.NodeDetached(m.now, e.name)
	if rapid.Bool().Draw(t, "lose the owner") {
		m.replaceOwner()
		m.earlier = nil
	}
	delete(m.hosts, e.name)
	return maxMissingAfterLoss
}

// watches returns the long-running tasks that must run. Of those of a step with a limit for
// each host, only as many as there are hosts can.
func (m *faultMachine) watches() map[string]bool {
	out := map[string]bool{}
	for _, j := range m.jobs {
		if s := j.Steps[0]; s.LongRunning && !m.cancelled[j.ID] && !m.stored[j.ID].State.Final() && (s.MaxPerHost == 0 || s.Count <= s.MaxPerHost*len(m.hosts)) {
			for k := range s.Count {
				out[hvjob.Task{Job: j.ID, Index: k}.String()] = true
			}
		}
	}
	return out
}

// finishJobs completes all runs but those of long-running tasks.
func (m *faultMachine) finishJobs() {
	for _, e := range m.hosts {
		for task, run := range e.running {
			if !m.isLongRunning(task) {
				e.end(task, run, hv.EndDone)
			}
		}
	}
}

// removeRunning removes the tasks that run.
func (m *faultMachine) removeRunning(tasks map[string]bool) {
	for _, e := range m.hosts {
		for task := range e.running {
			delete(tasks, task)
		}
	}
}

func (m *faultMachine) cancelWatches() {
	for _, j := range m.jobs {
		if j.Steps[0].LongRunning {
			m.cancel(j.ID)
		}
	}
}
