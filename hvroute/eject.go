package hvroute

import (
	"math"
	"sort"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// failureWindow is the time constant of the decaying counts that lead to an
	// ejection. A failing upstream must lose its traffic within 1 s.
	failureWindow = time.Second
	// minFailures is the decayed number of failures that an ejection needs, so
	// that a single failed request does not eject an upstream.
	minFailures = 2.5
	// maxFailureShare is the share of failures above which an upstream is
	// ejected.
	maxFailureShare = 0.5
	// failureRateWeight is the weight of one result in the smoothed failure
	// rate.
	failureRateWeight = 0.1
	// minEjection and maxEjection bound the time between an ejection and the
	// first probe.
	minEjection = time.Second
	maxEjection = 30 * time.Second
	// requiredProbes is the number of consecutive successful probes that end an
	// ejection.
	requiredProbes = 3
	// probeTimeout is the time after which a probe without a result no longer
	// blocks the next one.
	probeTimeout = 5 * time.Second
)

// ejection is the ejection state of a host.
type ejection struct {
	// successes and failures count results and decay with failureWindow.
	successes, failures float64
	updated             time.Time
	// ejectedUntil is when the ejection ends and probing begins. It is zero if
	// the host is neither ejected nor probed.
	ejectedUntil time.Time
	duration     time.Duration
	probesPassed int
	// probedFrom is when the last ejection ended, and probing began.
	probedFrom time.Time
	// probeOutstanding is true while a probe that was sent at probeSent has no
	// result.
	probeOutstanding bool
	probeSent        time.Time
}

// recordOutcome counts a result and ejects or readmits the host.
func (p *pool) recordOutcome(h *host, now time.Time, ok bool) {
	remaining := math.Exp(-float64(now.Sub(h.updated)) / float64(failureWindow))
	h.failureRate *= decay(now.Sub(h.updated))
	h.successes, h.failures, h.updated = h.successes*remaining, h.failures*remaining, now
	if ok {
		h.successes++
		h.failureRate -= h.failureRate * failureRateWeight
	} else {
		h.failures++
		h.failureRate += (1 - h.failureRate) * failureRateWeight
	}
	switch {
	case !h.ejectedUntil.IsZero():
		h.recordProbe(now, ok)
	case h.failures >= minFailures && h.failures > maxFailureShare*(h.successes+h.failures):
		h.eject(now)
	}
}

func (h *host) eject(now time.Time) {
	h.duration = min(max(2*h.duration, minEjection), maxEjection)
	h.ejectedUntil, h.probesPassed, h.probeOutstanding = now.Add(h.duration), 0, false
	h.probedFrom = h.ejectedUntil
}

// precedesProbes reports whether a result is one of a request that was sent before the last
// ejection ended, although it arrives later: it says nothing about the host since then.
func (h *host) precedesProbes(now time.Time, took time.Duration) bool {
	return !now.Before(h.probedFrom) && now.Add(-took).Before(h.probedFrom)
}

func (h *host) recordProbe(now time.Time, ok bool) {
	h.probeOutstanding = false
	if now.Before(h.ejectedUntil) {
		return // a result of a request that was sent before the ejection
	}
	if !ok {
		h.eject(now)
		return
	}
	if h.probesPassed++; h.probesPassed >= requiredProbes {
		h.ejection = ejection{updated: now, probedFrom: h.probedFrom}
		h.failureRate = 0
	}
}

// markPicked marks a probe as outstanding if the host is being probed.
func (h *host) markPicked(now time.Time) {
	if !h.ejectedUntil.IsZero() {
		h.probeOutstanding, h.probeSent = true, now
	}
}

// dueProbe returns the index of a target whose ejection has ended and that has
// no outstanding probe, or -1. Such a target has to be picked explicitly, as
// its failure rate would keep it from being picked by score.
func (p *pool) dueProbe(now time.Time, targets []hv.UpstreamView) int {
	for i, t := range targets {
		h := p.host(t.Host, now)
		if !h.ejectedUntil.IsZero() && !h.excluded(now) && p.queueLength(now, t) == 0 {
			return i
		}
	}
	return -1
}

// excluded reports whether a host must not be picked now.
func (h *host) excluded(now time.Time) bool {
	if h.ejectedUntil.IsZero() {
		return false
	}
	return now.Before(h.ejectedUntil) || h.probeOutstanding && now.Sub(h.probeSent) < probeTimeout
}

// excludedHosts returns the hosts that must not be picked, at most half of the
// targets. If more would be excluded, those whose ejection ends first stay
// in use.
func (p *pool) excludedHosts(now time.Time, targets []hv.UpstreamView) map[string]bool {
	var names []string
	for _, t := range targets {
		if p.host(t.Host, now).excluded(now) {
			names = append(names, t.Host)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := p.hosts[names[i]], p.hosts[names[j]]
		if a.ejectedUntil.Equal(b.ejectedUntil) {
			return names[i] < names[j]
		}
		return a.ejectedUntil.After(b.ejectedUntil)
	})
	excluded := map[string]bool{}
	for _, name := range names[:min(len(names), len(targets)/2)] {
		excluded[name] = true
	}
	return excluded
}
