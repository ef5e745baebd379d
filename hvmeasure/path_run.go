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
	gateZone          = "zone-0"
	heartbeatInterval = time.Second
	limitInterval     = 100 * time.Millisecond
	// pathCapacity is the number of requests per second that the slots can run.
	pathCapacity = hostCount * slots * 1000 / (fixedMillis + randomMillis)
)

// event is an action at a point in time. sequence orders events that have the
// same time.
type event struct {
	time     time.Time
	sequence uint64
	action   func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].time.Before(e[j].time) || e[i].time.Equal(e[j].time) && e[i].sequence < e[j].sequence
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// pathRun is one simulation of one case.
type pathRun struct {
	c        pathCase
	settings hvadmit.Settings
	clock    *manualClock
	start    time.Time
	// serviceRandom draws service times, arrivalRandom draws arrival times, so
	// that baseline and policy get the same arrivals.
	serviceRandom, arrivalRandom *rand.Rand
	queue                        eventQueue
	sequence                     uint64
	upstreams                    []*pathUpstream
	byName                       map[string]*pathUpstream
	gates                        []*pathGate
	metrics                      metrics
	urgent                       histogram
	// pending counts the requests without an outcome.
	pending int
	// requests, served and slotTime are indexed like pathCase.loads and cover
	// the measured period.
	requests, served        []int
	slotTime                []time.Duration
	badResponses, responses int
}

// runPath simulates one case once, with the policy or the baseline.
func runPath(c pathCase, d Deployment, policy bool, seed uint64) metrics {
	clock := &manualClock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	n := len(c.loads)
	r := &pathRun{
		c: c, settings: hvadmit.DefaultSettings(), clock: clock, start: clock.now, metrics: metrics{}, byName: map[string]*pathUpstream{},
		serviceRandom: rand.New(rand.NewPCG(seed, 1)), arrivalRandom: rand.New(rand.NewPCG(seed, 2)),
		requests: make([]int, n), served: make([]int, n), slotTime: make([]time.Duration, n),
	}
	r.settings.Callers = c.callers
	for i, h := range d.hosts() {
		u := &pathUpstream{run: r, index: i, host: h}
		r.upstreams, r.byName[h.Name] = append(r.upstreams, u), u
	}
	if c.gateShares == nil {
		r.c.gateShares = []float64{1}
	}
	for i := range r.c.gateShares {
		r.gates = append(r.gates, r.newGate(i, policy, seed))
	}
	r.every(heartbeatInterval, func() {
		for _, u := range r.upstreams {
			u.load = u.running + len(u.waiting)
		}
	})
	for _, g := range r.gates {
		g.updateLimit()
		r.every(limitInterval, g.updateLimit)
	}
	for i := range c.loads {
		r.scheduleArrival(i)
	}
	r.runEvents()
	r.finish()
	return r.metrics
}

func (r *pathRun) newGate(i int, policy bool, seed uint64) *pathGate {
	g := &pathGate{run: r, zone: r.upstreams[i*hostsPerRack%hostCount].host.Zone, outstanding: make([]int, hostCount)}
	violations := func(int, string) { r.metrics["violations"]++ }
	if !policy {
		g.admitter, g.picker = hvadmit.NewFIFO(r.clock, r.settings, violations), hvroute.NewRoundRobin()
		return g
	}
	g.admitter, g.budget = hvadmit.New(r.clock, r.settings, violations), hvretry.New()
	g.picker = hvroute.New(g.zone, r.clock, rand.New(rand.NewPCG(seed, uint64(i)+3)))
	return g
}

func (r *pathRun) elapsed() time.Duration { return r.clock.now.Sub(r.start) }

// isMeasured reports whether t is in the measured period.
func (r *pathRun) isMeasured(t time.Time) bool {
	offset := t.Sub(r.start)
	return offset >= r.c.measureStart() && offset < r.c.duration()
}

