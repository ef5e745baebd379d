package hvshed

import (
	"slices"
	"sort"
	"time"
)

// Order tells which place a record has among those that wait for the next append.
type Order struct {
	// First is true for records that go before submissions, such as cancellations.
	First bool
	// RefusedAt is when the caller was first refused, or zero for a new one. Callers
	// that return go before new ones, in the order in which they were refused.
	RefusedAt time.Time
	// Deadline is when the record must be stored, or zero.
	Deadline time.Time
}

// before reports whether a record goes before another that was added earlier.
func (o Order) before(other Order) bool {
	if o.First != other.First {
		return o.First
	}
	if o.RefusedAt.IsZero() || other.RefusedAt.IsZero() {
		return !o.RefusedAt.IsZero() && other.RefusedAt.IsZero()
	}
	return o.RefusedAt.Before(other.RefusedAt)
}

type item[T comparable] struct {
	value T
	bytes int
	order Order
}

// Queue holds the records that wait for the next append, in the order in which they
// are to be stored. The zero value is an empty queue; it is not safe for concurrent use.
type Queue[T comparable] struct {
	items []item[T]
	bytes int
}

// Add adds a record and reports false if the queue is full.
func (q *Queue[T]) Add(v T, bytes int, o Order) bool {
	if len(q.items) >= MaxQueued {
		return false
	}
	i := sort.Search(len(q.items), func(i int) bool { return o.before(q.items[i].order) })
	q.items = slices.Insert(q.items, i, item[T]{v, bytes, o})
	q.bytes += bytes
	return true
}

// Remove removes a record and reports whether it was in the queue. A record that is not
// may have been sent.
func (q *Queue[T]) Remove(v T) bool {
	i := slices.IndexFunc(q.items, func(it item[T]) bool { return it.value == v })
	if i < 0 {
		return false
	}
	q.bytes -= q.items[i].bytes
	q.items = slices.Delete(q.items, i, i+1)
	return true
}

// Take removes and returns the records for an append that is sent now and is expected to
// take the given time. It also removes those that cannot be stored by their deadline.
func (q *Queue[T]) Take(now time.Time, response time.Duration) (batch, late []T) {
	n, bytes := 0, 0
	for _, it := range q.items {
		if !it.order.Deadline.IsZero() && now.Add(response).After(it.order.Deadline) {
			late = append(late, it.value)
		} else if len(batch) == MaxRecords || len(batch) > 0 && bytes+it.bytes > MaxBytes {
			break
		} else {
			batch = append(batch, it.value)
			bytes += it.bytes
		}
		q.bytes -= it.bytes
		n++
	}
	q.items = slices.Delete(q.items, 0, n)
	return batch, late
}

// Drain removes and returns all records.
func (q *Queue[T]) Drain() []T {
	out := make([]T, 0, len(q.items))
	for _, it := range q.items {
		out = append(out, it.value)
	}
	q.items, q.bytes = nil, 0
	return out
}

// Len returns the number of records, and Bytes their total size.
func (q *Queue[T]) Len() int { return len(q.items) }

// Bytes returns the total size of the records.
func (q *Queue[T]) Bytes() int { return q.bytes }
