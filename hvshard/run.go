package hvshard

import (
	"context"
	"time"

	"hibiscusvane.example/hibiscusvane/hvring"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

const (
	// stepInterval is half of flushInterval, so that a flush is late by at most
	// that much.
	stepInterval = flushInterval / 2
	// maxSkippedSteps is the number of consecutive steps that an idle shard may
	// skip. A claim or a check is then late by at most 250 ms.
	maxSkippedSteps = 5
)

// Run calls Step periodically and appends the records until ctx is done.
func (o *Owner) Run(ctx context.Context) {
	batches := hvring.New[*Batch](1)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		o.appendLoop(ctx, batches)
	}()
	defer func() { <-finished }()
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for skipped := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if skipped < maxSkippedSteps && o.idle() {
			skipped++
			continue
		}
		skipped = 0
		if b := o.Step(o.Clock.Now()); b != nil {
			batches.Put(b)
		}
	}
}

// idle reports whether the next step would only check the ownership, the
// attempts and their leases.
func (o *Owner) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.steppingDown || o.uncertain || len(o.queue) > 0 {
		return false
	}
	return o.epoch == 0 || !o.state.HasPending()
}

func (o *Owner) appendLoop(ctx context.Context, batches *hvring.Ring[*Batch]) {
	for {
		b, err := batches.Take(ctx)
		if err != nil {
			return
		}
		err = o.Log.Append(ctx, hvtask.KindOps, b.Body)
		o.Finish(b, o.Clock.Now(), err)
	}
}
