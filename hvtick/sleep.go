package hvtick

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// Wait waits for a signal, for d or until ctx ends, and reports whether the
// signal came.
func Wait(ctx context.Context, signal <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	case <-signal:
		return true
	}
	return false
}

// Wake sets a signal with a buffer of one without blocking.
func Wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
