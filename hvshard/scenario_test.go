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

const long = 10 * time.Minute

// The old owner renews the lease while a new one that cannot hear the host
// takes over. Guards against placing again before the last lease has lapsed.
func TestTakeoverWaitsForLeases(t *testing.T) {
	s, id, owner, others, host := runningWatcher(t)
	s.logCut[owner.name] = s.now.Add(long)
	for _, g := range others {
		s.cutBoth(g.name, owner.name, long)
		s.cutBoth(g.name, host.name, long)
	}
	s.advance(40 * time.Second)
	if h := s.tasks[id]; h.starts != 2 || len(h.running) != 1 {
		t.Fatalf("the watcher was not placed again once: %+v", h)
	}
	s.heal()
	s.check()
}

// The new owner reaches the log but no other gate, and the old owner confirms
// its view by the third gate. Guards against counting the wait from a moment
// at which the old owner can still renew.
func TestTakeoverNeedsMajority(t *testing.T) {
	s, id, owner, others, host := runningWatcher(t)
	lonely, third := others[0], others[1]
	// The third gate must not claim either.
	s.logCut[owner.name], s.logCut[third.name] = s.now.Add(long), s.now.Add(long)
	s.cutBoth(lonely.name, owner.name, long)
	s.cutBoth(lonely.name, third.name, long)
	s.cutBoth(lonely.name, host.name, long)
	s.advance(60 * time.Second)
	if _, owns := lonely.owners[shardOf(id)].Owns(); !owns {
		t.Fatal("the gate that reaches the log did not claim the shard")
	}
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher did not keep running: %+v", h)
	}
	s.heal()
	s.check()
}

// The owner is paused and wakes after its leases have lapsed. Guards against
// renewals and records from its old view.
func TestPausedOwner(t *testing.T) {
	s, id, owner, _, _ := runningWatcher(t)
	owner.paused = s.now.Add(30 * time.Second)
	s.advance(60 * time.Second)
	if _, owns := owner.owners[shardOf(id)].Owns(); owns || len(s.tasks[id].running) != 1 {
		t.Fatalf("owns %t, %+v", owns, s.tasks[id])
	}
	s.heal()
	s.check()
}

// All gates reach the log and the hosts, but not each other. Guards against
// gates that take a shard from each other every few seconds.
func TestGatesApart(t *testing.T) {
	s, id, _, _, _ := runningWatcher(t)
	for _, g := range s.gates {
		for _, other := range s.gates {
			s.cutBoth(g.name, other.name, long)
		}
	}
	s.advance(3 * time.Minute)
	if epoch := s.gates[0].states[shardOf(id)].Owner().Epoch; epoch > 20 {
		t.Fatalf("%d changes of the owner in 3 minutes", epoch)
	}
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher was disturbed: %+v", h)
	}
}

// Guards against a watcher that lapses because the log is down.
func TestOutageKeepsWatchers(t *testing.T) {
	s, id, _, _, _ := runningWatcher(t)
	for _, g := range s.gates {
		s.logCut[g.name] = s.now.Add(5 * time.Minute)
	}
	s.advance(5 * time.Minute)
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher lapsed: %+v", h)
	}
	s.heal()
	s.check()
}

// Guards against a watcher that is placed again more than 5 s after the lease
// on its dead host has lapsed.
func TestLostHost(t *testing.T) {
	s, id, _, _, host := runningWatcher(t)
	host.die(long)
	s.advance(simLease + simMargin + 5*time.Second)
	if h := s.tasks[id]; h.starts < 2 || len(h.running) != 1 {
		t.Fatalf("the watcher does not run again: %+v", h)
	}
}

