package hvmeasure

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
)

// behavior is how an upstream responds.
type behavior int

const (
	normal        behavior = iota
	slow                   // takes slowFactor times the usual service time
	failing                // responds with status 500 at once
	hanging                // does not respond
	wrongResponse          // responds with something other than what was requested
	refusing               // refuses each request before running it
)

const (
	slowFactor = 5
	failTime   = 100 * time.Microsecond
	// faultStart is when upstreams change their behavior. A faulty upstream must
	// lose its traffic within 1 s, so these cases measure from
	// faultMeasureStart.
	faultStart        = 2 * time.Second
	faultMeasureStart = faultStart + time.Second
	pathDuration      = 8 * time.Second
)

// callerLoad describes the requests of one caller. Its load is a multiple of the
// capacity of the fleet.
type callerLoad struct {
	class  hv.Class
	caller string
	load   float64
	// floor is the guaranteed share of the slots, in thousandths.
	floor int
}

// pathCase is one scenario of the request path.
type pathCase struct {
	name  string
	loads []callerLoad
	// gateShares holds each gate's share of the traffic; nil means one gate.
	gateShares []float64
	callers    map[string]hvadmit.CallerSettings
	behavior   func(u *pathUpstream) behavior
	// warmUp delays the start of the measured period.
	warmUp  time.Duration
	targets []Target
}

// normalLoads is the load in the cases with a fault. The upstreams without a
// fault have the capacity for it.
var normalLoads = []callerLoad{{hv.Urgent, "weights", 0.3, 300}, {hv.Standard, "reports", 0.2, 200}}

func onFirstUpstream(b behavior) func(*pathUpstream) behavior {
	return func(u *pathUpstream) behavior {
		if u.index == 0 {
			return b
		}
		return normal
	}
}

const (
	urgentP99       = "urgent p99 to unloaded"
	slotUtilization = "busy %"
	badResponses    = "bad responses %"
)

// withInvariants appends the targets that hold in every case.
func withInvariants(targets ...Target) []Target {
	return append(targets, atMost("doubled", 0), atMost("lost", 0), atMost("violations", 0))
}

// highLoads makes the gate that has a third of the traffic need far more than
// an eighth of the slots.
var highLoads = []callerLoad{{hv.Urgent, "weights", 0.3, 300}, {hv.Standard, "reports", 0.3, 200}, {hv.Batch, "sheets", 0.2, 100}}

// unevenShares gives the first of eight gates a third of the traffic and the
// others equal parts of the rest.
var unevenShares = []float64{1. / 3, 2. / 21, 2. / 21, 2. / 21, 2. / 21, 2. / 21, 2. / 21, 2. / 21}

// pathCases lists the scenarios. The bounds are those of docs/design.md:
// urgent p99 within twice its unloaded value, floors kept, slots busy, faulty
// upstreams without traffic within 1 s, at most 1.1 dispatches per request.
var pathCases = []pathCase{
	{
		name:    "path: overload by batch",
		loads:   []callerLoad{{hv.Urgent, "weights", 0.2, 300}, {hv.Standard, "reports", 0.4, 200}, {hv.Batch, "sheets", 10, 100}},
		targets: withInvariants(atMost(urgentP99, 2), atLeast("weights served %", 99), atLeast("reports of floor %", 100), atLeast(slotUtilization, 95)),
	},
	{
		name:    "path: overload by urgent",
		loads:   []callerLoad{{hv.Urgent, "weights", 10, 300}, {hv.Standard, "reports", 0.4, 200}, {hv.Batch, "sheets", 0.4, 100}},
		targets: withInvariants(atLeast("reports of floor %", 100), atLeast("sheets of floor %", 100), atLeast(slotUtilization, 95)),
	},
	{
		name:    "path: overload by one caller",
		loads:   []callerLoad{{hv.Urgent, "weights", 0.2, 300}, {hv.Standard, "heavy", 10, 0}, {hv.Standard, "vendor", 0.25, 150}, {hv.Standard, "office", 0.25, 150}},
		callers: map[string]hvadmit.CallerSettings{"weights": {Weight: 1}, "heavy": {Weight: 10}, "vendor": {Weight: 1, Floor: 150}, "office": {Weight: 1, Floor: 150}},
		targets: withInvariants(atMost(urgentP99, 2), atLeast("weights served %", 99), atLeast("vendor of floor %", 100), atLeast("office of floor %", 100), atLeast(slotUtilization, 95)),
	},
	{
		name: "path: slow upstream", loads: normalLoads, behavior: onFirstUpstream(slow),
		targets: withInvariants(atMost(urgentP99, 2), atLeast("weights served %", 99)),
	},
	{
		name: "path: upstream fails fast", loads: normalLoads, behavior: onFirstUpstream(failing),
		targets: withInvariants(atMost(urgentP99, 2), atMost(badResponses, 1)),
	},
	{
		name: "path: upstream hangs", loads: normalLoads, behavior: onFirstUpstream(hanging),
		targets: withInvariants(atMost(urgentP99, 2), atMost(badResponses, 1)),
	},
	{
		name: "path: upstream returns wrong responses", loads: normalLoads, behavior: onFirstUpstream(wrongResponse),
		targets: withInvariants(atMost(urgentP99, 2), atMost(badResponses, 1)),
	},
	{
		name: "path: own zone slower", loads: normalLoads,
		behavior: func(u *pathUpstream) behavior {
			if u.host.Zone == gateZone {
				return slow
			}
			return normal
		},
		targets: withInvariants(atMost(urgentP99, 2), atLeast("weights served %", 99)),
	},
	{
		name: "path: one of 8 gates has a third", loads: highLoads, gateShares: unevenShares, warmUp: 15 * time.Second,
		targets: withInvariants(atMost(urgentP99, 2), atLeast("weights served %", 99), atLeast("reports served %", 99), atLeast("sheets served %", 99)),
	},
	{
		// All gates start at once at full load, without latency history.
		name: "path: 8 gates start", loads: highLoads, gateShares: unevenShares,
		targets: withInvariants(atMost(urgentP99, 2), atLeast("weights served %", 99)),
	},
	{
		name: "path: everything fails", loads: normalLoads, behavior: func(*pathUpstream) behavior { return refusing },
		targets: withInvariants(atMost("dispatches per request", 1.1)),
	},
}

// measureStart returns the offset at which the measured period begins.
func (c pathCase) measureStart() time.Duration {
	if c.behavior != nil {
		return faultMeasureStart + c.warmUp
	}
	return faultStart + c.warmUp
}

// duration returns how long requests arrive.
func (c pathCase) duration() time.Duration { return pathDuration + c.warmUp }
