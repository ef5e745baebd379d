package hvroute

import (
	"math"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// smoothing is the time constant of the latency average. It averages over
	// hundreds of samples at usual rates, so that noise does not outweigh the
	// hop between zones.
	smoothing = 5 * time.Second
	// forgetting is the time constant with which a host without samples
	// returns to the usual latency of its service and to no failures.
	forgetting = 10 * time.Second
	// failureCost is the expected time that one failure costs a caller, who
	// must notice it and try again.
	failureCost = time.Second
	// refusedFor keeps a side that refused for want of slots at the end of
	// the line. It is about the time in which a slot becomes free.
	refusedFor = 50 * time.Millisecond
	// firstLatency stands for the latency before the first sample.
	firstLatency = 10 * time.Millisecond
	// latePatience times the usual latency must pass before a timeout counts
	// against the upstream, so that callers with very short deadlines can't
	// have upstreams ejected.
	latePatience = 3
	// minWeight is the least weight of a sample, for bursts within the same
	// instant.
	minWeight = 0.01
)

// host is the state of one upstream.
type host struct {
	latency time.Duration
	// sampled is the time of the last sample of latency, zero before the first.
	sampled time.Time
	// failing is the smoothed share of dispatches that failed.
	failing float64
	refused time.Time
	seen    time.Time
	// others is the smoothed number of requests that other gates have there.
	// watched is when it was last updated, zero before the first time.
	others  float64
	watched time.Time
	record
}

// score is the expected time of one more request at a target.
func (r *Router) score(now time.Time, p *pool, t hv.Target) float64 {
	h := p.host(t.Host, now)
	took := p.latency(now, h)
	// Measured latency includes the way to the zone and back.
	if t.Zone != r.zone {
		took = max(took, 2*InterZoneDelay)
	}
	wait := float64(took) * p.queue(now, t) / float64(max(t.Slots, 1))
	if now.Sub(h.refused) < refusedFor {
		wait += float64(took)
	}
	total := float64(took) + wait + h.failing*fade(now.Sub(h.changed))*float64(failureCost)
	if t.Zone != r.zone && h.sampled.IsZero() {
		total += float64(2 * InterZoneDelay)
	}
	return total
}

// queue is the expected number of requests that wait ahead of a new one.
func (p *pool) queue(now time.Time, t hv.Target) float64 {
	others := max(0, p.host(t.Host, now).others)
	return max(0, float64(t.Outstanding)+others+1-float64(max(t.Slots, 1)))
}

// watch follows the load of other gates. The load of a heartbeat is older than
// most requests, and it includes those of this gate. Taken as it is, it hides
// slots that this gate has seen become free, and gates that all see the same
// idle upstream would overload it until the next heartbeat.
func (h *host) watch(now time.Time, t hv.Target) {
	others := float64(t.Load - t.Outstanding)
	if h.watched.IsZero() {
		h.others = others
	}
	h.others += (others - h.others) * (1 - math.Exp(-float64(now.Sub(h.watched))/float64(smoothing)))
	h.seen, h.watched = now, now
}

func (p *pool) host(name string, now time.Time) *host {
	h := p.hosts[name]
	if h == nil {
		h = &host{seen: now}
		p.hosts[name] = h
	}
	return h
}

// latency returns the average of a host, drawn to the usual value of the
// service by the age of its last sample.
func (p *pool) latency(now time.Time, h *host) time.Duration {
	usual := p.usual
	if usual == 0 {
		usual = firstLatency
	}
	if h.sampled.IsZero() {
		return usual
	}
	return usual + time.Duration(float64(h.latency-usual)*fade(now.Sub(h.sampled)))
}

func fade(age time.Duration) float64 { return math.Exp(-float64(age) / float64(forgetting)) }

func (p *pool) observe(h *host, now time.Time, took time.Duration, result hv.Result) {
	h.seen = now
	if result == hv.Refused {
		h.refused = now
		h.probing = false
		return
	}
	// A failure that comes fast must not make its upstream look quick.
	if result != hv.Failed {
		h.average(now, took)
		p.usual += time.Duration(float64(took-p.usual) * usualWeight(p.usual))
	}
	if result == hv.TimedOut && took < latePatience*p.usual {
		return
	}
	p.judge(h, now, result == hv.Succeeded)
}

// usualWeight makes the first sample the usual latency and then moves it by
// a hundredth per sample.
func usualWeight(usual time.Duration) float64 {
	if usual == 0 {
		return 1
	}
	return minWeight
}

func (h *host) average(now time.Time, took time.Duration) {
	weight := 1.0
	if !h.sampled.IsZero() {
		weight = max(minWeight, 1-math.Exp(-float64(now.Sub(h.sampled))/float64(smoothing)))
	}
	h.latency += time.Duration(float64(took-h.latency) * weight)
	h.sampled = now
}

// prune forgets hosts that have left for good.
func (p *pool) prune(now time.Time, targets []hv.Target) {
	for _, t := range targets {
		p.host(t.Host, now).watch(now, t)
	}
	if len(p.hosts) <= len(targets)+spareHosts {
		return
	}
	for name, h := range p.hosts {
		if now.Sub(h.seen) > forgetting {
			delete(p.hosts, name)
		}
	}
}