func (r *pathRun) after(d time.Duration, action func()) {
	r.sequence++
	heap.Push(&r.queue, event{r.clock.now.Add(d), r.sequence, action})
}

// every repeats an action at an interval until all requests have ended.
func (r *pathRun) every(d time.Duration, action func()) {
	r.after(d, func() {
		action()
		if r.elapsed() < r.c.duration() || r.pending > 0 {
			r.every(d, action)
		}
	})
}

// scheduleArrival schedules the next request of a caller.
func (r *pathRun) scheduleArrival(loadIndex int) {
	gap := r.arrivalRandom.ExpFloat64() / (r.c.loads[loadIndex].load * pathCapacity)
	point := r.arrivalRandom.Float64()
	r.after(time.Duration(gap*float64(time.Second)), func() {
		if r.elapsed() >= r.c.duration() {
			return
		}
		r.scheduleArrival(loadIndex)
		r.gateFor(point).arrive(loadIndex)
	})
}

func (r *pathRun) gateFor(point float64) *pathGate {
	for i, share := range r.c.gateShares {
		if point -= share; point < 0 {
			return r.gates[i]
		}
	}
	return r.gates[0]
}

// drainTime is longer than the longest deadline. A request without an outcome
// after it is counted as lost.
const drainTime = time.Minute

func (r *pathRun) runEvents() {
	for len(r.queue) > 0 && r.elapsed() < r.c.duration()+drainTime {
		e := heap.Pop(&r.queue).(event)
		r.clock.now = e.time
		e.action()
		for _, g := range r.gates {
			g.handleDecisions()
		}
	}
}

// addSlotTime adds the part of an execution that is in the measured period.
func (r *pathRun) addSlotTime(q *pathRequest, duration time.Duration) {
	start := max(r.elapsed(), r.c.measureStart())
	end := min(r.elapsed()+duration, r.c.duration())
	r.slotTime[q.loadIndex] += max(0, end-start)
}

// conclude records the outcome of a request.
func (r *pathRun) conclude(q *pathRequest, outcome hv.Outcome, result hv.DispatchResult) {
	if q.ended {
		r.metrics["violations"]++
		return
	}
	q.ended = true
	r.pending--
	if q.admitted {
		q.entry.Release()
	}
	if !q.measured || outcome == hv.NotRun {
		return
	}
	r.responses++
	if outcome != hv.Done || result != hv.Succeeded {
		r.badResponses++
		return
	}
	r.served[q.loadIndex]++
	if r.c.loads[q.loadIndex].class == hv.Urgent {
		r.urgent.add(float64(r.clock.now.Sub(q.arrived)) / float64(time.Millisecond))
	}
}

func (r *pathRun) finish() {
	totalSlotTime := (r.c.duration() - r.c.measureStart()).Seconds() * hostCount * slots
	for i, l := range r.c.loads {
		share := r.slotTime[i].Seconds() / totalSlotTime
		r.metrics[slotUtilization] += 100 * share
		r.metrics["requests"] += float64(r.requests[i])
		r.metrics[l.caller+" served %"] = 100 * float64(r.served[i]) / float64(max(r.requests[i], 1))
		if l.floor > 0 {
			r.metrics[l.caller+" of floor %"] = 100 * share / min(float64(l.floor)/1000, l.load)
		}
	}
	r.metrics["lost"] = float64(r.pending)
	r.metrics["urgent p50 ms"] = r.urgent.quantile(0.5)
	r.metrics["urgent p99 ms"] = r.urgent.quantile(0.99)
	r.metrics["urgent p99.9 ms"] = r.urgent.quantile(0.999)
	r.metrics[urgentP99] = r.metrics["urgent p99 ms"] / unloadedP99
	r.metrics[badResponses] = 100 * float64(r.badResponses) / float64(max(r.responses, 1))
	r.metrics["dispatches per request"] = r.metrics["dispatches"] / max(r.metrics["admitted"], 1)
}
