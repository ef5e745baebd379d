// Package hvroute chooses the upstream of each request.
package hvroute

import (
	"math/rand/v2"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// InterZoneDelay is the one-way network delay between availability zones.
	InterZoneDelay = 500 * time.Microsecond
	// maxServices bounds the services with their own state. Further services
	// share one state.
	maxServices = 1024
	// extraHosts is the number of hosts beyond the current targets whose state
	// is kept, so that a host that returns after a restart is still known.
	extraHosts = 32
)

// Router implements hibiscusvane.Picker with the power of two random choices.
type Router struct {
	zone  string
	clock hv.Clock

	mu       sync.Mutex
	random   *rand.Rand
	services map[string]*pool
}

var _ hv.Picker = (*Router)(nil)

// pool is the state of one service.
type pool struct {
	hosts map[string]*host
	// typicalLatency is the average latency of the whole service, to which the
	// estimate for a host without recent samples decays.
	typicalLatency time.Duration
}

// New returns a router for a gate in the given zone. The router uses random
// only under its own lock.
func New(zone string, clock hv.Clock, random *rand.Rand) *Router {
	return &Router{zone: zone, clock: clock, random: random, services: map[string]*pool{}}
}

// Pick implements hibiscusvane.Picker.
func (r *Router) Pick(service string, targets []hv.UpstreamView) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	p := r.pool(service)
	p.prune(now, targets)
	best := p.dueProbe(now, targets)
	if best < 0 {
		local, remote := r.splitByZone(now, p, targets)
		best = r.choose(now, p, targets, local, remote)
	}
	if best >= 0 {
		p.host(targets[best].Host, now).markPicked(now)
	}
	return best
}

// Observe implements hibiscusvane.Picker.
func (r *Router) Observe(service, name string, took time.Duration, result hv.DispatchResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(service)
	p.observe(p.host(name, r.clock.Now()), r.clock.Now(), took, result)
}

func (r *Router) pool(service string) *pool {
	p := r.services[service]
	if p != nil {
		return p
	}
	if len(r.services) >= maxServices {
		service = ""
	}
	if p = r.services[service]; p == nil {
		p = &pool{hosts: map[string]*host{}}
		r.services[service] = p
	}
	return p
}

// splitByZone returns the indexes of the usable targets in the router's own
// zone and in other zones.
func (r *Router) splitByZone(now time.Time, p *pool, targets []hv.UpstreamView) (local, remote []int) {
	excluded := p.excludedHosts(now, targets)
	for i, t := range targets {
		switch {
		case excluded[t.Host]:
		case t.Zone == r.zone:
			local = append(local, i)
		default:
			remote = append(remote, i)
		}
	}
	return local, remote
}

// choose compares the better of two random local targets with the better of two
// random remote ones.
func (r *Router) choose(now time.Time, p *pool, targets []hv.UpstreamView, local, remote []int) int {
	best := r.betterOfTwo(now, p, targets, local)
	if other := r.betterOfTwo(now, p, targets, remote); r.less(now, p, targets, other, best) {
		best = other
	}
	if best < 0 || p.queueLength(now, targets[best]) == 0 {
		return best
	}
	// Both choices have a queue, so a scan of all targets for a free slot is
	// worth its cost.
	for _, list := range [][]int{local, remote} {
		for _, i := range list {
			if r.less(now, p, targets, i, best) {
				best = i
			}
		}
	}
	return best
}

// betterOfTwo draws two distinct candidates and returns the better one, or -1
// if there is none.
func (r *Router) betterOfTwo(now time.Time, p *pool, targets []hv.UpstreamView, candidates []int) int {
	switch len(candidates) {
	case 0:
		return -1
	case 1:
		return candidates[0]
	}
	a := r.random.IntN(len(candidates))
	b := r.random.IntN(len(candidates) - 1)
	if b >= a {
		b++
	}
	if r.less(now, p, targets, candidates[b], candidates[a]) {
		return candidates[b]
	}
	return candidates[a]
}

// less reports whether target a has a lower score than target b. An index of -1
// is worse than any target.
func (r *Router) less(now time.Time, p *pool, targets []hv.UpstreamView, a, b int) bool {
	if a < 0 || b < 0 {
		return a >= 0
	}
	return r.score(now, p, targets[a]) < r.score(now, p, targets[b])
}
