package hvplace

import (
	"container/heap"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Queue orders waiting tasks: tasks that serve and urgent tasks in the order
// of their arrival, then jobs by least slack. Jobs that can no longer meet
// their deadline come last, as they would make others late as well; every
// eighth job is taken from them, so that they are late and not forgotten.
// A Queue is not safe for concurrent use.
type Queue struct {
	history *History
	limit   int
	arrived int64
	first   items
	timely  items
	late    items
	popped  int
}

// lateEvery is the number of jobs of which one may be late.
const lateEvery = 8

type item struct {
	task hv.Task
	// key orders a heap: the arrival number or the latest start in nanoseconds.
	key int64
	// arrived breaks ties.
	arrived int64
}

type items []item

func (q items) Len() int { return len(q) }

func (q items) Less(i, j int) bool {
	if q[i].key != q[j].key {
		return q[i].key < q[j].key
	}
	return q[i].arrived < q[j].arrived
}
func (q items) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *items) Push(x any)   { *q = append(*q, x.(item)) }

func (q *items) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = item{}
	*q = (*q)[:last]
	return x
}

// NewQueue returns an empty queue that holds up to limit tasks.
func NewQueue(h *History, limit int) *Queue { return &Queue{history: h, limit: limit} }

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.first) + len(q.timely) + len(q.late) }

// Push adds a task. An error of kind Full refuses it.
func (q *Queue) Push(t hv.Task) error {
	if q.Len() >= q.limit {
		return errQueueFull
	}
	q.insert(t)
	return nil
}

func (q *Queue) insert(t hv.Task) {
	q.arrived++
	it := item{task: t, key: q.arrived, arrived: q.arrived}
	if t.Kind != hv.Job || t.Urgent {
		heap.Push(&q.first, it)
		return
	}
	it.key = t.Deadline.Add(-q.history.Runtime(t)).UnixNano()
	heap.Push(&q.timely, it)
}

// Return puts back tasks that were popped and not placed.
func (q *Queue) Return(tasks []hv.Task) {
	for _, t := range tasks {
		q.insert(t)
	}
}

// Pop takes the next task.
func (q *Queue) Pop(now time.Time) (hv.Task, bool) {
	if len(q.first) > 0 {
		return heap.Pop(&q.first).(item).task, true
	}
	q.setLateAside(now)
	if len(q.timely)+len(q.late) == 0 {
		return hv.Task{}, false
	}
	q.popped++
	from := &q.timely
	if len(q.timely) == 0 || (len(q.late) > 0 && q.popped%lateEvery == 0) {
		from = &q.late
	}
	return heap.Pop(from).(item).task, true
}

// setLateAside moves the jobs whose latest start has passed to the late jobs.
func (q *Queue) setLateAside(now time.Time) {
	for len(q.timely) > 0 && q.timely[0].key < now.UnixNano() {
		heap.Push(&q.late, heap.Pop(&q.timely))
	}
}

// Remove drops the tasks that match in one pass and returns their number.
func (q *Queue) Remove(match func(hv.Task) bool) int {
	before := q.Len()
	for _, h := range []*items{&q.first, &q.timely, &q.late} {
		kept := (*h)[:0]
		for _, it := range *h {
			if !match(it.task) {
				kept = append(kept, it)
			}
		}
		clear((*h)[len(kept):])
		*h = kept
		heap.Init(h)
	}
	return before - q.Len()
}
