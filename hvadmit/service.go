package hvadmit

import (
	"container/heap"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// service is the admission state of one service. Its fields are guarded by
// the admitter.
type service struct {
	limit, running int
	virtual        float64
	classes        []*class
	violations     func(invariant int, message string)
}

func newService(set Settings, violations func(int, string)) *service {
	s := &service{violations: violations}
	for _, name := range hv.Classes {
		s.classes = append(s.classes, newClass(s, name, set.Classes[name]))
	}
	return s
}

// slots converts thousandths of the limit to slots, rounded up so that a
// floor is at least one slot.
func (s *service) slots(thousandths int) int {
	return (s.limit*thousandths + whole - 1) / whole
}

func (s *service) class(name hv.Class) *class {
	for _, c := range s.classes {
		if c.name == name {
			return c
		}
	}
	return nil
}

// configure applies new settings or a new limit to everything that depends
// on them.
func (s *service) configure(set Settings, limit int) {
	s.limit = limit
	for _, c := range s.classes {
		c.conf = set.Classes[c.name]
		c.weights = 0
		for _, f := range c.flows {
			f.conf = set.caller(f.name)
			if f.queue.Len() > 0 {
				c.weights += f.conf.Weight
			}
			c.settle(f)
		}
		// Many keys changed at a time, which single fixes don't order.
		heap.Init(&c.poor)
		heap.Init(&c.rich)
		heap.Init(&c.longest)
	}
}

// choose returns the class that starts the next request, or nil.
func (s *service) choose() *class {
	var best *class
	for _, c := range s.classes {
		if c.queued == 0 {
			continue
		}
		if best == nil || c.tier() < best.tier() || c.tier() == best.tier() && c.tag < best.tag {
			best = c
		}
	}
	return best
}

// dispatch starts waiting requests while there are free slots.
func (s *service) dispatch(now time.Time) {
	for s.running < s.limit {
		c := s.choose()
		if c == nil {
			return
		}
		t := c.next()
		if !now.Before(t.deadline) {
			c.remove(t)
			t.refuse(hv.Expired, retry(c.wait(t.flow, 0)), "the deadline passed in the queue")
			continue
		}
		s.start(now, t)
	}
}

func (s *service) start(now time.Time, t *ticket) {
	c, f := t.flow.class, t.flow
	if t.state != queued || s.running >= s.limit {
		s.violations(10, "a request was admitted twice or beyond the limit")
	}
	s.virtual = max(s.virtual, c.tag)
	c.virtual = max(c.virtual, f.tag)
	t.state, t.started, t.charged = running, now, c.took
	c.charge(f, t.charged)
	f.running++
	c.running++
	s.running++
	c.remove(t)
	t.conclude(verdict{})
}

// finish gives the slot of a ticket back.
func (s *service) finish(now time.Time, t *ticket) {
	if t.state != running {
		s.violations(10, "a place in the admitter was released twice")
		return
	}
	t.state = ended
	c, f := t.flow.class, t.flow
	took := now.Sub(t.started).Seconds()
	c.learn(took)
	c.charge(f, took-t.charged)
	f.running--
	c.running--
	s.running--
	c.settle(f)
	s.dispatch(now)
}
