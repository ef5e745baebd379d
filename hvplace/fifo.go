package hvplace

import (
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// FIFO is the baseline queue: first in, first out.
type FIFO struct {
	tasks []hv.Task
	limit int
}

// NewFIFO returns an empty queue that holds up to limit tasks.
func NewFIFO(limit int) *FIFO { return &FIFO{limit: limit} }

// Len returns the number of waiting tasks.
func (q *FIFO) Len() int { return len(q.tasks) }

// Push adds a task. It returns an error of kind Full if the queue is at its
// limit.
func (q *FIFO) Push(t hv.Task) error {
	if len(q.tasks) >= q.limit {
		return errQueueFull
	}
	q.tasks = append(q.tasks, t)
	return nil
}

// Return puts tasks that were popped and not placed back at the front.
func (q *FIFO) Return(tasks []hv.Task) { q.tasks = append(slices.Clone(tasks), q.tasks...) }

// Pop removes and returns the next task.
func (q *FIFO) Pop(time.Time) (hv.Task, bool) {
	if len(q.tasks) == 0 {
		return hv.Task{}, false
	}
	t := q.tasks[0]
	q.tasks = q.tasks[1:]
	return t, true
}

// Remove removes the tasks that match and returns their number.
func (q *FIFO) Remove(match func(hv.Task) bool) int {
	before := len(q.tasks)
	q.tasks = slices.DeleteFunc(q.tasks, match)
	return before - len(q.tasks)
}
