package hvshard

import (
	"context"
	"time"

	"hibiscusvane.example/hibiscusvane/hvring"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

const (
	// stepEvery is half of flushEvery, so that a flush is at most that much late.
	stepEvery = flushEvery / 2
	// idleSteps is how many steps a shard may skip in which nothing is queued.
	// A claim or a sweep is then at most 250 ms late.
	idleSteps = 5
)

// Run drives the owner until ctx ends.
func (o *Owner) Run(ctx context.Context) {
	batches := hvring.New[*Batch](1)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		o.appendAll(ctx, batches)
	}()
	defer func() { <-finished }()
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for skipped := 0; ; {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if skipped < idleSteps && o.idle() {
			skipped++
			continue
		}
		skipped = 0
		if b := o.Step(o.Clock.Now()); b != nil {
			batches.Put(b)
		}
	}
}

// idle reports whether a step has nothing to do but to look at the ownership
// and the leases.
func (o *Owner) idle() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.leaving || o.doubt || len(o.waiting) > 0 {
		return false
	}
	return o.epoch == 0 || !o.state.HasPending()
}

func (o *Owner) appendAll(ctx context.Context, batches *hvring.Ring[*Batch]) {
	for {
		b, err := batches.Take(ctx)
		if err != nil {
			return
		}
		err = o.Log.Append(ctx, hvtask.KindOps, b.Body)
		o.Finish(b, o.Clock.Now(), err)
	}
}
