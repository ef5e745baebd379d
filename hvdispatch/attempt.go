package hvdispatch

import (
	"context"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// attempt sends a request to one side and returns its outcome on that side.
func (d *Dispatcher) attempt(ctx context.Context, p *pendingRequest, side *hvmember.Side, req hv.Request) hv.Response {
	if reason := d.unusableReason(side); reason != "" {
		return notRun(req, reason, defaultRetryAfter)
	}
	sentAt := d.deps.Clock.Now()
	d.deps.Metrics.Add(metricDispatches, 1)
	d.outstanding.add(side.Host.Name, 1)
	defer d.outstanding.add(side.Host.Name, -1)

	p.markSent()
	var resp hv.Response
	err := side.Conn.Call(ctx, hvwire.MethodRun, req, &resp)
	duration := d.deps.Clock.Now().Sub(sentAt)
	if err == nil {
		err = verify(req, resp)
	}
	switch {
	case err == nil:
		d.deps.Picker.Observe(req.Service, side.Host.Name, duration, classifyResponse(resp))
	case hvwire.NotSent(err):
		// The side can't have received the request, so settle is not needed.
		d.deps.Picker.Observe(req.Service, side.Host.Name, duration, hv.Refused)
		resp = notRun(req, err.Error(), defaultRetryAfter)
	default:
		d.deps.Picker.Observe(req.Service, side.Host.Name, duration, classifyFailure(ctx, err))
		resp = d.settle(ctx, side, req, sentAt, resp, err)
	}
	if resp.Outcome == hv.NotRun {
		p.markNotRun()
	}
	return resp
}

// unusableReason returns why a request must not be sent to a side that has
// become unusable since it was chosen, or "" if it may be sent.
func (d *Dispatcher) unusableReason(side *hvmember.Side) string {
	current, alive := d.deps.Members.Get(side.Host.Name)
	switch {
	case !alive || current.Conn != side.Conn || connClosed(side.Conn):
		return "the connection to the upstream has ended"
	case !current.LeavingSince.IsZero():
		return "the upstream is leaving"
	}
	return ""
}

func classifyResponse(resp hv.Response) hv.DispatchResult {
	switch {
	case resp.Outcome == hv.NotRun:
		return hv.Refused
	case resp.Outcome == hv.Done && resp.Status < minServerError:
		return hv.Succeeded
	}
	return hv.Failed
}

// classifyFailure classifies a dispatch without a usable response. A caller that
// disconnects is no evidence of a faulty upstream.
func classifyFailure(ctx context.Context, err error) hv.DispatchResult {
	switch {
	case errors.Is(err, context.Canceled):
		return hv.Refused
	case ctx.Err() != nil:
		return hv.TimedOut
	}
	return hv.Failed
}
