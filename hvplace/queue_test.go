package hvplace

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func waiting(id string, runtime, deadline time.Duration) hv.Task {
	return hv.Task{ID: id, Kind: hv.Job, Program: id, Runtime: hv.Duration(runtime), Deadline: epoch.Add(deadline)}
}

func order(q *Queue, now time.Time) string {
	ids := ""
	for {
		t, ok := q.Pop(now)
		if !ok {
			return ids
		}
		ids += t.ID
	}
}

// Guards against an order by deadline alone, against hopeless jobs before
// those that can be in time, and against urgent tasks behind jobs.
func TestQueueOrder(t *testing.T) {
	q := NewQueue(NewHistory(), 10)
	urgent := waiting("u", time.Minute, time.Hour)
	urgent.Urgent = true
	for _, x := range []hv.Task{
		waiting("a", time.Minute, 30*time.Minute),
		waiting("b", 25*time.Minute, 31*time.Minute),
		waiting("c", 20*time.Minute, 10*time.Minute),
		urgent,
	} {
		if err := q.Push(x); err != nil {
			t.Fatal(err)
		}
	}
	if got := order(q, epoch); got != "ubac" {
		t.Fatalf("order is %s", got)
	}
}

// Guards against late jobs that never run while timely jobs keep coming.
func TestLateJobsAreNotForgotten(t *testing.T) {
	q := NewQueue(NewHistory(), 100)
	if err := q.Push(waiting("late", time.Hour, time.Minute)); err != nil {
		t.Fatal(err)
	}
	for n := range 2 * lateEvery {
		if err := q.Push(waiting("t", time.Second, time.Hour)); err != nil {
			t.Fatal(err)
		}
		if x, _ := q.Pop(epoch); x.ID == "late" {
			return
		} else if n == 2*lateEvery-1 {
			t.Fatal("the late job still waits")
		}
	}
}

// Guards against a canceled task that is started, and an unbounded queue.
func TestQueueRemoveAndBound(t *testing.T) {
	q := NewQueue(NewHistory(), 3)
	for _, id := range []string{"a", "b", "c"} {
		if err := q.Push(waiting(id, time.Minute, time.Hour)); err != nil {
			t.Fatal(err)
		}
	}
	if err := q.Push(waiting("d", 0, 0)); hv.KindOf(err) != hv.Full {
		t.Fatalf("push to a full queue: %v", err)
	}
	if n := q.Remove(func(x hv.Task) bool { return x.ID != "b" }); n != 2 || order(q, epoch) != "b" {
		t.Fatalf("removed %d", n)
	}
}

// Guards against declared run times that are taken at their word, and against
// corrections outside of the range in which declarations are known to be off.
func TestEstimator(t *testing.T) {
	for _, c := range []struct{ actual, want float64 }{{10, 1}, {40, 4}, {2.5, 0.25}, {1000, 4}, {0.01, 0.25}} {
		e := NewEstimator()
		if f := e.Factor("p", 0.75); f != 1 {
			t.Fatalf("factor without observations is %v", f)
		}
		for range 40 {
			e.Observe("p", 10, c.actual)
		}
		if f := e.Factor("p", 0.95); f != c.want {
			t.Fatalf("factor is %v, want %v", f, c.want)
		}
	}
}
