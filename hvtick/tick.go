// Package hvtick repeats a duty at an interval.
package hvtick

import (
	"context"
	"time"
)

// Every calls f at an interval until ctx ends.
func Every(ctx context.Context, interval time.Duration, f func()) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f()
		}
	}
}
