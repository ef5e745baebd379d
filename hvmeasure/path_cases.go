package hvmeasure

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
)

// behavior is the way an upstream answers.
type behavior int

const (
	normal   behavior = iota
	slow              // takes slowFactor times as long
	failing           // answers status 500 at once
	hanging           // does not answer
	wrong             // answers something else than asked for
	refusing          // refuses each request before it runs
)

const (
	slowFactor = 5
	failTime   = 100 * time.Microsecond
	// faultStart is when upstreams change their behavior. A bad upstream must
	// lose its traffic within 1 s, so these cases measure from faultFrom.
	faultStart = 2 * time.Second
	faultFrom  = faultStart + time.Second
	pathLength = 8 * time.Second
)

// offer is the stream of requests of one caller. Load is in multiples of the
// capacity of the fleet.
type offer struct {
	class  hv.Class
	caller string
	load   float64
	// floor is the guaranteed share of the slots, in thousandths.
	floor int
}

// pathCase is one situation of the request path.
type pathCase struct {
	name   string
	offers []offer
	// parts holds the share of the traffic of each gate; none means one gate.
	parts    []float64
	callers  map[string]hvadmit.CallerSettings
	behavior func(u *pathUpstream) behavior
	// later moves the time that counts away from the start.
	later   time.Duration
	targets []Target
}

// usual is the work beside a fault: the upstreams that are left can do it.
var usual = []offer{{hv.Urgent, "weights", 0.3, 300}, {hv.Standard, "reports", 0.2, 200}}

func first(b behavior) func(*pathUpstream) behavior {
	return func(u *pathUpstream) behavior {
		if u.index == 0 {
			return b
		}
		return normal
	}
}

const (
	urgentP99  = "urgent p99 to unloaded"
	busy       = "busy %"
	badAnswers = "bad answers %"
)

// sound targets hold in every case.
func sound(targets ...Target) []Target {
	return append(targets, atMost("doubled", 0), atMost("lost", 0), atMost("violations", 0))
}

// busyFleet needs far more than the eighth of the slots at the gate that has a
// third of the traffic.
var busyFleet = []offer{{hv.Urgent, "weights", 0.3, 300}, {hv.Standard, "reports", 0.3, 200}, {hv.Batch, "sheets", 0.2, 100}}

// unevenGates gives the first of eight gates a third of the traffic and the
// others equal parts of the rest.
var unevenGates = []float64{1. / 3, 2. / 21, 2. / 21, 2. / 21, 2. / 21, 2. / 21, 2. / 21, 2. / 21}

// pathCases lists the situations. The bounds are those of docs/design.md:
// urgent p99 within twice its unloaded value, floors kept, slots busy, bad
// upstreams out within 1 s, at most 1.1 dispatches for a request.
var pathCases = []pathCase{
	{
		name:    "path: flood of batch",
		offers:  []offer{{hv.Urgent, "weights", 0.2, 300}, {hv.Standard, "reports", 0.4, 200}, {hv.Batch, "sheets", 10, 100}},
		targets: sound(atMost(urgentP99, 2), atLeast("weights served %", 99), atLeast("reports of floor %", 100), atLeast(busy, 95)),
	},
	{
		name:    "path: flood of urgent",
		offers:  []offer{{hv.Urgent, "weights", 10, 300}, {hv.Standard, "reports", 0.4, 200}, {hv.Batch, "sheets", 0.4, 100}},
		targets: sound(atLeast("reports of floor %", 100), atLeast("sheets of floor %", 100), atLeast(busy, 95)),
	},
	{
		name:    "path: flood of one caller",
		offers:  []offer{{hv.Urgent, "weights", 0.2, 300}, {hv.Standard, "flood", 10, 0}, {hv.Standard, "vendor", 0.25, 150}, {hv.Standard, "office", 0.25, 150}},
		callers: map[string]hvadmit.CallerSettings{"weights": {Weight: 1}, "flood": {Weight: 10}, "vendor": {Weight: 1, Floor: 150}, "office": {Weight: 1, Floor: 150}},
		targets: sound(atMost(urgentP99, 2), atLeast("weights served %", 99), atLeast("vendor of floor %", 100), atLeast("office of floor %", 100), atLeast(busy, 95)),
	},
	{
		name: "path: slow upstream", offers: usual, behavior: first(slow),
		targets: sound(atMost(urgentP99, 2), atLeast("weights served %", 99)),
	},
	{
		name: "path: upstream fails fast", offers: usual, behavior: first(failing),
		targets: sound(atMost(urgentP99, 2), atMost(badAnswers, 1)),
	},
	{
		name: "path: upstream hangs", offers: usual, behavior: first(hanging),
		targets: sound(atMost(urgentP99, 2), atMost(badAnswers, 1)),
	},
	{
		name: "path: upstream answers wrong", offers: usual, behavior: first(wrong),
		targets: sound(atMost(urgentP99, 2), atMost(badAnswers, 1)),
	},
	{
		name: "path: own zone slower", offers: usual,
		behavior: func(u *pathUpstream) behavior {
			if u.host.Zone == gateZone {
				return slow
			}
			return normal
		},
		targets: sound(atMost(urgentP99, 2), atLeast("weights served %", 99)),
	},
	{
		name: "path: one of 8 gates has a third", offers: busyFleet, parts: unevenGates, later: 15 * time.Second,
		targets: sound(atMost(urgentP99, 2), atLeast("weights served %", 99), atLeast("reports served %", 99), atLeast("sheets served %", 99)),
	},
	{
		// All gates start at once and at full load, without any history.
		name: "path: 8 gates start", offers: busyFleet, parts: unevenGates,
		targets: sound(atMost(urgentP99, 2), atLeast("weights served %", 99)),
	},
	{
		name: "path: everything fails", offers: usual, behavior: func(*pathUpstream) behavior { return refusing },
		targets: sound(atMost("dispatches per request", 1.1)),
	},
}

// from is the start of the time that counts.
func (c pathCase) from() time.Duration {
	if c.behavior != nil {
		return faultFrom + c.later
	}
	return faultStart + c.later
}

// length is the time in which requests arrive.
func (c pathCase) length() time.Duration { return pathLength + c.later }
