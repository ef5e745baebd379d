package hvshard

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// runningWatcher returns a simulation with one running watcher, its owner, the
// other gates and its host.
func runningWatcher(t *testing.T) (s *sim, id string, owner *simGate, others []*simGate, host *simHost) {
	t.Helper()
	s = newSim(t, 1, 3, 3)
	s.advance(5 * time.Second)
	id = s.submit(hv.Task{Kind: hv.Watcher, Urgent: true})
	s.advance(5 * time.Second)
	owner = s.owner(shardOf(id))
	for _, g := range s.gates {
		if g != owner {
			others = append(others, g)
		}
	}
	for _, h := range s.hosts {
		if len(h.runs) > 0 {
			host = h
		}
	}
	if owner == nil || host == nil {
		t.Fatalf("the watcher did not start: %+v", s.tasks[id])
	}
	return s, id, owner, others, host
}

const longCut = 10 * time.Minute

// The old owner renews the lease while a new owner that cannot reach the host
// takes over. Guards against placing the task again before the last lease has
// expired.
func TestTakeoverWaitsForLeases(t *testing.T) {
	s, id, owner, others, host := runningWatcher(t)
	s.logCut[owner.name] = s.now.Add(longCut)
	for _, g := range others {
		s.cutBoth(g.name, owner.name, longCut)
		s.cutBoth(g.name, host.name, longCut)
	}
	s.advance(40 * time.Second)
	if h := s.tasks[id]; h.starts != 2 || len(h.running) != 1 {
		t.Fatalf("the watcher was not placed again exactly once: %+v", h)
	}
	s.endFaults()
	s.checkEnd()
}

// The new owner reaches the log but no other gate, and the old owner confirms
// its ownership through the third gate. Guards against counting the wait from a
// time at which the old owner can still renew leases.
func TestTakeoverNeedsMajority(t *testing.T) {
	s, id, owner, others, host := runningWatcher(t)
	isolated, third := others[0], others[1]
	// The third gate must not claim the shard either.
	s.logCut[owner.name], s.logCut[third.name] = s.now.Add(longCut), s.now.Add(longCut)
	s.cutBoth(isolated.name, owner.name, longCut)
	s.cutBoth(isolated.name, third.name, longCut)
	s.cutBoth(isolated.name, host.name, longCut)
	s.advance(60 * time.Second)
	if _, owns := isolated.owners[shardOf(id)].Owns(); !owns {
		t.Fatal("the gate that reaches the log did not claim the shard")
	}
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher did not keep running: %+v", h)
	}
	s.endFaults()
	s.checkEnd()
}

// The owner is paused and resumes after its leases have expired. Guards against
// renewals and records based on its outdated state.
func TestPausedOwner(t *testing.T) {
	s, id, owner, _, _ := runningWatcher(t)
	owner.paused = s.now.Add(30 * time.Second)
	s.advance(60 * time.Second)
	if _, owns := owner.owners[shardOf(id)].Owns(); owns || len(s.tasks[id].running) != 1 {
		t.Fatalf("owns %t, %+v", owns, s.tasks[id])
	}
	s.endFaults()
	s.checkEnd()
}

// All gates reach the log and the hosts, but not each other. Guards against
// gates that take a shard over from each other every few seconds.
func TestGatesIsolatedFromEachOther(t *testing.T) {
	s, id, _, _, _ := runningWatcher(t)
	for _, g := range s.gates {
		for _, other := range s.gates {
			s.cutBoth(g.name, other.name, longCut)
		}
	}
	s.advance(3 * time.Minute)
	if epoch := s.gates[0].states[shardOf(id)].Owner().Epoch; epoch > 20 {
		t.Fatalf("%d changes of the owner in 3 minutes", epoch)
	}
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher did not keep running: %+v", h)
	}
}

// Guards against a watcher whose lease expires because the log is unavailable.
func TestOutageKeepsWatchers(t *testing.T) {
	s, id, _, _, _ := runningWatcher(t)
	for _, g := range s.gates {
		s.logCut[g.name] = s.now.Add(5 * time.Minute)
	}
	s.advance(5 * time.Minute)
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the lease of the watcher expired: %+v", h)
	}
	s.endFaults()
	s.checkEnd()
}

