package hvmeasure

import (
	"container/heap"
	"math/rand/v2"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
	"hibiscusvane.example/hibiscusvane/hvretry"
	"hibiscusvane.example/hibiscusvane/hvroute"
)

const (
	// gateZone is the zone of the first gate.
	gateZone    = "zone-0"
	beatEvery   = time.Second
	limitsEvery = 100 * time.Millisecond
	// pathCapacity is the number of requests a second that the slots can run.
	pathCapacity = hostCount * slots * 1000 / (fixedMillis + randomMillis)
)

// event is a step at a time; order keeps steps of one instant in sequence.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// pathRun is one run of one case.
type pathRun struct {
	c        pathCase
	settings hvadmit.Settings
	clock    *manualClock
	start    time.Time
	// random draws times of service, arrivals those of arrivals, so that
	// baseline and policy meet the same arrivals.
	random, arrivals *rand.Rand
	queue            events
	order            uint64
	upstreams        []*pathUpstream
	byName           map[string]*pathUpstream
	gates            []*pathGate
	m                metrics
	urgent           histogram
	// open counts requests without an outcome.
	open int
	// requests, served and slotTime are by offer, in the time that counts.
	requests, served []int
	slotTime         []time.Duration
	bad, answered    int
}

// runPath measures one case once.
func runPath(c pathCase, d Deployment, policy bool, seed uint64) metrics {
	clock := &manualClock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	n := len(c.offers)
	r := &pathRun{
		c: c, settings: hvadmit.DefaultSettings(), clock: clock, start: clock.now, m: metrics{}, byName: map[string]*pathUpstream{},
		random: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)),
		requests: make([]int, n), served: make([]int, n), slotTime: make([]time.Duration, n),
	}
	r.settings.Callers = c.callers
	for i, h := range d.hosts() {
		u := &pathUpstream{run: r, index: i, host: h}
		r.upstreams, r.byName[h.Name] = append(r.upstreams, u), u
	}
	if c.parts == nil {
		r.c.parts = []float64{1}
	}
	for i := range r.c.parts {
		r.gates = append(r.gates, r.newGate(i, policy, seed))
	}
	r.every(beatEvery, func() {
		for _, u := range r.upstreams {
			u.load = u.running + len(u.waiting)
		}
	})
	for _, g := range r.gates {
		g.refresh()
		r.every(limitsEvery, g.refresh)
	}
	for i := range c.offers {
		r.schedule(i)
	}
	r.loop()
	r.finish()
	return r.m
}

func (r *pathRun) newGate(i int, policy bool, seed uint64) *pathGate {
	g := &pathGate{run: r, zone: r.upstreams[i*hostsPerRack%hostCount].host.Zone, outstanding: make([]int, hostCount)}
	violations := func(int, string) { r.m["violations"]++ }
	if !policy {
		g.admit, g.pick = hvadmit.NewFIFO(r.clock, r.settings, violations), hvroute.NewRoundRobin()
		return g
	}
	g.admit, g.budget = hvadmit.New(r.clock, r.settings, violations), hvretry.New()
	g.pick = hvroute.New(g.zone, r.clock, rand.New(rand.NewPCG(seed, uint64(i)+3)))
	return g
}

func (r *pathRun) elapsed() time.Duration { return r.clock.now.Sub(r.start) }

// counts reports whether a time is in the part that is measured.
func (r *pathRun) counts(t time.Time) bool {
	at := t.Sub(r.start)
	return at >= r.c.from() && at < r.c.length()
}

func (r *pathRun) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.queue, event{r.clock.now.Add(d), r.order, do})
}

// every repeats a step until all requests have ended.
func (r *pathRun) every(d time.Duration, do func()) {
	r.after(d, func() {
		do()
		if r.elapsed() < r.c.length() || r.open > 0 {
			r.every(d, do)
		}
	})
}

// schedule plans the next arrival of an offer.
func (r *pathRun) schedule(offer int) {
	gap := r.arrivals.ExpFloat64() / (r.c.offers[offer].load * pathCapacity)
	part := r.arrivals.Float64()
	r.after(time.Duration(gap*float64(time.Second)), func() {
		if r.elapsed() >= r.c.length() {
			return
		}
		r.schedule(offer)
		r.gate(part).arrive(offer)
	})
}

func (r *pathRun) gate(part float64) *pathGate {
	for i, share := range r.c.parts {
		if part -= share; part < 0 {
			return r.gates[i]
		}
	}
	return r.gates[0]
}

// drainTime is longer than the longest deadline. What has no outcome by then
// is lost.
const drainTime = time.Minute

func (r *pathRun) loop() {
	for len(r.queue) > 0 && r.elapsed() < r.c.length()+drainTime {
		e := heap.Pop(&r.queue).(event)
		r.clock.now = e.at
		e.do()
		for _, g := range r.gates {
			g.decide()
		}
	}
}

// used adds the slot time of a run within the time that counts.
func (r *pathRun) used(q *pathRequest, took time.Duration) {
	from := max(r.elapsed(), r.c.from())
	until := min(r.elapsed()+took, r.c.length())
	r.slotTime[q.offer] += max(0, until-from)
}

// conclude gives a request its outcome.
func (r *pathRun) conclude(q *pathRequest, outcome hv.Outcome, result hv.DispatchResult) {
	if q.ended {
		r.m["violations"]++
		return
	}
	q.ended = true
	r.open--
	if q.admitted {
		q.entry.Release()
	}
	if !q.counted || outcome == hv.NotRun {
		return
	}
	r.answered++
	if outcome != hv.Done || result != hv.Succeeded {
		r.bad++
		return
	}
	r.served[q.offer]++
	if r.c.offers[q.offer].class == hv.Urgent {
		r.urgent.add(float64(r.clock.now.Sub(q.arrived)) / float64(time.Millisecond))
	}
}

func (r *pathRun) finish() {
	all := (r.c.length() - r.c.from()).Seconds() * hostCount * slots
	for i, o := range r.c.offers {
		share := r.slotTime[i].Seconds() / all
		r.m[busy] += 100 * share
		r.m["requests"] += float64(r.requests[i])
		r.m[o.caller+" served %"] = 100 * float64(r.served[i]) / float64(max(r.requests[i], 1))
		if o.floor > 0 {
			r.m[o.caller+" of floor %"] = 100 * share / min(float64(o.floor)/1000, o.load)
		}
	}
	r.m["lost"] = float64(r.open)
	r.m["urgent p50 ms"] = r.urgent.quantile(0.5)
	r.m["urgent p99 ms"] = r.urgent.quantile(0.99)
	r.m["urgent p99.9 ms"] = r.urgent.quantile(0.999)
	r.m[urgentP99] = r.m["urgent p99 ms"] / unloadedP99
	r.m[badAnswers] = 100 * float64(r.bad) / float64(max(r.answered, 1))
	r.m["dispatches per request"] = r.m["dispatches"] / max(r.m["admitted"], 1)
}
