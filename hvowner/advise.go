package hvowner

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvcell"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

// adviceSlack is added to the time that an answer takes by the terms of its
// queue, for the network and for a question before it.
const adviceSlack = time.Second

// adviseLoop asks which hosts may run the steps that wait for an answer, one
// question at a time, as the service takes no more from one machine.
func (o *Owner) adviseLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, o.wakeAdvise, tickInterval)
		for ctx.Err() == nil && o.ask(ctx) {
			hvtick.Wake(o.wakePlan)
		}
	}
}

// ask puts the next question and reports whether there was one.
func (o *Owner) ask(ctx context.Context) bool {
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
		return nil, 0, failure("advise", hv.Unavailable, "the settings name no service for advice")
	}
	began := o.options.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, q.Limit()+adviceSlack)
	defer cancel()
	tickets, valid, err := o.options.Adviser.Advise(ctx, q.Step, q.ExecutorIDs)
	o.options.Metrics.Observe("hv_advice_us", "", "", o.options.Clock.Now().Sub(began))
	return tickets, valid, err
}