// Guards against a watcher that is placed again more than 5 s after the lease
// on its failed host has expired.
func TestLostHost(t *testing.T) {
	s, id, _, _, host := runningWatcher(t)
	host.crash(longCut)
	s.advance(simLease + simMargin + 5*time.Second)
	if h := s.tasks[id]; h.starts < 2 || len(h.running) != 1 {
		t.Fatalf("the watcher does not run again: %+v", h)
	}
}

// Guards against a gate that keeps a shard when it steps down, and a released
// shard that stays without an owner for as long as after a crash.
func TestRelease(t *testing.T) {
	s, id, owner, _, _ := runningWatcher(t)
	owner.owners[shardOf(id)].StepDown()
	s.advance(2 * time.Second)
	if next := s.owner(shardOf(id)); next == nil || next == owner {
		t.Fatal("no other gate claimed the released shard")
	}
	s.advance(20 * time.Second)
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher did not keep running: %+v", h)
	}
	if _, owns := owner.owners[shardOf(id)].Owns(); owns {
		t.Fatal("the gate that stepped down owns the shard again")
	}
}

// Guards against an eviction after which the task does not continue from its
// checkpoint, or continues more than once.
func TestEviction(t *testing.T) {
	s, id, owner, _, _ := runningWatcher(t)
	for n := 1; n <= 3; n++ {
		if err := owner.owners[shardOf(id)].Evict(id, "a test"); err != nil {
			t.Fatal(err)
		}
		s.advance(8 * time.Second)
		e, _ := owner.states[shardOf(id)].Lookup(id)
		if h := s.tasks[id]; h.starts != n+1 || h.checkpointCount != n || e.Evictions != n || e.Resumes != n || e.Checkpoint == "" {
			t.Fatalf("after eviction %d: %+v, %s", n, h, e.Explain())
		}
	}
}

// Guards against a task that fits on no host and never ends, or ends before a
// larger host had time to join.
func TestImpossible(t *testing.T) {
	s := newSim(t, 1, 3, 2)
	s.advance(5 * time.Second)
	id := s.submit(hv.Task{Need: hv.Resources{Accelerators: 1}})
	s.advance(impossibleGracePeriod - time.Second)
	if e, _ := s.gates[0].states[shardOf(id)].Lookup(id); e.State != hvtask.Queued {
		t.Fatalf("during the grace period: %s", e.Explain())
	}
	s.advance(20 * time.Second)
	if e, _ := s.gates[0].states[shardOf(id)].Lookup(id); e.State != hvtask.Impossible || e.Reason == "" {
		t.Fatalf("after the grace period: %s", e.Explain())
	}
}

// Guards against a team that exceeds its quota across several shards, and
// against quota that stays unused in a shard that does not need it.
func TestQuota(t *testing.T) {
	s := newSim(t, 1, 3, 3)
	s.advance(5 * time.Second)
	for i := range 12 {
		s.submit(hv.Task{Team: "team", Need: hv.Resources{Processors: int64(500 + 500*(i%4))}})
	}
	peak := int64(0)
	for range 600 {
		s.advance(500 * time.Millisecond)
		peak = max(peak, s.used("team"))
	}
	if peak != simQuota {
		t.Fatalf("the team used up to %d of %d", peak, simQuota)
	}
	s.checkEnd()
}

// The owner reaches the log and the other gates, but no host. Guards against a
// gate that keeps a shard whose leases it cannot renew.
func TestOwnerWithoutSidesYields(t *testing.T) {
	s, id, owner, _, _ := runningWatcher(t)
	for _, h := range s.hosts {
		s.cutBoth(owner.name, h.name, longCut)
	}
	s.advance(simLease)
	if next := s.owner(shardOf(id)); next == nil || next == owner {
		t.Fatal("no other gate claimed the shard before the leases expired")
	}
	s.advance(time.Minute)
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher did not keep running: %+v", h)
	}
}

// Guards against shards that stay on one gate after the other gates have been
// restarted one by one.
func TestShardReturnsToDesiredOwner(t *testing.T) {
	s, id, owner, others, _ := runningWatcher(t)
	for _, g := range others {
		s.cutBoth(owner.name, g.name, 20*time.Second)
	}
	s.advance(25 * time.Second)
	if next := s.owner(shardOf(id)); next == owner {
		t.Fatal("the gate whose heartbeats did not arrive kept the shard")
	}
	s.advance(2 * time.Minute)
	if next := s.owner(shardOf(id)); next != owner {
		t.Fatal("the shard was not returned to its desired owner")
	}
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher did not keep running: %+v", h)
	}
}
