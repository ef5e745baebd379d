package hvroute

import (
	"math"
	"sort"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// window is the time constant of the counts that lead to an ejection. A
	// failing upstream must lose its traffic within 1 s.
	window = time.Second
	// minFailures within the window eject, so that one bad answer does not.
	minFailures = 2.5
	// maxFailing is the share of failures above which an upstream is ejected.
	maxFailing = 0.5
	// failingWeight is the weight of one result in the smoothed share.
	failingWeight = 0.1
	// firstPause and maxPause bound the time between an ejection and a probe.
	firstPause = time.Second
	maxPause   = 30 * time.Second
	// probes is the number of successes in a row that end an ejection.
	probes = 3
	// probeTimeout frees a probe whose result never came.
	probeTimeout = 5 * time.Second
)

// record is what ejection knows about a host.
type record struct {
	// good and bad count results and fade with the window.
	good, bad float64
	changed   time.Time
	// until is when the ejection gives way to probing, zero in normal use.
	until  time.Time
	pause  time.Duration
	passed int
	// probing is true while a probe is outstanding since probed.
	probing bool
	probed  time.Time
}

// judge counts a result and ejects or readmits the host.
func (p *pool) judge(h *host, now time.Time, ok bool) {
	keep := math.Exp(-float64(now.Sub(h.changed)) / float64(window))
	h.failing *= fade(now.Sub(h.changed))
	h.good, h.bad, h.changed = h.good*keep, h.bad*keep, now
	if ok {
		h.good++
		h.failing -= h.failing * failingWeight
	} else {
		h.bad++
		h.failing += (1 - h.failing) * failingWeight
	}
	switch {
	case !h.until.IsZero():
		h.judgeProbe(now, ok)
	case h.bad >= minFailures && h.bad > maxFailing*(h.good+h.bad):
		h.eject(now)
	}
}

func (h *host) eject(now time.Time) {
	h.pause = min(max(2*h.pause, firstPause), maxPause)
	h.until, h.passed, h.probing = now.Add(h.pause), 0, false
}

func (h *host) judgeProbe(now time.Time, ok bool) {
	h.probing = false
	if now.Before(h.until) {
		return // a result of a request that was sent before the ejection
	}
	if !ok {
		h.eject(now)
		return
	}
	if h.passed++; h.passed >= probes {
		h.record = record{changed: now}
		h.failing = 0
	}
}

// picked marks a probe as outstanding.
func (h *host) picked(now time.Time) {
	if !h.until.IsZero() {
		h.probing, h.probed = true, now
	}
}

// due returns a target whose ejection has ended and that has no probe
// outstanding, or -1. Its failures would keep it from being chosen by score.
func (p *pool) due(now time.Time, targets []hv.UpstreamView) int {
	for i, t := range targets {
		h := p.host(t.Host, now)
		if !h.until.IsZero() && !h.out(now) && p.queue(now, t) == 0 {
			return i
		}
	}
	return -1
}

// out reports whether a host must not be used now.
func (h *host) out(now time.Time) bool {
	if h.until.IsZero() {
		return false
	}
	return now.Before(h.until) || h.probing && now.Sub(h.probed) < probeTimeout
}

// ejected returns the hosts to leave out, at most half of the targets. When
// more are failing, those that were ejected first stay in use.
func (p *pool) ejected(now time.Time, targets []hv.UpstreamView) map[string]bool {
	var names []string
	for _, t := range targets {
		if p.host(t.Host, now).out(now) {
			names = append(names, t.Host)
		}
	}
	sort.Slice(names, func(i, j int) bool {
		a, b := p.hosts[names[i]], p.hosts[names[j]]
		if a.until.Equal(b.until) {
			return names[i] < names[j]
		}
		return a.until.After(b.until)
	})
	out := map[string]bool{}
	for _, name := range names[:min(len(names), len(targets)/2)] {
		out[name] = true
	}
	return out
}
