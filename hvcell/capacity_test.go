package hvcell

import (
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// capacityMachine applies random events to a cluster of executors that start whatever
// they are told to, and whose capacity shrinks and grows.
type capacityMachine struct {
	*simCluster
	// stopping holds the runs whose stop takes some time, by host. They still hold
	// their resources.
	stopping map[string]map[string]int
}

// stepOf returns the step of a task.
func (m *capacityMachine) stepOf(task string) hvjob.Step {
	id, err := hvjob.ParseTask(task)
	if err != nil {
		m.t.Fatal(err)
	}
	for _, j := range m.jobs {
		if j.ID == id.Job {
			return j.Steps[id.Step]
		}
	}
	m.t.Fatalf("task %s has no job", task)
	return hvjob.Step{}
}

// used returns the processors of all that runs on a host or is being stopped there.
func (m *capacityMachine) used(e *executor) int64 {
	sum := int64(0)
	for task := range e.running {
		sum += m.stepOf(task).Allocation().CPU
	}
	return sum
}

// deliverChecked carries out the orders for a host and fails the test if a start exceeds
// its capacity. Runs that the orders stop remain until they are ended.
func (m *capacityMachine) deliverChecked(name string) {
	o, ok := m.cell.Orders(name)
	if !ok {
		return
	}
	e := m.hosts[name]
	for _, s := range o.Stops {
		if e.running[s.Task] == s.Run {
			m.stopping[name][s.Task] = s.Run
		} else {
			e.blockedRuns[s.Task] = max(e.blockedRuns[s.Task], s.Run)
			r := e.report(false)
			r.Stopped = append(r.Stopped, s)
			e.applyGrant(m.cell.Report(m.now, name, r))
		}
	}
	o.Stops = nil
	before := len(e.running)
	e.applyOrders(o)
	if used := m.used(e); len(e.running) > before && used > e.capacityCPU {
		m.t.Fatalf("host %s has capacity %d and runs %d after a start", name, e.capacityCPU, used)
	}
}

// endStopped ends the runs on a host whose stop was ordered.
func (m *capacityMachine) endStopped(e *executor) {
	for task, run := range m.stopping[e.name] {
		e.end(task, run, hv.EndStopped)
	}
	m.stopping[e.name] = map[string]int{}
}

func (m *capacityMachine) exchange() {
	for _, name := range slices.Sorted(maps.Keys(m.hosts)) {
		if h := m.cell.hosts[name]; h != nil && h.connected {
			m.hosts[name].applyGrant(m.cell.Report(m.now, name, m.hosts[name].report(false)))
		}
	}
	m.store()
	m.cell.Tick(m.now)
	m.cell.Plan(m.now)
	for _, name := range slices.Sorted(maps.Keys(m.hosts)) {
		m.deliverChecked(name)
	}
}

// Guards against starts beyond the capacity of hosts that do not check it themselves:
// while the capacity shrinks, while runs are being stopped, and under a new owner that
// has to learn of both.
func TestCapacityIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &capacityMachine{simCluster: newSimCluster(rt, rapid.IntRange(1, 3).Draw(rt, "hosts")), stopping: map[string]map[string]int{}}
		for name := range m.hosts {
			m.stopping[name] = map[string]int{}
		}
		m.noCapacityChecks = true
		m.policy.Backfill = rapid.Bool().Draw(rt, "backfill")
		m.authority = 0
		m.replaceOwner()
		m.attachAll()
		host := func(t *rapid.T) *executor {
			return m.hosts[rapid.SampledFrom(slices.Sorted(maps.Keys(m.hosts))).Draw(t, "host")]
		}
		rt.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				step := testStep(rapid.IntRange(1, 4).Draw(t, "tasks"), int64(rapid.IntRange(500, 4000).Draw(t, "cpu")))
				step.LongRunning = rapid.Bool().Draw(t, "lasting")
				m.submit(urgentJob(step))
			},
			"cancel": func(t *rapid.T) {
				if len(m.jobs) == 0 {
					t.Skip("no jobs")
				}
				m.cancel(rapid.SampledFrom(m.jobs).Draw(t, "job").ID)
			},
			"resize": func(t *rapid.T) {
				host(t).capacityCPU = int64(rapid.IntRange(0, 16).Draw(t, "cpu")) * 500
			},
			"stop":     func(t *rapid.T) { m.endStopped(host(t)) },
			"exchange": func(*rapid.T) { m.exchange() },
			"end": func(t *rapid.T) {
				e := host(t)
				if len(e.running) == 0 {
					t.Skip("nothing runs there")
				}
				task := rapid.SampledFrom(slices.Sorted(maps.Keys(e.running))).Draw(t, "task")
				reason := hv.EndDone
				if m.stepOf(task).LongRunning {
					reason = hv.EndFailed
				}
				e.end(task, e.running[task], reason)
			},
			"owner": func(*rapid.T) {
				m.replaceOwner()
				m.attachAll()
			},
			"time": func(t *rapid.T) {
				m.advance(time.Duration(rapid.IntRange(50, 2000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}
