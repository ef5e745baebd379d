package hvagent

import (
	"context"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
)

// attemptLocks holds one lock per attempt, which serializes the calls to the
// worker for that attempt, so that a stop never overtakes a start.
type attemptLocks struct {
	mu   sync.Mutex
	held map[hv.Attempt]*attemptLock
}

type attemptLock struct {
	sem   chan struct{}
	users int
}

func newAttemptLocks() *attemptLocks { return &attemptLocks{held: map[hv.Attempt]*attemptLock{}} }

// lock acquires the lock of an attempt. It fails if ctx ends first.
func (s *attemptLocks) lock(ctx context.Context, a hv.Attempt) (release func(), err error) {
	s.mu.Lock()
	l := s.held[a]
	if l == nil {
		l = &attemptLock{sem: make(chan struct{}, 1)}
		s.held[a] = l
	}
	l.users++
	s.mu.Unlock()
	select {
	case l.sem <- struct{}{}:
		return func() { <-l.sem; s.unref(a, l) }, nil
	case <-ctx.Done():
		s.unref(a, l)
		return nil, errorf("lock", hv.Unavailable, "another call for %s is in progress", a)
	}
}

func (s *attemptLocks) unref(a hv.Attempt, l *attemptLock) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l.users--; l.users == 0 {
		delete(s.held, a)
	}
}
