package hvadmit

import (
	"container/list"

	hv "hibiscusvane.example/hibiscusvane"
)

// class holds the queued and running requests of one class of a service.
type class struct {
	name     hv.Class
	settings ClassSettings
	service  *service
	// startTag is the virtual start time of the next request of the class
	// within its service; virtualTime is the clock for the flows of the class.
	startTag, virtualTime float64
	running, queued       int
	// meanSeconds is the exponential moving average of the slot time of a
	// request.
	meanSeconds float64
	samples     int
	// waitingWeight is the sum of the weights of flows with queued requests.
	waitingWeight int

	flows map[string]*flow
	// idle lists flows without requests, the one that is idle for longest first.
	idle list.List
	// belowFloor and atFloor hold the flows with queued requests that run fewer
	// requests than their floor, and those that run at least as many.
	belowFloor, atFloor flowHeap
	byQueueLength       flowHeap
}

const (
	// initialMeanSeconds is the assumed slot time until the first sample.
	initialMeanSeconds = 0.010
	// sampleWeight averages the slot time over about a hundred requests.
	// Whenever the estimate is too low, the queue admits more requests than can
	// finish in time, so noise in the estimate makes requests expire.
	sampleWeight = 0.01
	// overflowCaller names the flow that callers beyond the limit share. No
	// caller has this name, because callers with an empty name are refused.
	overflowCaller = ""
)

func newClass(s *service, name hv.Class, settings ClassSettings) *class {
	return &class{
		name: name, settings: settings, service: s, meanSeconds: initialMeanSeconds, flows: map[string]*flow{},
		belowFloor:    newStartTagHeap(func(f *flow) *int { return &f.belowFloorIndex }),
		atFloor:       newStartTagHeap(func(f *flow) *int { return &f.atFloorIndex }),
		byQueueLength: newQueueLengthHeap(func(f *flow) *int { return &f.queueLengthIndex }),
	}
}

// flow returns the flow of a caller. It creates the flow if the limit allows it
// or an idle flow can be evicted, and returns the shared flow otherwise.
func (c *class) flow(caller string, settings Settings) *flow {
	if f := c.flows[caller]; f != nil {
		return f
	}
	// The shared flow can exceed the limit by one, and it can be evicted like
	// other flows. If only one flow was evicted here, one flow too many would
	// remain each time.
	for len(c.flows) >= settings.MaxCallerQueues {
		if c.evictIdleFlow() {
			continue
		}
		caller = overflowCaller
		if f := c.flows[caller]; f != nil {
			return f
		}
		break
	}
	f := &flow{name: caller, settings: settings.caller(caller), class: c, belowFloorIndex: notInHeap, atFloorIndex: notInHeap, queueLengthIndex: notInHeap}
	f.idleElement = c.idle.PushBack(f)
	c.flows[caller] = f
	return f
}

// addSample adds a slot time to the mean. The first samples have equal weight.
func (c *class) addSample(seconds float64) {
	c.samples++
	c.meanSeconds += (seconds - c.meanSeconds) * max(sampleWeight, 1/float64(c.samples))
}

// evictIdleFlow removes the flow that has been idle for longest. It returns
// false if no flow is idle.
func (c *class) evictIdleFlow() bool {
	front := c.idle.Front()
	if front == nil {
		return false
	}
	f := c.idle.Remove(front).(*flow)
	delete(c.flows, f.name)
	return true
}

// updateFlow moves a flow to the heaps and the idle list that match its counts.
func (c *class) updateFlow(f *flow) {
	waits := f.queue.Len() > 0
	below := f.running < c.service.floorSlots(f.settings.Floor)
	c.belowFloor.update(f, waits && below)
	c.atFloor.update(f, waits && !below)
	c.byQueueLength.update(f, waits)
	busy := waits || f.running > 0
	switch {
	case busy && f.idleElement != nil:
		c.idle.Remove(f.idleElement)
		f.idleElement = nil
	case !busy && f.idleElement == nil:
		f.idleElement = c.idle.PushBack(f)
	}
}

// enqueue adds a request to the queue of its flow.
func (c *class) enqueue(t *ticket) {
	f := t.flow
	if c.queued == 0 {
		c.startTag = max(c.startTag, c.service.virtualTime)
	}
	if f.queue.Len() == 0 {
		// A flow gets no credit for the time in which it was idle.
		f.startTag = max(f.startTag, c.virtualTime)
		c.waitingWeight += f.settings.Weight
	}
	t.queueElement = f.queue.PushBack(t)
	c.queued++
	c.updateFlow(f)
}

// remove takes a queued request out of the queue of its flow.
func (c *class) remove(t *ticket) {
	f := t.flow
	f.queue.Remove(t.queueElement)
	c.queued--
	if f.queue.Len() == 0 {
		c.waitingWeight -= f.settings.Weight
	}
	c.updateFlow(f)
}

// nextTicket returns the request that the class starts next. The class must
// have queued requests.
func (c *class) nextTicket() *ticket {
	f := c.belowFloor.first()
	if f == nil {
		f = c.atFloor.first()
	}
	return f.queue.Front().Value.(*ticket)
}

// charge adds slot time, divided by the weights, to the start tags of a flow
// and its class.
func (c *class) charge(f *flow, seconds float64) {
	c.startTag += seconds / float64(c.settings.Weight)
	f.startTag += seconds / float64(f.settings.Weight)
}

// tier returns the priority of a class, which goes before its start tag: 0 if
// the class is below its floor, 1 if one of its callers is below the caller's
// floor, 2 otherwise.
func (c *class) tier() int {
	switch {
	case c.running < c.service.floorSlots(c.settings.Floor):
		return 0
	case c.belowFloor.Len() > 0:
		return 1
	}
	return 2
}
