// Package hvtick repeats a duty at an interval.
package hvtick

import (
	"context"
	"time"
)

// Every calls f at an interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}
