// Package hvroute chooses the upstream of each request.
package hvroute

import (
	"math/rand/v2"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// InterZoneDelay is the time of one way between availability zones.
	InterZoneDelay = 500 * time.Microsecond
	// maxServices bounds the services with state. Further ones share it.
	maxServices = 1024
	// spareHosts is how many hosts beyond the current targets keep state, so
	// that a host that comes back after a restart is still known.
	spareHosts = 32
)

// Router implements hibiscusvane.Picker with two random choices.
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
	// usual is the latency of the whole service, to which the value of a host
	// without recent samples returns.
	usual time.Duration
}

// New returns a router for a gate in a zone. The router uses random only
// under its own lock.
func New(zone string, clock hv.Clock, random *rand.Rand) *Router {
	return &Router{zone: zone, clock: clock, random: random, services: map[string]*pool{}}
}

// Pick implements hibiscusvane.Picker.
func (r *Router) Pick(service string, targets []hv.Target) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	p := r.pool(service)
	p.prune(now, targets)
	best := p.due(now, targets)
	if best < 0 {
		near, far := r.split(now, p, targets)
		best = r.better(now, p, targets, near, far)
	}
	if best >= 0 {
		p.host(targets[best].Host, now).picked(now)
	}
	return best
}

// Observe implements hibiscusvane.Picker.
func (r *Router) Observe(service, name string, took time.Duration, result hv.Result) {
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

// split returns the indexes of the usable targets in the own zone and in
// other zones.
func (r *Router) split(now time.Time, p *pool, targets []hv.Target) (near, far []int) {
	out := p.ejected(now, targets)
	for i, t := range targets {
		switch {
		case out[t.Host]:
		case t.Zone == r.zone:
			near = append(near, i)
		default:
			far = append(far, i)
		}
	}
	return near, far
}

// better compares two random targets of the own zone with two of the others.
func (r *Router) better(now time.Time, p *pool, targets []hv.Target, near, far []int) int {
	best := r.two(now, p, targets, near)
	if other := r.two(now, p, targets, far); r.less(now, p, targets, other, best) {
		best = other
	}
	if best < 0 || p.queue(now, targets[best]) == 0 {
		return best
	}
	// Both choices have a queue, so any free slot elsewhere is worth a scan.
	for _, list := range [][]int{near, far} {
		for _, i := range list {
			if r.less(now, p, targets, i, best) {
				best = i
			}
		}
	}
	return best
}

// two draws two distinct members of list and returns the better, or -1.
func (r *Router) two(now time.Time, p *pool, targets []hv.Target, list []int) int {
	switch len(list) {
	case 0:
		return -1
	case 1:
		return list[0]
	}
	a := r.random.IntN(len(list))
	b := r.random.IntN(len(list) - 1)
	if b >= a {
		b++
	}
	if r.less(now, p, targets, list[b], list[a]) {
		return list[b]
	}
	return list[a]
}

// less reports whether target a is better than target b; -1 is worse than any.
func (r *Router) less(now time.Time, p *pool, targets []hv.Target, a, b int) bool {
	if a < 0 || b < 0 {
		return a >= 0
	}
	return r.score(now, p, targets[a]) < r.score(now, p, targets[b])
}
