// Package hvslot keeps the request slots of one upstream.
package hvslot

import (
	"fmt"
	"slices"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Config holds the limits of an upstream.
type Config struct {
	// Slots is how many requests run at a time.
	Slots int
	// Connections is how many requests are admitted, running and waiting.
	Connections int
}

// Slots admits requests and decides which run. It is safe for concurrent use.
type Slots struct {
	clock      hv.Clock
	violations hv.Violations

	mu       sync.Mutex
	config   Config
	active   map[string]*Ticket
	waiting  []*Ticket
	running  int
	started  *idset
	blocked  *idset
	answers  *answers
	draining bool
	idle     chan struct{}
}

type state int

const (
	waiting state = iota
	running
	ended
)

// Ticket is an admitted request.
type Ticket struct {
	id       string
	rank     int
	deadline time.Time
	check    func() error

	state   state
	reason  error
	decided chan struct{}
	done    chan struct{}
}

// Decided is closed when it is decided whether the request runs.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Err reports the decision: nil means that the request runs, and its user
// must call Finish. It may be called when Decided is closed.
func (t *Ticket) Err() error { return t.reason }

// New returns free slots.
func New(config Config, clock hv.Clock, violations hv.Violations) *Slots {
	return &Slots{
		config: config, clock: clock, violations: violations,
		active:  make(map[string]*Ticket),
		started: newIDSet(startedIDs),
		blocked: newIDSet(blockedIDs),
		answers: newAnswers(),
		idle:    make(chan struct{}),
	}
}

// Admit admits a request that was received at a given time. The check is
// evaluated again in the step that starts the request; an error keeps it from
// running. An error of kind Uncertain means that a request with this
// identifier may have run, any other error that this one never will.
func (s *Slots) Admit(req hv.Request, received time.Time, check func() error) (*Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &Ticket{
		id: req.ID, rank: rank(req.Class), deadline: received.Add(req.Left.Std()),
		check: check, decided: make(chan struct{}), done: make(chan struct{}),
	}
	if err := s.refuse(t); err != nil {
		return nil, err
	}
	if err := s.add(t); err != nil {
		return nil, err
	}
	s.dispatch()
	return t, nil
}

// add is the only place where a request is taken.
func (s *Slots) add(t *Ticket) error {
	if s.draining {
		s.violations(7, fmt.Sprintf("request %s is taken by a draining upstream", t.id))
		return errorf("enter", hv.Unavailable, "the upstream is draining")
	}
	s.active[t.id] = t
	s.queue(t)
	return nil
}

func rank(c hv.Class) int {
	if i := slices.Index(hv.Classes, c); i >= 0 {
		return i
	}
	return len(hv.Classes)
}

func (s *Slots) refuse(t *Ticket) error {
	switch {
	case s.active[t.id] != nil || s.started.has(t.id):
		return errorf("enter", hv.Uncertain, "request %s was sent twice", t.id)
	case s.blocked.has(t.id):
		return errorf("enter", hv.Conflict, "request %s was settled as not run", t.id)
	case s.draining:
		return errorf("enter", hv.Unavailable, "the upstream is draining")
	case !s.clock.Now().Before(t.deadline):
		return errorf("enter", hv.Expired, "the deadline passed before the request arrived")
	case len(s.active) >= s.config.Connections:
		s.expire()
	}
	if len(s.active) >= s.config.Connections {
		return errorf("enter", hv.Full, "all %d connections are in use", s.config.Connections)
	}
	return nil
}

// queue inserts in the order of class, then deadline.
func (s *Slots) queue(t *Ticket) {
	i, _ := slices.BinarySearchFunc(s.waiting, t, func(a, b *Ticket) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		if a.deadline.After(b.deadline) {
			return 1
		}
		// Equal deadlines keep the order of arrival.
		return -1
	})
	s.waiting = slices.Insert(s.waiting, i, t)
}

func (s *Slots) dispatch() {
	for s.running < s.config.Slots && len(s.waiting) > 0 {
		t := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.decide(t)
	}
	if s.draining && len(s.active) == 0 {
		closeOnce(s.idle)
	}
}

// decide is the only place where a request starts to run.
func (s *Slots) decide(t *Ticket) {
	now := s.clock.Now()
	if !now.Before(t.deadline) {
		s.drop(t, errorf("wait", hv.Expired, "the deadline passed in the queue"))
		return
	}
	if t.check != nil {
		if err := t.check(); err != nil {
			s.drop(t, err)
			return
		}
	}
	if t.state != waiting || s.blocked.has(t.id) || s.started.has(t.id) {
		s.violations(5, fmt.Sprintf("request %s starts after it was settled", t.id))
		s.drop(t, errorf("wait", hv.Internal, "request was settled before"))
		return
	}
	s.started.add(t.id, now)
	t.state = running
	s.running++
	close(t.decided)
}

// drop ends a waiting request that will never run.
func (s *Slots) drop(t *Ticket, reason error) {
	t.state, t.reason = ended, reason
	delete(s.active, t.id)
	close(t.decided)
	close(t.done)
}

// expire drops waiting requests whose deadlines have passed.
func (s *Slots) expire() {
	now := s.clock.Now()
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Ticket) bool {
		late := !now.Before(t.deadline)
		if late {
			s.drop(t, errorf("wait", hv.Expired, "the deadline passed in the queue"))
		}
		return late
	})
}

// Cancel keeps a waiting request from running. A request that already runs
// is not affected.
func (s *Slots) Cancel(t *Ticket, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel(t, reason)
	s.dispatch()
}

func (s *Slots) cancel(t *Ticket, reason error) {
	if i := slices.Index(s.waiting, t); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.drop(t, reason)
	}
}

// Finish gives the slot of a request back and records its answer for Settle.
func (s *Slots) Finish(t *Ticket, ans hv.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != running {
		return
	}
	t.state = ended
	delete(s.active, t.id)
	s.running--
	s.answers.add(ans, s.clock.Now())
	close(t.done)
	s.dispatch()
}

// Load returns the numbers of running and waiting requests.
func (s *Slots) Load() (run, wait int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

// SetConfig changes the limits. Requests beyond lower limits finish.
func (s *Slots) SetConfig(config Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
	s.dispatch()
}

// Drain refuses all further requests. The returned channel is closed when the
// admitted ones have ended.
func (s *Slots) Drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.dispatch()
	return s.idle
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
