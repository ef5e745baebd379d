package hvplace

import (
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// FIFO is the baseline queue: first come, first served.
type FIFO struct {
	tasks []hv.Task
	limit int
}

// NewFIFO returns an empty queue that holds up to limit tasks.
func NewFIFO(limit int) *FIFO { return &FIFO{limit: limit} }

// Len returns the number of waiting tasks.
func (q *FIFO) Len() int { return len(q.tasks) }

// Push adds a task. An error of kind Full refuses it.
func (q *FIFO) Push(t hv.Task) error {
	if len(q.tasks) >= q.limit {
		return errQueueFull
	}
	q.tasks = append(q.tasks, t)
	return nil
}

// Return puts back tasks that were popped and not placed.
func (q *FIFO) Return(tasks []hv.Task) { q.tasks = append(slices.Clone(tasks), q.tasks...) }

// Pop takes the next task.
func (q *FIFO) Pop(time.Time) (hv.Task, bool) {
	if len(q.tasks) == 0 {
		return hv.Task{}, false
	}
	t := q.tasks[0]
	q.tasks = q.tasks[1:]
	return t, true
}

// Remove drops the tasks that match and returns their number.
func (q *FIFO) Remove(match func(hv.Task) bool) int {
	before := len(q.tasks)
	q.tasks = slices.DeleteFunc(q.tasks, match)
	return before - len(q.tasks)
}
