package hvroute

import (
	"math"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// smoothingTime is the time constant of the latency average. It covers
	// hundreds of samples at usual rates, so that noise does not outweigh
	// InterZoneDelay.
	smoothingTime = 5 * time.Second
	// decayTime is the time constant with which the state of a host without
	// samples returns to the typical latency of its service and to a failure
	// rate of zero.
	decayTime = 10 * time.Second
	// failureCost is the expected time that one failure costs a caller, who
	// must notice it and retry.
	failureCost = time.Second
	// refusalPenaltyTime is how long the score of a side includes a penalty
	// after it refused a request for lack of a free slot. It is about the time
	// in which a slot becomes free.
	refusalPenaltyTime = 50 * time.Millisecond
	// initialLatency is the assumed latency before the first sample.
	initialLatency = 10 * time.Millisecond
	// minTimeoutFactor times the typical latency must pass before a timeout
	// counts as a failure of the upstream, so that callers with very short
	// deadlines cannot get upstreams ejected.
	minTimeoutFactor = 3
	// minSampleWeight is the minimum weight of a latency sample, for samples
	// that arrive in the same instant.
	minSampleWeight = 0.01
)

// host is the state of one upstream.
type host struct {
	latency time.Duration
	// lastSample is the time of the last latency sample, zero before the first.
	lastSample time.Time
	// failureRate is the smoothed share of dispatches that failed.
	failureRate float64
	lastRefused time.Time
	lastSeen    time.Time
	// otherLoad is the smoothed number of requests that other gates have at the
	// host. otherLoadUpdated is when it was last updated, zero before the first
	// time.
	otherLoad        float64
	otherLoadUpdated time.Time
	ejection
}

// score is the expected time of one more request to a target.
func (r *Router) score(now time.Time, p *pool, t hv.UpstreamView) float64 {
	h := p.host(t.Host, now)
	latency := p.latency(now, h)
	// Measured latency includes the round trip between the zones.
	if t.Zone != r.zone {
		latency = max(latency, 2*InterZoneDelay)
	}
	wait := float64(latency) * p.queueLength(now, t) / float64(max(t.Slots, 1))
	if now.Sub(h.lastRefused) < refusalPenaltyTime {
		wait += float64(latency)
	}
	total := float64(latency) + wait + h.failureRate*decay(now.Sub(h.updated))*float64(failureCost)
	if t.Zone != r.zone && h.lastSample.IsZero() {
		total += float64(2 * InterZoneDelay)
	}
	return total
}

// queueLength is the expected number of requests that are queued ahead of a new
// one.
func (p *pool) queueLength(now time.Time, t hv.UpstreamView) float64 {
	otherLoad := max(0, p.host(t.Host, now).otherLoad)
	return max(0, float64(t.Outstanding)+otherLoad+1-float64(max(t.Slots, 1)))
}

// updateLoad smooths the load from other gates. The load in a heartbeat is
// older than most requests, and it includes those of this gate. Used as it is,
// it would hide slots that this gate has seen become free, and gates that all
// see the same idle upstream would overload it until the next heartbeat.
func (h *host) updateLoad(now time.Time, t hv.UpstreamView) {
	load := float64(t.Load - t.Outstanding)
	if h.otherLoadUpdated.IsZero() {
		h.otherLoad = load
	}
	h.otherLoad += (load - h.otherLoad) * (1 - math.Exp(-float64(now.Sub(h.otherLoadUpdated))/float64(smoothingTime)))
	h.lastSeen, h.otherLoadUpdated = now, now
}

func (p *pool) host(name string, now time.Time) *host {
	h := p.hosts[name]
	if h == nil {
		h = &host{lastSeen: now}
		p.hosts[name] = h
	}
	return h
}

// latency returns the average latency of a host, which decays to the typical
// latency of the service with the age of its last sample.
func (p *pool) latency(now time.Time, h *host) time.Duration {
	typical := p.typicalLatency
	if typical == 0 {
		typical = initialLatency
	}
	if h.lastSample.IsZero() {
		return typical
	}
	return typical + time.Duration(float64(h.latency-typical)*decay(now.Sub(h.lastSample)))
}

func decay(age time.Duration) float64 { return math.Exp(-float64(age) / float64(decayTime)) }

func (p *pool) observe(h *host, now time.Time, took time.Duration, result hv.DispatchResult) {
	h.lastSeen = now
	if h.precedesProbes(now, took) {
		return
	}
	if result == hv.Refused {
		h.lastRefused = now
		h.probeOutstanding = false
		return
	}
	// A failure that comes quickly must not make its upstream look fast.
	if result != hv.Failed {
		h.updateLatency(now, took)
		p.typicalLatency += time.Duration(float64(took-p.typicalLatency) * typicalWeight(p.typicalLatency))
	}
	if result == hv.TimedOut && took < minTimeoutFactor*p.typicalLatency {
		return
	}
	p.recordOutcome(h, now, result == hv.Succeeded)
}

// typicalWeight is the weight of a sample in the typical latency of a service:
// 1 for the first sample, then minSampleWeight.
func typicalWeight(typical time.Duration) float64 {
	if typical == 0 {
		return 1
	}
	return minSampleWeight
}

func (h *host) updateLatency(now time.Time, took time.Duration) {
	weight := 1.0
	if !h.lastSample.IsZero() {
		weight = max(minSampleWeight, 1-math.Exp(-float64(now.Sub(h.lastSample))/float64(smoothingTime)))
	}
	h.latency += time.Duration(float64(took-h.latency) * weight)
	h.lastSample = now
}

// prune updates the load of the targets. If there are more than extraHosts other
// hosts, it drops those that have not been seen for decayTime.
func (p *pool) prune(now time.Time, targets []hv.UpstreamView) {
	for _, t := range targets {
		p.host(t.Host, now).updateLoad(now, t)
	}
	if len(p.hosts) <= len(targets)+extraHosts {
		return
	}
	for name, h := range p.hosts {
		if now.Sub(h.lastSeen) > decayTime {
			delete(p.hosts, name)
		}
	}
}
