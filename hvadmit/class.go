package hvadmit

import (
	"container/list"

	hv "hibiscusvane.example/hibiscusvane"
)

// class is the work of one request class of a service.
type class struct {
	name    hv.Class
	conf    ClassSettings
	service *service
	// tag is the virtual start time of the next request of the class in its
	// service; virtual is the time among the flows of the class.
	tag, virtual    float64
	running, queued int
	// took is the smoothed slot time of one request in seconds.
	took    float64
	samples int
	// weights adds up the weights of flows that wait.
	weights int

	flows map[string]*flow
	// idle lists flows without work, longest idle first.
	idle list.List
	// poor and rich hold the flows that wait, below and above their floor.
	poor, rich flowHeap
	longest    flowHeap
}

const (
	// firstTook stands for the slot time before the first sample, in seconds.
	firstTook = 0.010
	// tookWeight smooths the slot time over a hundred requests. A queue fills
	// whenever the estimate dips, so noise in it costs requests that expire.
	tookWeight = 0.01
	// overflow names the flow that callers beyond the bound share. It can't be
	// the name of a caller, which is not empty.
	overflow = ""
)

func newClass(s *service, name hv.Class, conf ClassSettings) *class {
	return &class{
		name: name, conf: conf, service: s, took: firstTook, flows: map[string]*flow{},
		poor:    byTag(func(f *flow) *int { return &f.poor }),
		rich:    byTag(func(f *flow) *int { return &f.rich }),
		longest: byLength(func(f *flow) *int { return &f.long }),
	}
}

// flow returns the flow of a caller and makes it if there is room.
func (c *class) flow(caller string, set Settings) *flow {
	if f := c.flows[caller]; f != nil {
		return f
	}
	// More than one flow may have to go, because the shared flow can be
	// forgotten too and one beyond the bound would remain each time.
	for len(c.flows) >= set.MaxCallerQueues {
		if c.forget() {
			continue
		}
		caller = overflow
		if f := c.flows[caller]; f != nil {
			return f
		}
		break
	}
	f := &flow{name: caller, conf: set.caller(caller), class: c, poor: absent, rich: absent, long: absent}
	f.rest = c.idle.PushBack(f)
	c.flows[caller] = f
	return f
}

// learn adds a sample of slot time.
func (c *class) learn(seconds float64) {
	c.samples++
	c.took += (seconds - c.took) * max(tookWeight, 1/float64(c.samples))
}

// forget drops the flow that has been idle for longest.
func (c *class) forget() bool {
	front := c.idle.Front()
	if front == nil {
		return false
	}
	f := c.idle.Remove(front).(*flow)
	delete(c.flows, f.name)
	return true
}

// settle puts a flow where its counts belong after a change.
func (c *class) settle(f *flow) {
	waits := f.queue.Len() > 0
	below := f.running < c.service.slots(f.conf.Floor)
	c.poor.place(f, waits && below)
	c.rich.place(f, waits && !below)
	c.longest.place(f, waits)
	busy := waits || f.running > 0
	switch {
	case busy && f.rest != nil:
		c.idle.Remove(f.rest)
		f.rest = nil
	case !busy && f.rest == nil:
		f.rest = c.idle.PushBack(f)
	}
}

// push adds a ticket to its flow.
func (c *class) push(t *ticket) {
	f := t.flow
	if c.queued == 0 {
		c.tag = max(c.tag, c.service.virtual)
	}
	if f.queue.Len() == 0 {
		// A flow that comes back has no claim on the time it was idle.
		f.tag = max(f.tag, c.virtual)
		c.weights += f.conf.Weight
	}
	t.place = f.queue.PushBack(t)
	c.queued++
	c.settle(f)
}

// remove takes a waiting ticket out of its flow.
func (c *class) remove(t *ticket) {
	f := t.flow
	f.queue.Remove(t.place)
	c.queued--
	if f.queue.Len() == 0 {
		c.weights -= f.conf.Weight
	}
	c.settle(f)
}

// next returns the ticket that the class would start.
func (c *class) next() *ticket {
	f := c.poor.first()
	if f == nil {
		f = c.rich.first()
	}
	return f.queue.Front().Value.(*ticket)
}

// charge adds slot time to the shares of a flow and its class.
func (c *class) charge(f *flow, seconds float64) {
	c.tag += seconds / float64(c.conf.Weight)
	f.tag += seconds / float64(f.conf.Weight)
}

// tier orders classes before their tags do: below the class floor, with a
// caller below its floor, everything else.
func (c *class) tier() int {
	switch {
	case c.running < c.service.slots(c.conf.Floor):
		return 0
	case c.poor.Len() > 0:
		return 1
	}
	return 2
}
