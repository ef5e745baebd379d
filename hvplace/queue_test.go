package hvplace

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newJob(id string, runtime, deadline time.Duration) hv.Task {
	return hv.Task{ID: id, Kind: hv.Job, Program: id, Runtime: hv.Duration(runtime), Deadline: epoch.Add(deadline)}
}

func popAll(q *Queue, now time.Time) string {
	ids := ""
	for {
		t, ok := q.Pop(now)
		if !ok {
			return ids
		}
		ids += t.ID
	}
}

// Guards against ordering by deadline alone, against late jobs ahead of jobs
// that can still meet their deadline, and against urgent tasks behind jobs.
func TestQueueOrder(t *testing.T) {
	q := NewQueue(NewHistory(), 10)
	urgent := newJob("u", time.Minute, time.Hour)
	urgent.Urgent = true
	for _, x := range []hv.Task{
		newJob("a", time.Minute, 30*time.Minute),
		newJob("b", 25*time.Minute, 31*time.Minute),
		newJob("c", 20*time.Minute, 10*time.Minute),
		urgent,
	} {
		if err := q.Push(x); err != nil {
			t.Fatal(err)
		}
	}
	if got := popAll(q, epoch); got != "ubac" {
		t.Fatalf("order is %s, want ubac", got)
	}
}

// Guards against late jobs that never run while jobs that can meet their
// deadline keep arriving.
func TestLateJobsAreNotStarved(t *testing.T) {
	q := NewQueue(NewHistory(), 100)
	if err := q.Push(newJob("late", time.Hour, time.Minute)); err != nil {
		t.Fatal(err)
	}
	for n := range 2 * lateJobInterval {
		if err := q.Push(newJob("t", time.Second, time.Hour)); err != nil {
			t.Fatal(err)
		}
		if x, _ := q.Pop(epoch); x.ID == "late" {
			return
		} else if n == 2*lateJobInterval-1 {
			t.Fatal("late job was not popped")
		}
	}
}

// Guards against starting a canceled task, and against an unbounded queue.
func TestQueueRemoveAndBound(t *testing.T) {
	q := NewQueue(NewHistory(), 3)
	for _, id := range []string{"a", "b", "c"} {
		if err := q.Push(newJob(id, time.Minute, time.Hour)); err != nil {
			t.Fatal(err)
		}
	}
	if err := q.Push(newJob("d", 0, 0)); hv.KindOf(err) != hv.Full {
		t.Fatalf("push to a full queue: error is %v, want kind Full", err)
	}
	if n := q.Remove(func(x hv.Task) bool { return x.ID != "b" }); n != 2 || popAll(q, epoch) != "b" {
		t.Fatalf("removed %d tasks, want 2 with task b left", n)
	}
}

// Guards against using declared run times uncorrected, and against corrections
// outside the range in which declarations are known to be off.
func TestEstimator(t *testing.T) {
	for _, c := range []struct{ actual, want float64 }{{10, 1}, {40, 4}, {2.5, 0.25}, {1000, 4}, {0.01, 0.25}} {
		e := NewEstimator()
		if f := e.Factor("p", 0.75); f != 1 {
			t.Fatalf("factor without observations is %v, want 1", f)
		}
		for range 40 {
			e.Observe("p", 10, c.actual)
		}
		if f := e.Factor("p", 0.95); f != c.want {
			t.Fatalf("factor is %v, want %v", f, c.want)
		}
	}
}