// Guards against a gate that keeps a shard when it stops, and a shard that
// stays without an owner for the time of a crash.
func TestRelease(t *testing.T) {
	s, id, owner, _, _ := runningWatcher(t)
	owner.owners[shardOf(id)].StepDown()
	s.advance(2 * time.Second)
	if next := s.owner(shardOf(id)); next == nil || next == owner {
		t.Fatal("no other gate took the released shard")
	}
	s.advance(20 * time.Second)
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher was disturbed: %+v", h)
	}
	if _, owns := owner.owners[shardOf(id)].Owns(); owns {
		t.Fatal("the leaving gate owns the shard again")
	}
}

// Guards against an eviction whose task does not continue from its checkpoint,
// or continues more than once.
func TestEviction(t *testing.T) {
	s, id, owner, _, _ := runningWatcher(t)
	for n := 1; n <= 3; n++ {
		if err := owner.owners[shardOf(id)].Evict(id, "a test"); err != nil {
			t.Fatal(err)
		}
		s.advance(8 * time.Second)
		e, _ := owner.states[shardOf(id)].Lookup(id)
		if h := s.tasks[id]; h.starts != n+1 || h.checkpoint != n || e.Evictions != n || e.Resumes != n || e.Checkpoint == "" {
			t.Fatalf("after eviction %d: %+v, %s", n, h, e.Explain())
		}
	}
}

// Guards against a task that fits no host and never ends, or ends before a
// larger host had time to join.
func TestImpossible(t *testing.T) {
	s := newSim(t, 1, 3, 2)
	s.advance(5 * time.Second)
	id := s.submit(hv.Task{Need: hv.Resources{Accelerators: 1}})
	s.advance(grace - time.Second)
	if e, _ := s.gates[0].states[shardOf(id)].Lookup(id); e.State != hvtask.Queued {
		t.Fatalf("during the grace period: %s", e.Explain())
	}
	s.advance(20 * time.Second)
	if e, _ := s.gates[0].states[shardOf(id)].Lookup(id); e.State != hvtask.Impossible || e.Reason == "" {
		t.Fatalf("after the grace period: %s", e.Explain())
	}
}

// Guards against a team that exceeds its quota over several shards, and
// against quota that lies unused in a shard that does not need it.
func TestQuota(t *testing.T) {
	s := newSim(t, 1, 3, 3)
	s.advance(5 * time.Second)
	for i := range 12 {
		s.submit(hv.Task{Team: "team", Need: hv.Resources{Processors: int64(500 + 500*(i%4))}})
	}
	most := int64(0)
	for range 600 {
		s.advance(500 * time.Millisecond)
		most = max(most, s.used("team"))
	}
	if most != simQuota {
		t.Fatalf("the team used up to %d of %d", most, simQuota)
	}
	s.check()
}

// The owner reaches the log and the other gates, but no host. Guards against a
// gate that keeps a shard whose leases it cannot renew.
func TestBlindOwnerYields(t *testing.T) {
	s, id, owner, _, _ := runningWatcher(t)
	for _, h := range s.hosts {
		s.cutBoth(owner.name, h.name, long)
	}
	s.advance(simLease)
	if next := s.owner(shardOf(id)); next == nil || next == owner {
		t.Fatal("no other gate took the shard before the leases lapsed")
	}
	s.advance(time.Minute)
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher was disturbed: %+v", h)
	}
}

// Guards against shards that stay together on one gate after the others have
// been restarted one by one.
func TestShardsGoBack(t *testing.T) {
	s, id, owner, others, _ := runningWatcher(t)
	for _, g := range others {
		s.cutBoth(owner.name, g.name, 20*time.Second)
	}
	s.advance(25 * time.Second)
	if next := s.owner(shardOf(id)); next == owner {
		t.Fatal("the gate that the others did not hear kept the shard")
	}
	s.advance(2 * time.Minute)
	if next := s.owner(shardOf(id)); next != owner {
		t.Fatal("the shard did not go back to its desired owner")
	}
	if h := s.tasks[id]; h.starts != 1 || len(h.running) != 1 {
		t.Fatalf("the watcher was disturbed: %+v", h)
	}
}
