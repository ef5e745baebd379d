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
	// maxHostsPerRequest bounds the hosts in one advice request: the adviser needs
	// time for each host, and the latency objectives of jobs allow for this many.
	maxHostsPerRequest = 30
	// ticketMargin is the time before its expiry from which a ticket is no longer
	// used, so that the order reaches the executor before the ticket expires. For
	// short tickets the margin is a quarter of their validity.
	ticketMargin = 250 * time.Millisecond
	// adviceRetryDelay is the delay before a failed request about a step is
	// repeated.
	adviceRetryDelay = 200 * time.Millisecond
)

// advice caches the responses about which hosts may run a step.
type advice struct {
	// tickets holds the newest ticket by host name.
	tickets map[string]ticket
	// denied holds the incarnations of the hosts that must not run the step, by
	// host name.
	denied map[string]string
	// notBefore is the earliest time of the next request.
	notBefore time.Time
}

// ticket permits one incarnation of a host's executor to run a step.
type ticket struct {
	text, incarnation string
	expiry            time.Time
}

// AdviceRequest asks which hosts may run a step.
type AdviceRequest struct {
	// Step identifies the step as JOB.ROUND.STEP.
	Step string
	// Hosts holds the names of the hosts and ExecutorIDs the identifiers of their
	// executors, in the same order.
	Hosts, ExecutorIDs []string
	// Timing is how long the adviser takes to respond.
	Timing hvjob.Advice

	step         *step
	incarnations []string
}

// MaxDuration returns the longest time that the response takes if no other request
// is queued before it.
func (q AdviceRequest) MaxDuration() time.Duration {
	return time.Duration(q.Timing.BaseMillis+q.Timing.PerHostMillis*int64(len(q.ExecutorIDs))) * time.Millisecond
}

// needsAdvice reports whether a host needs a ticket to run the step.
func (s *step) needsAdvice() bool { return s.round.job.queue.Advice != nil }

// ticket returns the ticket of a host if it is valid.
func (s *step) ticket(now time.Time, h *host) (string, bool) {
	t, ok := s.advice.tickets[h.name]
	if !ok || t.incarnation != h.incarnation || !now.Before(t.expiry) {
		return "", false
	}
	return t.text, true
}

// NextAdviceRequest returns the request for the first step, in scheduling order,
// that has waiting tasks and lacks tickets.
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

// buildAdviceRequest selects the hosts to ask about: first those that had a ticket
// before, as one of them is enough for a start, then those with the most free
// processors.
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
		if _, ok := s.ticket(now, h); ok || !c.mayRun(s, h) || !s.spec.Allocation().Fits(s.available(h)) {
			continue
		}
		if s.adviceStatus(h) == hostAllowed {
			allowed++
		}
		q.Hosts, q.ExecutorIDs, q.incarnations = append(q.Hosts, h.name), append(q.ExecutorIDs, h.info.ID), append(q.incarnations, h.incarnation)
	}
	return q
}

// Advice status of a host for a step.
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

// AdviceReceived records the response to a request: the tickets by executor
// identifier. Hosts without a ticket are denied until their executor restarts. The
// validity counts from now, the time of the response.
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
	_ = level.Info(c.options.Logger).Log("msg", "advice service returned tickets for a step", "step", q.Step, "asked", len(q.ExecutorIDs), "good", len(tickets), "valid_ms", valid.Milliseconds())
}

// AdviceFailed delays the next request for the step after a failed one.
func (c *Cell) AdviceFailed(now time.Time, q AdviceRequest, err error) {
	q.step.advice.notBefore = now.Add(adviceRetryDelay)
	_ = level.Warn(c.options.Logger).Log("msg", "request for advice on a step failed", "step", q.Step, "asked", len(q.ExecutorIDs), "err", err)
}
