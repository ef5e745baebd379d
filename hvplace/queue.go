package hvplace

import (
	"container/heap"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Queue orders waiting tasks: services, watchers and urgent tasks in order of
// arrival, then jobs by least slack. Jobs that can no longer meet their
// deadline come last, as they would make others late as well. One in
// lateJobInterval jobs is taken from them, so that they are not starved. A
// Queue is not safe for concurrent use.
type Queue struct {
	history   *History
	limit     int
	arrivals  int64
	immediate itemHeap
	onTime    itemHeap
	late      itemHeap
	popped    int
}

// lateJobInterval is the number of popped jobs of which one is a late job while
// both kinds wait.
const lateJobInterval = 8

type item struct {
	task hv.Task
	// priority orders a heap, lowest first: the arrival number, or the latest
	// start time in nanoseconds.
	priority int64
	// arrival is the arrival number, which breaks ties.
	arrival int64
}

type itemHeap []item

func (q itemHeap) Len() int { return len(q) }

func (q itemHeap) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q itemHeap) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *itemHeap) Push(x any)   { *q = append(*q, x.(item)) }

func (q *itemHeap) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	(*q)[last] = item{}
	*q = (*q)[:last]
	return x
}

// NewQueue returns an empty queue that holds up to limit tasks.
func NewQueue(h *History, limit int) *Queue { return &Queue{history: h, limit: limit} }

// Len returns the number of waiting tasks.
func (q *Queue) Len() int { return len(q.immediate) + len(q.onTime) + len(q.late) }

// Push adds a task. It returns an error of kind Full if the queue is at its
// limit.
func (q *Queue) Push(t hv.Task) error {
	if q.Len() >= q.limit {
		return errQueueFull
	}
	q.insert(t)
	return nil
}

func (q *Queue) insert(t hv.Task) {
	q.arrivals++
	it := item{task: t, priority: q.arrivals, arrival: q.arrivals}
	if t.Kind != hv.Job || t.Urgent {
		heap.Push(&q.immediate, it)
		return
	}
	it.priority = t.Deadline.Add(-q.history.Runtime(t)).UnixNano()
	heap.Push(&q.onTime, it)
}

// Return puts back tasks that were popped and not placed.
func (q *Queue) Return(tasks []hv.Task) {
	for _, t := range tasks {
		q.insert(t)
	}
}

// Pop removes and returns the next task.
func (q *Queue) Pop(now time.Time) (hv.Task, bool) {
	if len(q.immediate) > 0 {
		return heap.Pop(&q.immediate).(item).task, true
	}
	q.moveLateJobs(now)
	if len(q.onTime)+len(q.late) == 0 {
		return hv.Task{}, false
	}
	q.popped++
	from := &q.onTime
	if len(q.onTime) == 0 || (len(q.late) > 0 && q.popped%lateJobInterval == 0) {
		from = &q.late
	}
	return heap.Pop(from).(item).task, true
}

// moveLateJobs moves the jobs whose latest start time has passed to the late
// jobs.
func (q *Queue) moveLateJobs(now time.Time) {
	for len(q.onTime) > 0 && q.onTime[0].priority < now.UnixNano() {
		heap.Push(&q.late, heap.Pop(&q.onTime))
	}
}

// Remove removes the tasks that match in one pass and returns their number.
func (q *Queue) Remove(match func(hv.Task) bool) int {
	before := q.Len()
	for _, h := range []*itemHeap{&q.immediate, &q.onTime, &q.late} {
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
