// Package hvplace chooses hosts for tasks and the order in which tasks are
// placed.
package hvplace

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvinterference"
)

// candidatesPerZone bounds the hosts per zone that are scored for a placement.
// A few random choices get most of the benefit of scoring all hosts.
const candidatesPerZone = 4

// Options are the dependencies of a Placer.
type Options struct {
	Clock      hv.Clock
	Prefer     hv.Preference
	Seed       uint64
	Violations hv.ViolationReporter
}

// Placer implements hibiscusvane.Placer with an index of the hosts, so that a
// placement examines a bounded number of them.
type Placer struct {
	options Options
	weights weights

	mu           sync.Mutex
	hosts        map[string]*entry
	zones        []*zone
	capacities   *capacities
	spread       spread
	interference *hvinterference.Model
	random       *rand.Rand
	search       search
	candidates   []*entry
}

var _ hv.Placer = (*Placer)(nil)

// New returns a placer without hosts.
func New(o Options) *Placer {
	p := &Placer{
		options: o, weights: weightsFor(o.Prefer), hosts: map[string]*entry{}, capacities: newCapacities(),
		spread: spread{}, interference: hvinterference.New(prior), random: rand.New(rand.NewPCG(o.Seed, 0)),
	}
	p.search = search{limit: candidatesPerZone, random: p.random.IntN}
	return p
}

// SetHost implements hibiscusvane.Placer. Committed and Programs of the view
// replace the placer's own counts, so they must include tasks that were placed
// but are not yet in the host's heartbeat.
func (p *Placer) SetHost(v hv.HostView) {
	p.mu.Lock()
	defer p.mu.Unlock()
	v.Programs, v.Groups = cloneCounts(v.Programs), cloneCounts(v.Groups)
	e := p.hosts[v.Host.Name]
	if e != nil && e.view.Host != v.Host {
		p.removeHost(e)
		e = nil
	}
	if e == nil {
		e = p.addHost(v.Host)
	}
	p.spread.addView(e.view, -1)
	e.view = v
	e.batchTasks = sumCounts(v.Programs)
	p.spread.addView(v, 1)
	e.snapshots.record(p.options.Clock.Now(), v.Programs)
	if !v.Usable {
		e.zone.remove(e)
		return
	}
	e.zone.update(e)
}

func cloneCounts(m map[string]int) map[string]int {
	if m == nil {
		return map[string]int{}
	}
	return maps.Clone(m)
}

func sumCounts(m map[string]int) int {
	sum := 0
	for _, n := range m {
		sum += n
	}
	return sum
}

func (p *Placer) addHost(h hv.Host) *entry {
	e := &entry{view: hv.HostView{Host: h}, zone: p.zone(h.Zone), offsets: map[string]*hvinterference.Estimate{}}
	e.zone.hosts++
	p.hosts[h.Name] = e
	p.capacities.add(h.Capacity)
	return e
}

func (p *Placer) zone(name string) *zone {
	for _, z := range p.zones {
		if z.name == name {
			return z
		}
	}
	z := &zone{name: name}
	p.zones = append(p.zones, z)
	return z
}

// RemoveHost implements hibiscusvane.Placer.
func (p *Placer) RemoveHost(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.hosts[name]; e != nil {
		p.removeHost(e)
	}
}

func (p *Placer) removeHost(e *entry) {
	e.zone.remove(e)
	p.spread.addView(e.view, -1)
	p.capacities.remove(e.view.Host.Capacity)
	delete(p.hosts, e.view.Host.Name)
	e.zone.hosts--
	if e.zone.hosts > 0 {
		return
	}
	for i, z := range p.zones {
		if z == e.zone {
			p.zones = append(p.zones[:i], p.zones[i+1:]...)
			return
		}
	}
}

// Place implements hibiscusvane.Placer.
func (p *Placer) Place(t hv.Task, avoid ...string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.capacities.fitsAny(t.Need) {
		return "", errTooLarge
	}
	p.findCandidates(p.withReserve(t))
	if len(p.candidates) == 0 {
		return "", errFull
	}
	best := p.best(t, avoid)
	if best == nil {
		return "", errNoneSuitable
	}
	p.commit(best, t, 1)
	best.lastPlaced = p.options.Clock.Now()
	return best.view.Host.Name, nil
}

