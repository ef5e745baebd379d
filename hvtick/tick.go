// Package hvtick provides periodic calls, waits that end with a context, and wake
// signals between goroutines.
package hvtick

import (
	"context"
	"time"
)

// Every calls f once per interval until ctx ends. The first call follows after
// one interval.
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
