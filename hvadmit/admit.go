// Package hvadmit decides when a request may be dispatched.
package hvadmit

import (
	"context"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// noUpstream is the retry time while a service has no live slot. A restarted
// side announces itself within about a second.
const noUpstream = time.Second

// Admitter implements hibiscusvane.Admitter with weighted fair shares. Its
// methods may be called from any goroutine.
type Admitter struct {
	clock      hv.Clock
	violations func(invariant int, message string)
	// flat puts all requests into one queue, for the baseline.
	flat bool

	mu       sync.Mutex
	settings Settings
	services map[string]*service
}

var _ hv.Admitter = (*Admitter)(nil)

// New returns an admitter without slots; SetLimit adds them. The settings must
// have passed Check.
func New(clock hv.Clock, set Settings, violations func(invariant int, message string)) *Admitter {
	return &Admitter{clock: clock, violations: violations, settings: set, services: map[string]*service{}}
}

// SetLimit sets the number of requests of a service that may run at a time. A
// service without slots, requests or queue is forgotten.
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
func (a *Admitter) UpdateSettings(set Settings) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settings = set
	for _, s := range a.services {
		s.configure(set, s.limit)
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

// ClassLoad is a count of the requests of one class of a service.
type ClassLoad struct {
	Class   hv.Class `json:"class"`
	Running int      `json:"running"`
	Queued  int      `json:"queued"`
}

// Load returns the limit of a service and its requests by class.
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
	t, v := a.enqueue(req, nil)
	if t == nil {
		return nil, v.retry, v.err
	}
	timer := time.NewTimer(t.deadline.Sub(a.clock.Now()))
	defer timer.Stop()
	select {
	case v = <-t.verdict:
	case <-ctx.Done():
		v = a.cancel(t, "the caller has gone")
	case <-timer.C:
		v = a.cancel(t, "the deadline passed in the queue")
	}
	if v.err != nil {
		return nil, v.retry, v.err
	}
	return func() { a.release(t) }, 0, nil
}

// enqueue queues a request or refuses it.
func (a *Admitter) enqueue(req hv.Request, notify func(error)) (*ticket, verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.flat {
		req.Class, req.Caller = hv.Standard, "all"
	}
	s := a.services[req.Service]
	if s == nil || s.limit == 0 {
		return nil, verdict{errorf("enter", hv.Unavailable, "no upstream of service %s is live", req.Service), noUpstream}
	}
	c := s.class(req.Class)
	if c == nil {
		return nil, verdict{errorf("enter", hv.Invalid, "class %q is unknown", req.Class), maxRetry}
	}
	if req.Caller == overflow {
		return nil, verdict{errorf("enter", hv.Invalid, "caller is empty"), maxRetry}
	}
	f := c.flow(req.Caller, a.settings)
	now, left := a.clock.Now(), req.Left.Std()
	if left <= 0 {
		left = c.conf.DefaultDeadline.Std()
	}
	if v := c.refuse(f, left); v.err != nil {
		return nil, v
	}
	t := newTicket(s, f, now.Add(left), notify)
	c.push(t)
	s.dispatch(now)
	return t, verdict{}
}

// refuse decides whether a request must be refused on arrival. While a slot is
// free it never is, so that a wrong estimate corrects itself.
func (c *class) refuse(f *flow, left time.Duration) verdict {
	if c.service.running < c.service.limit {
		return verdict{}
	}
	took := time.Duration(c.took * float64(time.Second))
	if wait := c.wait(f, 1); wait+took > left {
		return verdict{errorf("enter", hv.Expired, "the expected wait of %v leaves no time to run before the deadline", wait.Round(time.Millisecond)), retry(wait + took - left)}
	}
	if c.queued < c.conf.QueueLimit {
		return verdict{}
	}
	// The longest queue makes room, so that a flood does not fill the queue
	// against the other callers of its class.
	long := c.longest.first()
	if f.length(1) >= long.length(0) {
		return verdict{errorf("enter", hv.Full, "the queue of class %s is full", c.name), retry(c.wait(f, 1))}
	}
	last := long.queue.Back().Value.(*ticket)
	c.remove(last)
	last.refuse(hv.Full, retry(c.wait(long, 1)), "the queue of class "+string(c.name)+" is full")
	return verdict{}
}

// cancel ends the wait of a ticket that nobody waits for any more.
func (a *Admitter) cancel(t *ticket, reason string) verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock.Now()
	switch t.state {
	case queued:
		t.flow.class.remove(t)
		t.refuse(hv.Expired, retry(t.flow.class.wait(t.flow, 0)), reason)
	case running:
		t.service.finish(now, t)
		return verdict{errorf("wait", hv.Expired, "%s", reason), minRetry}
	case ended:
	}
	return <-t.verdict
}

func (a *Admitter) release(t *ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t.service.finish(a.clock.Now(), t)
}
