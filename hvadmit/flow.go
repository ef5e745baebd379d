package hvadmit

import (
	"container/list"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// flow holds the queued and running requests of one caller in one class of a
// service.
type flow struct {
	name     string
	settings CallerSettings
	class    *class
	// startTag is the virtual start time of the next request.
	startTag float64
	running  int
	queue    list.List
	// idleElement is the element in the list of idle flows, or nil.
	idleElement *list.Element
	// Indexes in the heaps of the class, or notInHeap.
	belowFloorIndex, atFloorIndex, queueLengthIndex int
}

// weightedLength returns the length of the queue with extra more requests,
// divided by the weight.
func (f *flow) weightedLength(extra int) float64 {
	return float64(f.queue.Len()+extra) / float64(f.settings.Weight)
}

type state int

const (
	queued state = iota
	running
	ended
)

// decision is the result of a wait; the request is admitted if err is nil.
type decision struct {
	err        error
	retryAfter time.Duration
}

// ticket is one queued or running request in the admitter.
type ticket struct {
	service  *service
	flow     *flow
	state    state
	deadline time.Time
	started  time.Time
	// chargedSeconds is the slot time that was charged at the start.
	chargedSeconds float64
	queueElement   *list.Element
	decision       chan decision
	// notify, if not nil, is called with the error of the decision.
	notify func(err error)
}

func newTicket(s *service, f *flow, deadline time.Time, notify func(error)) *ticket {
	return &ticket{service: s, flow: f, deadline: deadline, decision: make(chan decision, 1), notify: notify}
}

func (t *ticket) decide(d decision) {
	t.decision <- d
	if t.notify != nil {
		t.notify(d.err)
	}
}

// refuse ends the wait of a queued request with an error.
func (t *ticket) refuse(kind hv.ErrorKind, retry time.Duration, reason string) {
	t.state = ended
	t.decide(decision{err: errorf("wait", kind, "%s", reason), retryAfter: retry})
}
