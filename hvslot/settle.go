package hvslot

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// settleRetention is the time for which a settled request stays blocked and the
// response to a finished request is kept.
const settleRetention = 60 * time.Second

// Settle returns the outcome of a request. If the request has not started,
// Settle blocks it, so that it never starts. While the request runs, Settle
// waits for its end. age is the time since the gate sent the request, measured
// at the gate.
func (s *Slots) Settle(ctx context.Context, id string, age time.Duration) (hv.Response, error) {
	for {
		resp, done := s.settle(id, age)
		if done == nil {
			return resp, nil
		}
		select {
		case <-done:
		case <-ctx.Done():
			return hv.Response{}, errorf("settle", hv.Uncertain, "request %s still runs", id)
		}
	}
}

func (s *Slots) settle(id string, age time.Duration) (hv.Response, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if resp, ok := s.responses.byID[id]; ok {
		return resp.Response, nil
	}
	if t := s.active[id]; t != nil && t.state == running {
		return hv.Response{}, t.done
	}
	if s.started.has(id) {
		return unknown(id, "the request ran, but its response is not in the cache"), nil
	}
	return s.block(id, age), nil
}

// block blocks a request that has not started and returns not-run. It returns
// unknown instead if the set of started requests does not reach back to
// settleRetention before the gate sent this one, or if the set of blocked
// requests is full and could not keep the block for settleRetention.
func (s *Slots) block(id string, age time.Duration) hv.Response {
	now := s.clock.Now()
	if !s.started.completeSince.Before(now.Add(-age - settleRetention)) {
		return unknown(id, "the record of started requests does not reach back to this request")
	}
	if !s.blocked.canRetain(now.Add(-settleRetention)) {
		return unknown(id, "too many requests were settled as not run to block another one")
	}
	s.blocked.add(id, now)
	if t := s.active[id]; t != nil {
		s.cancel(t, errorf("wait", hv.Conflict, "request %s was settled as not run", id))
		s.startWaiting()
	}
	return hv.Response{ID: id, Outcome: hv.NotRun, Reason: "the request had not started"}
}

func unknown(id, reason string) hv.Response {
	return hv.Response{ID: id, Outcome: hv.Unknown, Reason: reason}
}
