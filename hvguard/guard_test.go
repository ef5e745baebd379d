package hvguard

import (
	"fmt"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bench runs a guard every 5 s over tasks that it acts on.
type bench struct {
	guard   *Guard
	now     time.Time
	tasks   []hv.Running
	actions []hv.Action
}

func newBench(kinds ...hv.Kind) *bench {
	b := &bench{guard: New(Options{Prefer: hv.Latency, SettlingTime: 35 * time.Second}), now: epoch}
	for i, k := range kinds {
		b.tasks = append(b.tasks, hv.Running{
			Attempt: hv.Attempt{Task: fmt.Sprintf("t%d", i), Number: 1}, State: hv.StateRunning, Share: 1000,
			Task: hv.Task{ID: fmt.Sprintf("t%d", i), Kind: k}, Commit: hv.Resources{Processors: 1000 * int64(len(kinds)-i)},
		})
	}
	return b
}

func (b *bench) decide(slowdown float64) {
	b.now = b.now.Add(5 * time.Second)
	for _, a := range b.guard.Decide(b.now, slowdown, b.tasks) {
		b.actions = append(b.actions, a)
		for i := len(b.tasks) - 1; i >= 0; i-- {
			switch {
			case b.tasks[i].Attempt != a.Attempt:
			case a.Share == 0:
				b.tasks = append(b.tasks[:i], b.tasks[i+1:]...)
			default:
				b.tasks[i].Share = a.Share
			}
		}
	}
}

// Guards against eviction before throttling, against the eviction of services
// and watchers, and against the eviction of work that loses more than another.
func TestThrottleThenEvictCheapest(t *testing.T) {
	b := newBench(hv.Service, hv.Watcher, hv.Job, hv.Job, hv.Job)
	for range 30 {
		b.decide(0.5)
	}
	b.tasks[3].Checkpoint = "new"
	for b.decide(3); len(b.tasks) == 5; b.decide(3) {
		if b.now.Sub(epoch) > 10*time.Minute {
			t.Fatal("nothing was evicted in 10 minutes at three times the target")
		}
	}
	first, last := b.actions[0], b.actions[len(b.actions)-1]
	if first.Share <= 0 || first.Share >= 1000 {
		t.Fatalf("the first action is %+v", first)
	}
	if last.Attempt.Task != "t3" {
		t.Fatalf("%s was evicted", last.Attempt.Task)
	}
}

// Guards against a guard that acts on single noisy reports, that flips between
// its states, or that keeps work throttled for longer than needed.
func TestHysteresis(t *testing.T) {
	b := newBench(hv.Job)
	for range 10 {
		b.decide(1.5)
		b.decide(0.6)
	}
	if len(b.actions) != 0 {
		t.Fatalf("single reports led to %v", b.actions)
	}
	for range 20 {
		b.decide(1.3)
	}
	share := b.tasks[0].Share
	if share == 1000 {
		t.Fatal("not throttled")
	}
	n := len(b.actions)
	for range 100 {
		b.decide(0.9)
	}
	if len(b.actions) != n {
		t.Fatalf("between the thresholds the guard acted %d times", len(b.actions)-n)
	}
	for range 300 {
		b.decide(0.5)
	}
	if b.tasks[0].Share != 1000 {
		t.Fatalf("the share is %d after 25 minutes at half of the target", b.tasks[0].Share)
	}
}

// Guards against a share that swings when the work itself is the cause: each
// rise that has to be taken back doubles the wait for the next.
func TestRepeatedRisesSlowDown(t *testing.T) {
	b := newBench(hv.Job)
	step := func() {
		slowdown := 0.5
		if b.tasks[0].Share > 400 {
			slowdown = 1.5
		}
		b.decide(slowdown)
	}
	for range 120 {
		step()
	}
	before := len(b.actions)
	const cycles = 10
	for range cycles * maxPatience * 35 / 5 {
		step()
	}
	// A cycle is the trial, the cut and two rises below the known ceiling.
	if n := len(b.actions) - before; n > cycles*4 {
		t.Fatalf("%d steps in the time of %d trials", n, cycles)
	}
}
