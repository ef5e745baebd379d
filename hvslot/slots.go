// Package hvslot manages the request slots of one upstream.
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
	// Slots is the number of requests that may run at a time.
	Slots int
	// Connections is the number of requests that may be admitted at a time,
	// running and waiting ones together.
	Connections int
}

// Slots admits requests and decides which of them run. It is safe for
// concurrent use.
type Slots struct {
	clock      hv.Clock
	violations hv.ViolationReporter

	mu        sync.Mutex
	config    Config
	active    map[string]*Ticket
	waiting   []*Ticket
	running   int
	started   *idSet
	blocked   *idSet
	responses *responseCache
	draining  bool
	idle      chan struct{}
}

type state int

const (
	waiting state = iota
	running
	ended
)

// Ticket is an admitted request.
type Ticket struct {
	id        string
	classRank int
	deadline  time.Time
	check     func() error

	state   state
	err     error
	decided chan struct{}
	done    chan struct{}
}

// Decided is closed when it is decided whether the request runs.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// Err returns nil if the request runs; Finish must then be called. Otherwise it
// returns the reason why the request will never run. Err must not be called
// before Decided is closed.
func (t *Ticket) Err() error { return t.err }

// New returns slots without requests.
func New(config Config, clock hv.Clock, violations hv.ViolationReporter) *Slots {
	return &Slots{
		config: config, clock: clock, violations: violations,
		active:    make(map[string]*Ticket),
		started:   newIDSet(startedPerGeneration),
		blocked:   newIDSet(blockedPerGeneration),
		responses: newResponseCache(),
		idle:      make(chan struct{}),
	}
}

// Admit admits a request. Its deadline counts from the time at which it was
// received. check, if not nil, is called under the lock of the slots right before
// the request starts; if it returns an error, the request never runs. If Admit
// returns an error of kind Uncertain, a request with this identifier may have
// run; after any other error this request never runs.
func (s *Slots) Admit(req hv.Request, received time.Time, check func() error) (*Ticket, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &Ticket{
		id: req.ID, classRank: classRank(req.Class), deadline: received.Add(req.Remaining.Std()),
		check: check, decided: make(chan struct{}), done: make(chan struct{}),
	}
	if err := s.checkAdmission(t); err != nil {
		return nil, err
	}
	if err := s.add(t); err != nil {
		return nil, err
	}
	s.startWaiting()
	return t, nil
}

// add is the only place where a request is admitted.
func (s *Slots) add(t *Ticket) error {
	if s.draining {
		s.violations(7, fmt.Sprintf("request %s was admitted by a draining upstream", t.id))
		return errorf("enter", hv.Unavailable, "the upstream is draining")
	}
	s.active[t.id] = t
	s.enqueue(t)
	return nil
}

func classRank(c hv.Class) int {
	if i := slices.Index(hv.Classes, c); i >= 0 {
		return i
	}
	return len(hv.Classes)
}

func (s *Slots) checkAdmission(t *Ticket) error {
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
		s.dropExpired()
	}
	if len(s.active) >= s.config.Connections {
		return errorf("enter", hv.Full, "all %d connections are in use", s.config.Connections)
	}
	return nil
}

// enqueue inserts a request into the queue, which is ordered by class and then
// by deadline.
func (s *Slots) enqueue(t *Ticket) {
	i, _ := slices.BinarySearchFunc(s.waiting, t, func(a, b *Ticket) int {
		if a.classRank != b.classRank {
			return a.classRank - b.classRank
		}
		if a.deadline.After(b.deadline) {
			return 1
		}
		// Requests with equal deadlines stay in the order of arrival.
		return -1
	})
	s.waiting = slices.Insert(s.waiting, i, t)
}

func (s *Slots) startWaiting() {
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
		s.violations(5, fmt.Sprintf("request %s starts although it was settled or started before", t.id))
		s.drop(t, errorf("wait", hv.Internal, "the request was settled or started before"))
		return
	}
	s.started.add(t.id, now)
	t.state = running
	s.running++
	close(t.decided)
}

// drop ends a waiting request that will never run.
func (s *Slots) drop(t *Ticket, reason error) {
	t.state, t.err = ended, reason
	delete(s.active, t.id)
	close(t.decided)
	close(t.done)
}

// dropExpired drops the waiting requests whose deadlines have passed.
func (s *Slots) dropExpired() {
	now := s.clock.Now()
	s.waiting = slices.DeleteFunc(s.waiting, func(t *Ticket) bool {
		expired := !now.Before(t.deadline)
		if expired {
			s.drop(t, errorf("wait", hv.Expired, "the deadline passed in the queue"))
		}
		return expired
	})
}

// Cancel drops a waiting request, so that it never runs. It has no effect on a
// request that runs already.
func (s *Slots) Cancel(t *Ticket, reason error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancel(t, reason)
	s.startWaiting()
}

func (s *Slots) cancel(t *Ticket, reason error) {
	if i := slices.Index(s.waiting, t); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
		s.drop(t, reason)
	}
}

// Finish releases the slot of a request and records its response for Settle.
func (s *Slots) Finish(t *Ticket, resp hv.Response) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t.state != running {
		return
	}
	t.state = ended
	delete(s.active, t.id)
	s.running--
	s.responses.add(resp, s.clock.Now())
	close(t.done)
	s.startWaiting()
}

// Load returns the numbers of running and waiting requests.
func (s *Slots) Load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.running, len(s.waiting)
}

// SetConfig changes the limits. If they become lower, running requests beyond
// them still finish, and admitted requests stay admitted.
func (s *Slots) SetConfig(config Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config = config
	s.startWaiting()
}

// Drain refuses all further requests. The returned channel is closed when all
// admitted requests have ended.
func (s *Slots) Drain() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	s.startWaiting()
	return s.idle
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}
