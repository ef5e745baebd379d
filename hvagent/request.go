package hvagent

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvslot"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// retryAfter is the time after which a refused request may be sent again.
	retryAfter = time.Second
	// settleTimeout bounds the wait for the end of a request that runs.
	settleTimeout = 5 * time.Second
)

// serveRun runs a request of a gate, or promises that it never runs.
func (s *service) serveRun(ctx context.Context, _ *hvwire.Conn, req hv.Request) (hv.Response, error) {
	received := s.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Remaining.Std())
	defer cancel()
	if req.Service != s.name {
		return s.ended(req, notRun(req, errorf("run", hv.Unavailable, "service %q is not here", req.Service))), nil
	}
	if !keyed(req) {
		return s.ended(req, s.run(ctx, req, nil, received)), nil
	}
	return s.ended(req, s.runKeyed(ctx, req, received)), nil
}

// runKeyed runs the first request with a key; others get its answer.
func (s *service) runKeyed(ctx context.Context, req hv.Request, received time.Time) hv.Response {
	release := s.keys.enter(req.IdempotencyKey)
	defer release()
	e, first, err := s.keys.memory.Begin(req.IdempotencyKey, digest(req))
	switch {
	case err != nil:
		return refusal(req, err)
	case first:
		return s.run(ctx, req, e, received)
	}
	select {
	case <-e.Done():
		ans := e.Response()
		ans.ID = req.ID
		return ans
	case <-ctx.Done():
		return unknown(req, "an earlier request with the key still runs")
	}
}

// run takes a request through the slots to the upstream. The entry is that of
// its key, or nil.
func (s *service) run(ctx context.Context, req hv.Request, e *hvkey.Entry, received time.Time) hv.Response {
	var check func() error
	if e != nil {
		check = func() error { return s.keys.memory.CheckOwnership(req.IdempotencyKey) }
	}
	t, err := s.slots.Admit(req, received, check)
	if err == nil {
		err = s.decided(ctx, t)
	}
	if err != nil {
		return s.refuse(req, e, err)
	}
	begun := s.clock.Now()
	s.metric.Observe(metricWaited, req.Caller, req.Class, begun.Sub(received))
	ans := s.upstream.forward(outliving(ctx), req, received.Add(req.Remaining.Std()).Sub(begun))
	if ans.Outcome != hv.NotRun {
		took := s.clock.Now().Sub(begun)
		s.latency.Add(took)
		s.metric.Observe(metricTook, req.Caller, req.Class, took)
	}
	s.finish(t, e, ans)
	return ans
}

// decided waits for the decision of the slots. A request that still waits at
// its deadline never runs.
func (s *service) decided(ctx context.Context, t *hvslot.Ticket) error {
	select {
	case <-t.Decided():
	case <-ctx.Done():
		s.slots.Cancel(t, errorf("wait", hv.Expired, "the deadline passed in the queue"))
		<-t.Decided()
	}
	return t.Err()
}

// refuse answers a request that the slots did not start, and frees its key
// unless a request with the same identifier may have run.
func (s *service) refuse(req hv.Request, e *hvkey.Entry, err error) hv.Response {
	ans := refusal(req, err)
	switch {
	case e == nil:
	case ans.Outcome == hv.Unknown:
		s.keys.memory.Finish(e, ans)
	default:
		s.keys.memory.Abandon(e, ans.Reason)
	}
	return ans
}

// serveSettle answers what became of a request and bars it from starting.
func (s *service) serveSettle(ctx context.Context, _ *hvwire.Conn, m hvwire.Settle) (hv.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	ans, err := s.slots.Settle(ctx, m.ID, m.Age.Std())
	logInfo(s.logger, "msg", "settled", "request", m.ID, "outcome", ans.Outcome, "err", err)
	return ans, err
}

// refusal translates an error of slots or keys into an answer.
func refusal(req hv.Request, err error) hv.Response {
	if hv.KindOf(err) == hv.Uncertain {
		return unknown(req, err.Error())
	}
	return notRun(req, err)
}

func notRun(req hv.Request, err error) hv.Response {
	return hv.Response{
		ID: req.ID, Outcome: hv.NotRun, Reason: err.Error(), Kind: hv.KindOf(err), RetryAfter: hv.Duration(retryAfter),
	}
}

func unknown(req hv.Request, reason string) hv.Response {
	return hv.Response{ID: req.ID, Outcome: hv.Unknown, Reason: reason}
}
