package hvdispatch

import (
	"context"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// attempt sends a request to one side and returns its outcome there.
func (d *Dispatcher) attempt(ctx context.Context, p *pending, side *hvmember.Side, req hv.Request) hv.Answer {
	if reason := d.gone(side); reason != "" {
		return notRun(req, reason, defaultRetry)
	}
	start := d.deps.Clock.Now()
	d.deps.Metrics.Add(metricDispatches, 1)
	d.outstanding.add(side.Host.Name, 1)
	defer d.outstanding.add(side.Host.Name, -1)

	p.sent()
	var ans hv.Answer
	err := side.Conn.Call(ctx, hvwire.MethodRun, req, &ans)
	took := d.deps.Clock.Now().Sub(start)
	if err == nil {
		err = verify(req, ans)
	}
	switch {
	case err == nil:
		d.deps.Picker.Observe(req.Service, side.Host.Name, took, classify(ans))
	case hvwire.NotSent(err):
		// The side can't have the request, so there is nothing to settle.
		d.deps.Picker.Observe(req.Service, side.Host.Name, took, hv.Refused)
		ans = notRun(req, err.Error(), defaultRetry)
	default:
		d.deps.Picker.Observe(req.Service, side.Host.Name, took, failure(ctx, err))
		ans = d.settle(ctx, side, req, start, ans, err)
	}
	if ans.Outcome == hv.NotRun {
		p.disowned()
	}
	return ans
}

// gone says why a side that was chosen must not get the request after all.
func (d *Dispatcher) gone(side *hvmember.Side) string {
	now, alive := d.deps.Members.Get(side.Host.Name)
	switch {
	case !alive || now.Conn != side.Conn || ended(side.Conn):
		return "the connection to the upstream has ended"
	case !now.Left.IsZero():
		return "the upstream is leaving"
	}
	return ""
}

func classify(ans hv.Answer) hv.Result {
	switch {
	case ans.Outcome == hv.NotRun:
		return hv.Refused
	case ans.Outcome == hv.Done && ans.Status < serverErrors:
		return hv.Succeeded
	}
	return hv.Failed
}

// failure classifies a dispatch without a usable answer. A caller that goes
// away says nothing about the upstream.
func failure(ctx context.Context, err error) hv.Result {
	switch {
	case errors.Is(err, context.Canceled):
		return hv.Refused
	case ctx.Err() != nil:
		return hv.TimedOut
	}
	return hv.Failed
}
