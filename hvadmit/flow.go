package hvadmit

import (
	"container/list"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// flow is the work of one caller in one class of a service.
type flow struct {
	name  string
	conf  CallerSettings
	class *class
	// tag is the virtual start time of the next request.
	tag     float64
	running int
	queue   list.List
	// rest is the place in the list of flows without work, or nil.
	rest *list.Element
	// Positions in the heaps of the class.
	poor, rich, long int
}

// length is the queue relative to the weight with extra more requests.
func (f *flow) length(extra int) float64 {
	return float64(f.queue.Len()+extra) / float64(f.conf.Weight)
}

type state int

const (
	queued state = iota
	running
	ended
)

// verdict is the end of the wait of a ticket; a nil err admits it.
type verdict struct {
	err   error
	retry time.Duration
}

// ticket is one request in the admitter.
type ticket struct {
	service  *service
	flow     *flow
	state    state
	deadline time.Time
	started  time.Time
	// charged is the slot time that the shares were charged at the start.
	charged float64
	place   *list.Element
	verdict chan verdict
	// notify is called at the verdict if it is not nil.
	notify func(err error)
}

func newTicket(s *service, f *flow, deadline time.Time, notify func(error)) *ticket {
	return &ticket{service: s, flow: f, deadline: deadline, verdict: make(chan verdict, 1), notify: notify}
}

func (t *ticket) conclude(v verdict) {
	t.verdict <- v
	if t.notify != nil {
		t.notify(v.err)
	}
}

// refuse ends a ticket that waits.
func (t *ticket) refuse(kind hv.ErrorKind, retry time.Duration, reason string) {
	t.state = ended
	t.conclude(verdict{err: errorf("wait", kind, "%s", reason), retry: retry})
}
