package hvowner

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvcell"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

// adviceMargin is added to the maximum duration of an advice request, for the
// network and for an earlier request that is still in progress.
const adviceMargin = time.Second

// adviseLoop requests which hosts may run the steps that wait for advice. It
// sends one request at a time, because the service accepts no more from one
// machine.
func (o *Owner) adviseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, o.wakeAdvise, tickInterval)
		for ctx.Err() == nil && o.adviseNext(ctx) {
			hvtick.Wake(o.wakePlan)
		}
	}
}

// adviseNext sends the next advice request and reports whether there was one.
func (o *Owner) adviseNext(ctx context.Context) bool {
	o.mu.Lock()
	q, ok := o.cell.NextAdviceRequest(o.options.Clock.Now())
	o.mu.Unlock()
	if !ok {
		return false
	}
	tickets, valid, err := o.advise(ctx, q)
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		o.cell.AdviceFailed(o.options.Clock.Now(), q, err)
		return true
	}
	o.cell.AdviceReceived(o.options.Clock.Now(), q, tickets, valid)
	return true
}

func (o *Owner) advise(ctx context.Context, q hvcell.AdviceRequest) (map[string]string, time.Duration, error) {
	if o.options.Adviser == nil {
		return nil, 0, failure("advise", hv.Unavailable, "the settings name no advice service")
	}
	start := o.options.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, q.MaxDuration()+adviceMargin)
	defer cancel()
	tickets, valid, err := o.options.Adviser.Advise(ctx, q.Step, q.ExecutorIDs)
	o.options.Metrics.Observe("hv_advice_us", "", "", o.options.Clock.Now().Sub(start))
	return tickets, valid, err
}
