package hvdispatch

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// SettleTimeout bounds the time to find out the outcome of a request
	// without a usable response. A side that lost its connection dials again
	// after 500 ms.
	SettleTimeout = time.Second
	// settlePollInterval is the interval between checks for a new connection.
	settlePollInterval = 20 * time.Millisecond
	// settleMaxAge bounds the time from a settle call to the use of its
	// response. A side blocks the request for 60 s only, so the request could
	// still run after an older not-run response. A gate process that was
	// suspended can receive such a response when it resumes.
	settleMaxAge = 30 * time.Second
)

// settle asks the side for the outcome of a request that was sent at sentAt.
// received is the unusable response, if there is one, and cause the reason why
// it can't be used. settle continues after the caller has disconnected, because
// the request must be kept from starting and its outcome is counted.
func (d *Dispatcher) settle(ctx context.Context, side *hvmember.Side, req hv.Request, sentAt time.Time, received hv.Response, cause error) hv.Response {
	if ctx.Err() == nil {
		d.deps.Members.CallFailed(side.Host.Name, side.Incarnation)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), SettleTimeout)
	defer cancel()
	resp, err := d.requestOutcome(ctx, side, req, sentAt)
	switch {
	case err != nil:
		return unknown(req, "no usable response: "+cause.Error()+"; settle failed: "+err.Error())
	case resp.Outcome == hv.NotRun && received.ID == req.ID && received.Outcome != hv.NotRun:
		// The side has responded to this request with another outcome, so its two
		// responses contradict each other.
		return unknown(req, "no usable response: "+cause.Error())
	}
	return resp
}

func connClosed(c hvmember.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// requestOutcome sends settle over the connection of the request, or over a
// later one of the same side process. Another incarnation of the side does not
// know the request.
func (d *Dispatcher) requestOutcome(ctx context.Context, side *hvmember.Side, req hv.Request, sentAt time.Time) (hv.Response, error) {
	tick := time.NewTicker(settlePollInterval)
	defer tick.Stop()
	conn := side.Conn
	for {
		if conn != nil {
			var resp hv.Response
			askedAt := d.deps.Clock.Now()
			settleReq := hvwire.Settle{ID: req.ID, Key: req.IdempotencyKey, Age: hv.Duration(askedAt.Sub(sentAt))}
			err := conn.Call(ctx, hvwire.MethodSettle, settleReq, &resp)
			if err == nil && d.deps.Clock.Now().Sub(askedAt) > settleMaxAge {
				return hv.Response{}, errorf("settle", hv.Expired, "the response took longer than %s", settleMaxAge)
			}
			if err == nil {
				return resp, verify(req, resp)
			}
			if !connClosed(conn) && !hvwire.NotSent(err) {
				return resp, err
			}
		}
		select {
		case <-ctx.Done():
			return hv.Response{}, ctx.Err()
		case <-tick.C:
		}
		current, alive := d.deps.Members.Get(side.Host.Name)
		if current.Incarnation != side.Incarnation {
			return hv.Response{}, errorf("settle", hv.Uncertain, "the side process was replaced")
		}
		conn = nil
		if alive {
			conn = current.Conn
		}
	}
}
