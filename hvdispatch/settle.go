package hvdispatch

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// SettleTimeout bounds the search for the outcome of a request without a
	// usable answer. A side that lost its connection dials again after 500 ms.
	SettleTimeout = time.Second
	// settleInterval is the pause between looks for a new connection.
	settleInterval = 20 * time.Millisecond
	// settleValid bounds the age of an answer to settle. A side blocks the
	// request for 60 s, so a later not-run would promise too much; a paused
	// gate can find such an answer when it wakes.
	settleValid = 30 * time.Second
)

// settle asks the side what became of a request that was sent; got is what
// came back, if anything. It goes on after the caller has left, because the
// request must not start any more and its outcome is counted.
func (d *Dispatcher) settle(ctx context.Context, side *hvmember.Side, req hv.Request, sent time.Time, got hv.Response, cause error) hv.Response {
	if ctx.Err() == nil {
		d.deps.Members.Failed(side.Host.Name, side.Incarnation)
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), SettleTimeout)
	defer cancel()
	ans, err := d.ask(ctx, side, req, sent)
	switch {
	case err != nil:
		return unknown(req, "no usable answer: "+cause.Error()+"; settling: "+err.Error())
	case ans.Outcome == hv.NotRun && got.ID == req.ID && got.Outcome != hv.NotRun:
		// The side answered this request before, so the answers contradict.
		return unknown(req, "no usable answer: "+cause.Error())
	}
	return ans
}

func ended(c hvmember.Conn) bool {
	select {
	case <-c.Done():
		return true
	default:
		return false
	}
}

// ask sends settle on the connection of the request, or on a later one of the
// same side process. Another incarnation can't know the request.
func (d *Dispatcher) ask(ctx context.Context, side *hvmember.Side, req hv.Request, sent time.Time) (hv.Response, error) {
	tick := time.NewTicker(settleInterval)
	defer tick.Stop()
	conn := side.Conn
	for {
		if conn != nil {
			var ans hv.Response
			asked := d.deps.Clock.Now()
			question := hvwire.Settle{ID: req.ID, Key: req.IdempotencyKey, Age: hv.Duration(asked.Sub(sent))}
			err := conn.Call(ctx, hvwire.MethodSettle, question, &ans)
			if err == nil && d.deps.Clock.Now().Sub(asked) > settleValid {
				return hv.Response{}, errorf("settle", hv.Expired, "the answer is older than %s", settleValid)
			}
			if err == nil {
				return ans, verify(req, ans)
			}
			if !ended(conn) && !hvwire.NotSent(err) {
				return ans, err
			}
		}
		select {
		case <-ctx.Done():
			return hv.Response{}, ctx.Err()
		case <-tick.C:
		}
		now, alive := d.deps.Members.Get(side.Host.Name)
		if now.Incarnation != side.Incarnation {
			return hv.Response{}, errorf("settle", hv.Uncertain, "the side process was replaced")
		}
		conn = nil
		if alive {
			conn = now.Conn
		}
	}
}
