// Package hvadmit decides when a request may be dispatched and which requests
// are refused early.
package hvadmit

import (
	"context"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// noUpstreamRetry is the retry time while a service has no live slot. A
// restarted side announces itself within about a second.
const noUpstreamRetry = time.Second

// Admitter implements hibiscusvane.Admitter with weighted fair queueing. It is
// safe for concurrent use.
type Admitter struct {
	clock      hv.Clock
	violations func(invariant int, message string)
	// singleQueue puts all requests into one queue, for the baseline.
	singleQueue bool

	mu       sync.Mutex
	settings Settings
	services map[string]*service
}

var _ hv.Admitter = (*Admitter)(nil)

// New returns an admitter without slots; SetLimit adds them. The settings must
// have passed Check.
func New(clock hv.Clock, settings Settings, violations func(invariant int, message string)) *Admitter {
	return &Admitter{clock: clock, violations: violations, settings: settings, services: map[string]*service{}}
}

// SetLimit sets the number of requests of a service that may run at a time. A
// service without slots and without running or queued requests is removed.
func (a *Admitter) SetLimit(name string, slots int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		if slots == 0 {
			return
		}
		s = newService(a.settings, a.violations)
		a.services[name] = s
	}
	if slots != s.limit {
		s.configure(a.settings, slots)
	}
	s.dispatch(a.clock.Now())
	if slots == 0 && s.idle() {
		delete(a.services, name)
	}
}

// UpdateSettings replaces the settings, which must have passed Check.
func (a *Admitter) UpdateSettings(settings Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings = settings
	for _, s := range a.services {
		s.configure(settings, s.limit)
		s.dispatch(a.clock.Now())
	}
}

func (s *service) idle() bool {
	for _, c := range s.classes {
		if c.queued > 0 {
			return false
		}
	}
	return s.running == 0
}

// ClassLoad counts the requests of one class of a service.
type ClassLoad struct {
	Class   hv.Class `json:"class"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
}

// Load returns the limit of a service and the counts of its requests by class.
func (a *Admitter) Load(name string) (limit int, loads []ClassLoad) {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[name]
	if s == nil {
		return 0, nil
	}
	for _, c := range s.classes {
		loads = append(loads, ClassLoad{Class: c.name, Running: c.running, Queued: c.queued})
	}
	return s.limit, loads
}

// Admit implements hibiscusvane.Admitter.
func (a *Admitter) Admit(ctx context.Context, req hv.Request) (func(), time.Duration, error) {
	t, d := a.enqueue(req, nil)
	if t == nil {
		return nil, d.retryAfter, d.err
	}
	timer := time.NewTimer(t.deadline.Sub(a.clock.Now()))
	defer timer.Stop()
	select {
	case d = <-t.decision:
	case <-ctx.Done():
		d = a.cancel(t, "the caller canceled the request in the queue")
	case <-timer.C:
		d = a.cancel(t, "the deadline passed in the queue")
	}
	if d.err != nil {
		return nil, d.retryAfter, d.err
	}
	return func() { a.release(t) }, 0, nil
}

// enqueue queues a request, or returns a nil ticket and the refusal. The
// request may start before enqueue returns.
func (a *Admitter) enqueue(req hv.Request, notify func(error)) (*ticket, decision) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.singleQueue {
		req.Class, req.Caller = hv.Standard, "all"
	}
	s := a.services[req.Service]
	if s == nil || s.limit == 0 {
		return nil, decision{errorf("enter", hv.Unavailable, "no upstream of service %s is live", req.Service), noUpstreamRetry}
	}
	c := s.class(req.Class)
	if c == nil {
		return nil, decision{errorf("enter", hv.Invalid, "class %q is unknown", req.Class), maxRetry}
	}
	if req.Caller == overflowCaller {
		return nil, decision{errorf("enter", hv.Invalid, "the caller name is empty"), maxRetry}
	}
	f := c.flow(req.Caller, a.settings)
	now, remaining := a.clock.Now(), req.Remaining.Std()
	if remaining <= 0 {
		remaining = c.settings.DefaultDeadline.Std()
	}
	if v := c.checkAdmission(f, remaining); v.err != nil {
		return nil, v
	}
	t := newTicket(s, f, now.Add(remaining), notify)
	c.enqueue(t)
	s.dispatch(now)
	return t, decision{}
}

// checkAdmission decides whether a request must be refused on arrival. While a
// slot is free, no request is refused, so that a wrong estimate of the slot
// time is corrected by new samples. If the queue of the class is full, it may
// drop a request of another flow instead.
func (c *class) checkAdmission(f *flow, remaining time.Duration) decision {
	if c.service.running < c.service.limit {
		return decision{}
	}
	meanTime := time.Duration(c.meanSeconds * float64(time.Second))
	if wait := c.expectedWait(f, 1); wait+meanTime > remaining {
		return decision{errorf("enter", hv.Expired, "the expected wait of %v leaves no time to run before the deadline", wait.Round(time.Millisecond)), clampRetry(wait + meanTime - remaining)}
	}
	if c.queued < c.settings.QueueLimit {
		return decision{}
	}
	// The last request of the longest queue is dropped, so that a caller that
	// sends too much can't fill the queue at the expense of other callers of
	// its class.
	longestFlow := c.byQueueLength.first()
	if f.weightedLength(1) >= longestFlow.weightedLength(0) {
		return decision{errorf("enter", hv.Full, "the queue of class %s is full", c.name), clampRetry(c.expectedWait(f, 1))}
	}
	dropped := longestFlow.queue.Back().Value.(*ticket)
	c.remove(dropped)
	dropped.refuse(hv.Full, clampRetry(c.expectedWait(longestFlow, 1)), "the queue of class "+string(c.name)+" is full")
	return decision{}
}

// cancel ends the wait of a request whose caller no longer waits. If the
// request was admitted meanwhile, its slot is released.
func (a *Admitter) cancel(t *ticket, reason string) decision {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	switch t.state {
	case queued:
		t.flow.class.remove(t)
		t.refuse(hv.Expired, clampRetry(t.flow.class.expectedWait(t.flow, 0)), reason)
	case running:
		t.service.finish(now, t)
		return decision{errorf("wait", hv.Expired, "%s", reason), minRetry}
	case ended:
	}
	return <-t.decision
}

func (a *Admitter) release(t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.service.finish(a.clock.Now(), t)
}
