package hvshard

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// TestMain limits the property tests and fixes their seed, so that every run
// gives the same result. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "50", "rapid.seed": "1", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func (s *sim) submit(t hv.Task) string {
	s.nextID++
	t.ID, t.Program = fmt.Sprintf("task%d", s.nextID), "program"
	if t.Kind == "" {
		t.Kind = hv.Job
	}
	if t.Kind == hv.Job {
		t.Deadline = s.now.Add(time.Hour)
	}
	s.tasks[t.ID] = &taskHistory{task: t, running: map[hv.Attempt]string{}}
	s.addOp(shardOf(t.ID), hvtask.Submit(t), func() { s.tasks[t.ID].accepted = true })
	return t.ID
}

func (s *sim) cancel(id string) { s.addOp(shardOf(id), hvtask.Cancel(id), func() {}) }

// addOp submits an operation to the first gate that accepts it.
func (s *sim) addOp(shard int, op hvtask.Op, done func()) {
	for _, g := range s.gates {
		if g.dead || g.paused.After(s.now) {
			continue
		}
		if ticket, err := g.owners[shard].Add(op); err == nil {
			s.awaitTicket(ticket, done)
			return
		}
	}
}

func (s *sim) awaitTicket(t *Ticket, done func()) {
	select {
	case err := <-t.Done():
		if err == nil {
			done()
		}
	default:
		s.schedule(200*time.Millisecond, func() { s.awaitTicket(t, done) })
	}
}

// owner returns the gate that considers itself the owner of a shard; if there
// are several, the one with the highest epoch.
func (s *sim) owner(shard int) *simGate {
	var owner *simGate
	best := int64(0)
	for _, g := range s.gates {
		if epoch, ok := g.owners[shard].Owns(); ok && epoch > best && !g.dead {
			owner, best = g, epoch
		}
	}
	return owner
}

// endFaults ends all faults, cancels the watchers and runs the simulation until
// all tasks have ended, but for at most 120 steps of 10 s.
func (s *sim) endFaults() {
	s.faults = false
	clear(s.linkCut)
	clear(s.logCut)
	for _, g := range s.gates {
		g.paused = time.Time{}
	}
	for _, h := range s.hosts {
		h.paused, h.downUntil = time.Time{}, time.Time{}
	}
	// A submission can still be in transit for some time, and a cancellation
	// only affects tasks that are in the log.
	for range 2 {
		s.advance(30 * time.Second)
		for i := 1; i <= s.nextID; i++ {
			if id := fmt.Sprintf("task%d", i); s.tasks[id].task.Kind == hv.Watcher {
				s.cancel(id)
			}
		}
	}
	// The quota allows only a few tasks of a team to run at a time.
	for range 120 {
		s.advance(10 * time.Second)
		if s.allEnded() {
			return
		}
	}
}

// allEnded reports whether all tasks known to any gate have ended.
func (s *sim) allEnded() bool {
	for _, g := range s.gates {
		for _, state := range g.states {
			for _, e := range state.List("", 1000) {
				if !e.State.Terminal() || e.Placement != nil {
					return false
				}
			}
		}
	}
	return true
}

// checkEnd verifies the final state: every accepted task is terminal at every
// gate, no task is still running, and each recorded eviction was resumed once.
func (s *sim) checkEnd() {
	for i := 1; i <= s.nextID; i++ {
		id := fmt.Sprintf("task%d", i)
		h := s.tasks[id]
		for _, g := range s.gates {
			e, ok := g.states[shardOf(id)].Lookup(id)
			switch {
			case !ok && h.accepted:
				s.t.Fatalf("invariant 10: %s was accepted but %s does not know it", id, g.name)
			case !ok:
			case !e.State.Terminal() || e.Placement != nil:
				s.t.Fatalf("invariant 10: %s has not ended at %s: %s", id, g.name, e.Explain())
			case e.State == hvtask.Done && (e.Evictions != e.Resumes || e.Evictions > h.evictionCount || e.Evictions < h.loggedCheckpoints):
				s.t.Fatalf("invariant 3: %s had %d evictions, %d with a checkpoint in the log, %d counted, %d resumed", id, h.evictionCount, h.loggedCheckpoints, e.Evictions, e.Resumes)
			}
		}
		if len(h.running) > 0 {
			s.t.Fatalf("%s still runs: %v", id, h.running)
		}
	}
}

