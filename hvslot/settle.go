package hvslot

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// horizon is how long a settled request stays blocked and its answer is kept.
const horizon = 60 * time.Second

// Settle returns the outcome of a request and blocks one that has not started
// from ever starting. Age is the time that passed at the gate since it sent
// the request. While the request runs, Settle waits for its end.
func (s *Slots) Settle(ctx context.Context, id string, age time.Duration) (hv.Answer, error) {
	for {
		ans, wait := s.settle(id, age)
		if wait == nil {
			return ans, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			return hv.Answer{}, errorf("settle", hv.Uncertain, "request %s still runs", id)
		}
	}
}

func (s *Slots) settle(id string, age time.Duration) (hv.Answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ans, ok := s.answers.byID[id]; ok {
		return ans.Answer, nil
	}
	if t := s.active[id]; t != nil && t.state == running {
		return hv.Answer{}, t.done
	}
	if s.started.has(id) {
		return unknown(id, "the request ran, but its answer is no longer recorded"), nil
	}
	return s.block(id, age), nil
}

// block answers not-run only if the memory of started requests reaches back
// to before the gate sent this one, and the block will be remembered.
func (s *Slots) block(id string, age time.Duration) hv.Answer {
	now := s.clock.Now()
	if !s.started.lost.Before(now.Add(-age - horizon)) {
		return unknown(id, "the request is older than the memory of started requests")
	}
	if !s.blocked.holds(now.Add(-horizon)) {
		return unknown(id, "too many requests were settled")
	}
	s.blocked.add(id, now)
	if t := s.active[id]; t != nil {
		s.cancel(t, errorf("wait", hv.Conflict, "request %s was settled as not run", id))
		s.dispatch()
	}
	return hv.Answer{ID: id, Outcome: hv.NotRun, Reason: "the request had not started"}
}

func unknown(id, reason string) hv.Answer {
	return hv.Answer{ID: id, Outcome: hv.Unknown, Reason: reason}
}
