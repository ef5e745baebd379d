package hvlog

import (
	"context"
	"time"
)

const (
	backoffBase = 50 * time.Millisecond
	// backoffMax leaves two tries within the 3 s in which a setting must be in
	// force everywhere.
	backoffMax = time.Second
)

// backoff returns the pause after a number of failures in a row. The pause is
// spread over half of its length so that processes do not retry in step.
func backoff(failures int, jitter func() float64) time.Duration {
	d := backoffMax
	if failures < 8 {
		d = min(d, backoffBase<<failures)
	}
	return d/2 + time.Duration(jitter()*float64(d/2))
}

// pause waits until d has passed or ctx has ended.
func pause(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
