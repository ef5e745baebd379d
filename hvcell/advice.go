package hvcell

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

const (
	// maxHostsPerRequest bounds the hosts in one question: the answer takes time for
	// each, and the goals of jobs allow for this many.
	maxHostsPerRequest = 30
	// ticketMargin is how long before its end a ticket is used last, so that the
	// order reaches the executor in time. Short tickets get a quarter of their
	// validity.
	ticketMargin = 250 * time.Millisecond
	// adviceRetryDelay separates questions about one step that nobody answered.
	adviceRetryDelay = 200 * time.Millisecond
)

// advice is what is known about the hosts that may run a step.
type advice struct {
	// tickets holds the newest ticket by host.
	tickets map[string]ticket
	// denied holds the lives of the hosts that must not run the step.
	denied map[string]string
	// notBefore is the earliest time of the next question.
	notBefore time.Time
}

// ticket allows a step on one life of a host.
type ticket struct {
	text, incarnation string
	expiry            time.Time
}

// AdviceRequest asks which hosts may run a step.
type AdviceRequest struct {
	// Step names the step with its round and job.
	Step string
	// Hosts holds the names of the hosts and IDs those of their executors.
	Hosts, ExecutorIDs []string
	// Timing tell how long the answer takes.
	Timing hvjob.Advice

	step         *step
	incarnations []string
}

// Limit is how long the answer to the question takes at most if no other
// question is before it.
func (q AdviceRequest) Limit() time.Duration {
	return time.Duration(q.Timing.BaseMillis+q.Timing.PerHostMillis*int64(len(q.ExecutorIDs))) * time.Millisecond
}

// needsAdvice reports whether only some hosts may run the step.
func (s *step) needsAdvice() bool { return s.round.job.queue.Advice != nil }

// ticket returns a valid ticket for a host.
func (s *step) ticket(now time.Time, h *host) (string, bool) {
	t, ok := s.advice.tickets[h.name]
	if !ok || t.incarnation != h.incarnation || !now.Before(t.expiry) {
		return "", false
	}
	return t.text, true
}

// NextAdviceRequest returns the next question to ask: that of the first step in the
// order of the plan that waits and lacks tickets.
func (c *Cell) NextAdviceRequest(now time.Time) (AdviceRequest, bool) {
	for _, s := range c.awaitingAdvice {
		if s.waiting == 0 || now.Before(s.advice.notBefore) {
			continue
		}
		if q := c.buildAdviceRequest(now, s); len(q.ExecutorIDs) > 0 {
			return q, true
		}
	}
	return AdviceRequest{}, false
}

// buildAdviceRequest asks about hosts that are known to be good first, as one of them is
// enough for a start, and then about others with the most room.
func (c *Cell) buildAdviceRequest(now time.Time, s *step) AdviceRequest {
	q := AdviceRequest{Step: s.adviceName(), Timing: *s.round.job.queue.Advice, step: s}
	hosts := c.usable(now)
	slices.SortStableFunc(hosts, func(a, b *host) int {
		return cmp.Or(cmp.Compare(s.adviceStatus(a), s.adviceStatus(b)), cmp.Compare(b.free().CPU, a.free().CPU))
	})
	allowed := 0
	for _, h := range hosts {
		if len(q.ExecutorIDs) == maxHostsPerRequest || allowed >= s.waiting {
			break
		}
		if _, ok := s.ticket(now, h); ok || s.adviceStatus(h) == hostDenied || c.permanentObstacle(s, h) != "" || !s.spec.Allocation().Fits(s.available(h)) {
			continue
		}
		if s.adviceStatus(h) == hostAllowed {
			allowed++
		}
		q.Hosts, q.ExecutorIDs, q.incarnations = append(q.Hosts, h.name), append(q.ExecutorIDs, h.info.ID), append(q.incarnations, h.incarnation)
	}
	return q
}

// Standings of a host with respect to a step.
const (
	hostAllowed = iota
	hostUnknown
	hostDenied
)

func (s *step) adviceStatus(h *host) int {
	switch {
	case s.advice.denied[h.name] == h.incarnation:
		return hostDenied
	case s.advice.tickets[h.name].incarnation == h.incarnation:
		return hostAllowed
	}
	return hostUnknown
}

func (s *step) adviceName() string {
	return fmt.Sprintf("%s.%d.%d", s.round.job.ID, s.round.number, s.index)
}

// AdviceReceived takes the answer to a question that was sent at a time: the tickets
// by the identifiers of executors. The validity counts from the time of the
// answer.
func (c *Cell) AdviceReceived(now time.Time, q AdviceRequest, tickets map[string]string, valid time.Duration) {
	a := &q.step.advice
	if a.tickets == nil {
		a.tickets, a.denied = map[string]ticket{}, map[string]string{}
	}
	expiry := now.Add(valid - min(ticketMargin, valid/4))
	for i, name := range q.Hosts {
		text, ok := tickets[q.ExecutorIDs[i]]
		if !ok {
			a.denied[name] = q.incarnations[i]
			continue
		}
		a.tickets[name] = ticket{text: text, incarnation: q.incarnations[i], expiry: expiry}
	}
	_ = level.Info(c.options.Logger).Log("msg", "hosts are advised", "step", q.Step, "asked", len(q.ExecutorIDs), "good", len(tickets), "valid_ms", valid.Milliseconds())
}

// AdviceFailed notes that a question got no answer.
func (c *Cell) AdviceFailed(now time.Time, q AdviceRequest, err error) {
	q.step.advice.notBefore = now.Add(adviceRetryDelay)
	_ = level.Warn(c.options.Logger).Log("msg", "advice is missing", "step", q.Step, "asked", len(q.ExecutorIDs), "err", err)
}
