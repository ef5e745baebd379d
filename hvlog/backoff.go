package hvlog

import (
	"context"
	"time"
)

const (
	backoffBase = 50 * time.Millisecond
	// backoffMax allows two attempts within the 3 s in which a changed setting
	// must take effect in every process.
	backoffMax = time.Second
)

// backoff returns the delay after a number of consecutive failures. Half of the
// delay is randomized so that processes do not retry in lockstep.
func backoff(failures int, jitter func() float64) time.Duration {
	d := backoffMax
	if failures < 8 {
		d = min(d, backoffBase<<failures)
	}
	return d/2 + time.Duration(jitter()*float64(d/2))
}

// sleep waits until d has passed or ctx is done.
func sleep(ctx context.Context, d time.Duration) {
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