// TestFaults guards against a second run of a task, a lost or repeated
// resumption and a task that never ends, under random faults of gates, hosts,
// links and the log.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t, rapid.Uint64().Draw(t, "seed"), 3, 4)
		s.advance(5 * time.Second)
		s.faults = true
		period := func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(500, 25000).Draw(t, "ms")) * time.Millisecond
		}
		gate := func(t *rapid.T) *simGate { return s.gates[rapid.IntRange(0, 2).Draw(t, "gate")] }
		host := func(t *rapid.T) *simHost { return s.hosts[rapid.IntRange(0, 3).Draw(t, "host")] }
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { s.t = t },
			"submit": func(t *rapid.T) {
				for range rapid.IntRange(1, 4).Draw(t, "count") {
					s.submit(hv.Task{Once: s.rng.IntN(3) == 0, Urgent: s.rng.IntN(3) == 0})
				}
			},
			"submitMore": func(t *rapid.T) {
				for range rapid.IntRange(1, 8).Draw(t, "count") {
					s.submit(hv.Task{Once: s.rng.IntN(3) == 0, Team: "team", Need: hv.Resources{Processors: int64(200 + s.rng.IntN(1000))}})
				}
			},
			"watch":  func(*rapid.T) { s.submit(hv.Task{Kind: hv.Watcher}) },
			"cancel": func(*rapid.T) { s.cancel(fmt.Sprintf("task%d", 1+s.rng.IntN(s.nextID+8))) },
			"evict": func(t *rapid.T) {
				for _, a := range host(t).attempts() {
					for _, g := range s.gates {
						// Gates that do not own the shard return an error.
						_ = g.owners[shardOf(a.Task)].Evict(a.Task, "injected")
					}
				}
			},
			"wait":     func(t *rapid.T) { s.advance(period(t)) },
			"waitLong": func(t *rapid.T) { s.advance(period(t)) },
			"cutLog":   func(t *rapid.T) { s.logCut[gate(t).name] = s.now.Add(period(t)) },
			"logDown": func(t *rapid.T) {
				d := period(t)
				for _, g := range s.gates {
					s.logCut[g.name] = s.now.Add(d)
				}
			},
			"cutGates":  func(t *rapid.T) { s.cutBoth(gate(t).name, gate(t).name, period(t)) },
			"cutHost":   func(t *rapid.T) { s.cutBoth(gate(t).name, host(t).name, period(t)) },
			"cutOneWay": func(t *rapid.T) { s.linkCut[gate(t).name+">"+host(t).name] = s.now.Add(period(t)) },
			"pauseGate": func(t *rapid.T) { g := gate(t); g.paused = s.now.Add(period(t)) },
			"pauseSide": func(t *rapid.T) { h := host(t); h.paused = s.now.Add(period(t)) },
			"restartSide": func(t *rapid.T) {
				host(t).restart()
			},
			"killHost": func(t *rapid.T) { host(t).crash(period(t)) },
			"restartGate": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "gate")
				s.gates[i].dead = true
				s.gates[i] = newSimGate(s, s.gates[i].name)
			},
			"leaveGate": func(t *rapid.T) {
				i := rapid.IntRange(0, 2).Draw(t, "gate")
				old := s.gates[i]
				for _, o := range old.owners {
					o.StepDown()
				}
				s.advance(time.Second)
				old.dead = true
				s.gates[i] = newSimGate(s, old.name)
			},
		})
		s.endFaults()
		s.checkEnd()
	})
}
