package hvguard

import (
	"fmt"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulation runs a guard every 5 s and applies its actions to the tasks.
type simulation struct {
	guard   *Guard
	now     time.Time
	tasks   []hv.RunningAttempt
	actions []hv.GuardAction
}

func newSimulation(kinds ...hv.Kind) *simulation {
	s := &simulation{guard: New(Options{Prefer: hv.Latency, SettlingTime: 35 * time.Second}), now: epoch}
	for i, k := range kinds {
		s.tasks = append(s.tasks, hv.RunningAttempt{
			Attempt: hv.Attempt{Task: fmt.Sprintf("t%d", i), Number: 1}, State: hv.StateRunning, Share: 1000,
			Task: hv.Task{ID: fmt.Sprintf("t%d", i), Kind: k}, Committed: hv.Resources{Processors: 1000 * int64(len(kinds)-i)},
		})
	}
	return s
}

func (s *simulation) decide(slowdown float64) {
	s.now = s.now.Add(5 * time.Second)
	for _, a := range s.guard.Decide(s.now, slowdown, s.tasks) {
		s.actions = append(s.actions, a)
		for i := len(s.tasks) - 1; i >= 0; i-- {
			switch {
			case s.tasks[i].Attempt != a.Attempt:
			case a.Share == 0:
				s.tasks = append(s.tasks[:i], s.tasks[i+1:]...)
			default:
				s.tasks[i].Share = a.Share
			}
		}
	}
}

// Guards against eviction before throttling, against evicting services or
// watchers, and against evicting an attempt that loses more work than another.
func TestThrottleThenEvictLeastLoss(t *testing.T) {
	s := newSimulation(hv.Service, hv.Watcher, hv.Job, hv.Job, hv.Job)
	for range 30 {
		s.decide(0.5)
	}
	s.tasks[3].Checkpoint = "new"
	for len(s.tasks) == 5 {
		// The batch work doubles the latency of the service, in proportion to its share.
		s.decide(2 * (1 + float64(s.guard.Share())/1000))
		if s.now.Sub(epoch) > 10*time.Minute {
			t.Fatal("nothing was evicted in 10 minutes over twice the target")
		}
	}
	first, last := s.actions[0], s.actions[len(s.actions)-1]
	if first.Share <= 0 || first.Share >= 1000 {
		t.Fatalf("the first action is %+v, want throttling", first)
	}
	if last.Attempt.Task != "t3" {
		t.Fatalf("%s was evicted, want t3", last.Attempt.Task)
	}
}

// Guards against the eviction of all batch work beside a service that is overloaded without
// it: the slowdown stays the same at the smallest share.
func TestWorkWithoutEffectIsNotEvicted(t *testing.T) {
	s := newSimulation(hv.Job, hv.Job, hv.Job)
	for i := range 240 {
		slowdown := 3.0
		if i%2 == 1 {
			slowdown = 2.9
		}
		s.decide(slowdown)
	}
	if len(s.tasks) != 3 {
		t.Fatalf("%d of 3 attempts were evicted in 20 minutes, though throttling them changed nothing", 3-len(s.tasks))
	}
}

// Guards against acting on single noisy measurements, against oscillation
// between the thresholds, and against throttling for longer than needed.
func TestHysteresis(t *testing.T) {
	s := newSimulation(hv.Job)
	for range 10 {
		s.decide(1.5)
		s.decide(0.6)
	}
	if len(s.actions) != 0 {
		t.Fatalf("single measurements led to actions %v", s.actions)
	}
	for range 20 {
		s.decide(1.3)
	}
	share := s.tasks[0].Share
	if share == 1000 {
		t.Fatal("not throttled at a slowdown of 1.3")
	}
	n := len(s.actions)
	for range 100 {
		s.decide(0.9)
	}
	if len(s.actions) != n {
		t.Fatalf("between the thresholds the guard acted %d times", len(s.actions)-n)
	}
	for range 300 {
		s.decide(0.5)
	}
	if s.tasks[0].Share != 1000 {
		t.Fatalf("the share is %d after 25 minutes at half of the target, want 1000", s.tasks[0].Share)
	}
}

// Guards against an oscillating share when the batch work itself causes the
// slowdown: each failed trial must double the wait before the next.
func TestRepeatedRaisesBackOff(t *testing.T) {
	s := newSimulation(hv.Job)
	step := func() {
		slowdown := 0.5
		if s.tasks[0].Share > 400 {
			slowdown = 1.5
		}
		s.decide(slowdown)
	}
	for range 120 {
		step()
	}
	before := len(s.actions)
	const cycles = 10
	for range cycles * maxBackoff * 35 / 5 {
		step()
	}
	// A cycle is a trial, the following decrease and two increases below the
	// known ceiling.
	if n := len(s.actions) - before; n > cycles*4 {
		t.Fatalf("%d actions in the time of %d trials, want at most 4 per trial", n, cycles)
	}
}
