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

// Wait waits until a signal arrives, d has passed or ctx ends, and reports
// whether the signal arrived.
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

// Wake sends to a signal channel without blocking. The channel has a buffer of
// one, so that a signal is kept until it is received.
func Wake(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}