// findCandidates collects the candidates of all zones.
func (p *Placer) findCandidates(need hv.Resources) {
	p.search.need = need
	p.candidates = p.candidates[:0]
	for _, z := range p.zones {
		p.candidates = p.search.sample(z, p.candidates)
	}
}

// withReserve returns the resources that a host must have free for a task. Jobs
// that are not urgent need a reserve on top of their own size; a job that would
// fit no host with the reserve is placed without it.
func (p *Placer) withReserve(t hv.Task) hv.Resources {
	if t.Kind != hv.Job || t.Urgent {
		return t.Need
	}
	largest := p.capacities.maximal[0]
	need := t.Need
	need.Processors += largest.Processors / p.weights.reserveDivisor
	need.Memory += largest.Memory / hv.Size(p.weights.reserveDivisor)
	if !p.capacities.fitsAny(need) {
		return t.Need
	}
	return need
}

func (p *Placer) best(t hv.Task, avoid []string) *entry {
	var best *entry
	var lowest float64
	for _, e := range p.candidates {
		if score, ok := p.score(t, e, avoid); ok && (best == nil || score < lowest) {
			best, lowest = e, score
		}
	}
	return best
}

// commit adds a task to a host (sign 1) or removes it (sign -1). All changes of
// the committed resources by placements and releases go through it.
func (p *Placer) commit(e *entry, t hv.Task, sign int) {
	v := &e.view
	if sign > 0 {
		v.Committed = v.Committed.Add(t.Need)
		if !v.Committed.Fits(v.Host.Capacity) {
			p.options.Violations(1, fmt.Sprintf("host %s is overcommitted: %+v committed of a capacity of %+v", v.Host.Name, v.Committed, v.Host.Capacity))
		}
	} else {
		v.Committed = clampToZero(v.Committed.Sub(t.Need))
	}
	if sign < 0 && v.Programs[t.Program] == 0 {
		sign = 0
	}
	e.batchTasks += sign
	adjust(v.Programs, t.Program, sign)
	p.spread.add(t.Program, v.Host, sign)
	if g := t.Labels[hv.GroupLabel]; g != "" && (sign > 0 || v.Groups[g] > 0) {
		adjust(v.Groups, g, sign)
		p.spread.add(groupKey(g), v.Host, sign)
	}
	e.snapshots.record(p.options.Clock.Now(), v.Programs)
	if v.Usable {
		e.zone.update(e)
	}
}

// clampToZero covers a release that the last heartbeat has already counted: a
// negative commitment would make the host look larger than it is.
func clampToZero(r hv.Resources) hv.Resources {
	return hv.Resources{
		Processors:   max(r.Processors, 0),
		Memory:       max(r.Memory, 0),
		Accelerators: max(r.Accelerators, 0),
	}
}

// Release implements hibiscusvane.Placer.
func (p *Placer) Release(t hv.Task, host string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.hosts[host]; e != nil {
		p.commit(e, t, -1)
	}
}

// Observe implements hibiscusvane.Placer.
func (p *Placer) Observe(s hv.InterferenceSample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.hosts[s.Host]
	if e == nil || !(s.Slowdown > 0) {
		return
	}
	programs := s.Programs
	if programs == nil {
		programs = e.snapshots.at(s.Time)
	}
	if programs == nil {
		return
	}
	offset := e.offsets[s.Service]
	if offset == nil {
		offset = &hvinterference.Estimate{Variance: hostVariance}
		if len(e.offsets) < hvinterference.MaxNames {
			e.offsets[s.Service] = offset
		}
	}
	share := 1.0
	if s.Share > 0 {
		share = float64(s.Share) / fullShare
	}
	p.interference.Service(s.Service).Observe(offset, hostVariance, loads(programs, share), s.Slowdown)
}

// HostsExamined returns how many hosts all placements so far have compared with
// a task.
func (p *Placer) HostsExamined() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.search.examined
}

// SetPrefer changes the goal that placement gives the most weight.
func (p *Placer) SetPrefer(prefer hv.Preference) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.weights = weightsFor(prefer)
}
