package hvshard

import (
	"context"
	"time"

	"hibiscusvane.example/hibiscusvane/hvring"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// stepEvery is half of flushEvery, so that a flush is at most that much late.
const stepEvery = flushEvery / 2

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
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if b := o.Step(o.Clock.Now()); b != nil {
				batches.Put(b)
			}
		}
	}
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
