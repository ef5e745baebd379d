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
	// settleTimeout bounds how long settle waits for a running request to end.
	settleTimeout = 5 * time.Second
)

// serveRun runs a request from a gate. With the outcome not-run, the request is
// guaranteed never to run.
func (s *service) serveRun(ctx context.Context, _ *hvwire.Conn, req hv.Request) (hv.Response, error) {
	received := s.clock.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Remaining.Std())
	defer cancel()
	if req.Service != s.name {
		return s.recordOutcome(req, notRun(req, errorf("run", hv.Unavailable, "service %q is not served by this side", req.Service))), nil
	}
	if !keyed(req) {
		return s.recordOutcome(req, s.run(ctx, req, nil, received)), nil
	}
	return s.recordOutcome(req, s.runKeyed(ctx, req, received)), nil
}

// runKeyed runs the first request with a key; later ones get its response.
func (s *service) runKeyed(ctx context.Context, req hv.Request, received time.Time) hv.Response {
	release := s.keys.trackRequest(req.IdempotencyKey)
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
		resp := e.Response()
		resp.ID = req.ID
		return resp
	case <-ctx.Done():
		return unknown(req, "an earlier request with this key is still running")
	}
}

// run waits for a slot and forwards the request to the upstream. e is the entry
// of its key, or nil.
func (s *service) run(ctx context.Context, req hv.Request, e *hvkey.Entry, received time.Time) hv.Response {
	var check func() error
	if e != nil {
		check = func() error { return s.keys.memory.CheckOwnership(req.IdempotencyKey) }
	}
	t, err := s.slots.Admit(req, received, check)
	if err == nil {
		err = s.awaitDecision(ctx, t)
	}
	if err != nil {
		return s.refuse(req, e, err)
	}
	started := s.clock.Now()
	s.metric.Observe(metricWaited, req.Caller, req.Class, started.Sub(received))
	number := s.latency.Begin()
	resp := s.upstream.forward(withoutCancel(ctx), req, received.Add(req.Remaining.Std()).Sub(started))
	s.latency.End(number)
	if resp.Outcome != hv.NotRun {
		took := s.clock.Now().Sub(started)
		s.latency.Add(took)
		s.metric.Observe(metricTook, req.Caller, req.Class, took)
	}
	s.finish(t, e, resp)
	return resp
}

// awaitDecision waits until it is decided whether the request runs. A request
// that is still queued at its deadline never runs.
func (s *service) awaitDecision(ctx context.Context, t *hvslot.Ticket) error {
	select {
	case <-t.Decided():
	case <-ctx.Done():
		s.slots.Cancel(t, errorf("wait", hv.Expired, "the deadline passed in the queue"))
		<-t.Decided()
	}
	return t.Err()
}

// refuse returns the response to a request that was not started, and frees its
// key unless a request with the same identifier may have run.
func (s *service) refuse(req hv.Request, e *hvkey.Entry, err error) hv.Response {
	resp := refusal(req, err)
	switch {
	case e == nil:
	case resp.Outcome == hv.Unknown:
		s.keys.memory.Finish(e, resp)
	default:
		s.keys.memory.Abandon(e, resp.Reason)
	}
	return resp
}

// serveSettle returns the outcome of a request and blocks it from starting.
func (s *service) serveSettle(ctx context.Context, _ *hvwire.Conn, m hvwire.Settle) (hv.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	resp, err := s.slots.Settle(ctx, m.ID, m.Age.Std())
	logInfo(s.logger, "msg", "request settled", "request", m.ID, "outcome", resp.Outcome, "err", err)
	return resp, err
}

// refusal converts an error of the slots or of the key memory to a response.
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
