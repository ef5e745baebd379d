package hvadmit

import (
	"container/heap"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// service is the admission state of one service. Its fields are guarded by
// Admitter.mu.
type service struct {
	limit, running int
	virtualTime    float64
	classes        []*class
	violations     func(invariant int, message string)
}

func newService(settings Settings, violations func(int, string)) *service {
	s := &service{violations: violations}
	for _, name := range hv.Classes {
		s.classes = append(s.classes, newClass(s, name, settings.Classes[name]))
	}
	return s
}

// floorSlots converts a floor in thousandths of the limit to slots, rounded up
// so that a floor above zero is at least one slot.
func (s *service) floorSlots(thousandths int) int {
	return (s.limit*thousandths + floorDenominator - 1) / floorDenominator
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
func (s *service) configure(settings Settings, limit int) {
	s.limit = limit
	for _, c := range s.classes {
		c.settings = settings.Classes[c.name]
		c.waitingWeight = 0
		for _, f := range c.flows {
			f.settings = settings.caller(f.name)
			if f.queue.Len() > 0 {
				c.waitingWeight += f.settings.Weight
			}
			c.updateFlow(f)
		}
		// The keys of many flows changed at once; fixing one flow at a time does
		// not restore the order of the heap.
		heap.Init(&c.belowFloor)
		heap.Init(&c.atFloor)
		heap.Init(&c.byQueueLength)
	}
}

// nextClass returns the class that starts the next request, or nil if no
// request is queued.
func (s *service) nextClass() *class {
	var best *class
	for _, c := range s.classes {
		if c.queued == 0 {
			continue
		}
		if best == nil || c.tier() < best.tier() || c.tier() == best.tier() && c.startTag < best.startTag {
			best = c
		}
	}
	return best
}

// dispatch starts queued requests while there are free slots.
func (s *service) dispatch(now time.Time) {
	for s.running < s.limit {
		c := s.nextClass()
		if c == nil {
			return
		}
		t := c.nextTicket()
		if !now.Before(t.deadline) {
			c.remove(t)
			t.refuse(hv.Expired, clampRetry(c.expectedWait(t.flow, 0)), "the deadline passed in the queue")
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
	s.virtualTime = max(s.virtualTime, c.startTag)
	c.virtualTime = max(c.virtualTime, f.startTag)
	t.state, t.started, t.chargedSeconds = running, now, c.meanSeconds
	c.charge(f, t.chargedSeconds)
	f.running++
	c.running++
	s.running++
	c.remove(t)
	t.decide(decision{})
}

// finish releases the slot of a request and corrects the charge of its start
// to the time that it took.
func (s *service) finish(now time.Time, t *ticket) {
	if t.state != running {
		s.violations(10, "a slot of the admitter was released twice or without an admission")
		return
	}
	t.state = ended
	c, f := t.flow.class, t.flow
	seconds := now.Sub(t.started).Seconds()
	c.addSample(seconds)
	c.charge(f, seconds-t.chargedSeconds)
	f.running--
	c.running--
	s.running--
	c.updateFlow(f)
	s.dispatch(now)
}
