// Package hvring provides a bounded queue between goroutines.
package hvring

import "context"

// Ring is a bounded FIFO queue for any number of producers and consumers.
type Ring[T any] struct {
	items chan T
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] { return &Ring[T]{items: make(chan T, size)} }

// Put adds an item without blocking and returns false if the ring is full.
func (r *Ring[T]) Put(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Take removes the oldest item. It waits until there is one or ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, ctx.Err()
	}
}

// Drain removes and returns up to limit items without waiting.
func (r *Ring[T]) Drain(limit int) []T {
	var items []T
	for len(items) < limit {
		select {
		case item := <-r.items:
			items = append(items, item)
		default:
			return items
		}
	}
	return items
}

// Len returns the number of buffered items.
func (r *Ring[T]) Len() int { return len(r.items) }
