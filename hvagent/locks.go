package hvagent

import (
	"context"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
)

// locks orders the calls to the worker that concern one attempt, so that a
// stop never overtakes a start.
type locks struct {
	mu   sync.Mutex
	held map[hv.Attempt]*lock
}

type lock struct {
	free  chan struct{}
	users int
}

func newLocks() *locks { return &locks{held: map[hv.Attempt]*lock{}} }

// take waits for the lock of an attempt until ctx ends.
func (s *locks) take(ctx context.Context, a hv.Attempt) (release func(), err error) {
	s.mu.Lock()
	l := s.held[a]
	if l == nil {
		l = &lock{free: make(chan struct{}, 1)}
		s.held[a] = l
	}
	l.users++
	s.mu.Unlock()
	select {
	case l.free <- struct{}{}:
		return func() { <-l.free; s.leave(a, l) }, nil
	case <-ctx.Done():
		s.leave(a, l)
		return nil, errorf("lock", hv.Unavailable, "another call for %s is in progress", a)
	}
}

func (s *locks) leave(a hv.Attempt, l *lock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.users--; l.users == 0 {
		delete(s.held, a)
	}
}
