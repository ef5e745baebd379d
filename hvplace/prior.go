package hvplace

import "hibiscusvane.example/hibiscusvane/hvinterference"

// Hosts differ by about 20% through the load that routing gives them.
const hostVariance = 0.04

// prior is what is assumed of interference before any sample. The unit of load
// is one batch task.
var prior = hvinterference.Prior{
	// A batch task is assumed to cost a service 5% of its tail latency, give
	// or take 10%.
	Pair: hvinterference.Estimate{Mean: 0.05, Variance: 0.10 * 0.10},
	// A service without batch work is assumed to be at 60% of its target.
	Base: hvinterference.Estimate{Mean: -0.5, Variance: 0.25},
	// One report of a tail latency carries about 25% of noise.
	Noise:     0.06,
	PairDrift: 1e-5,
	BaseDrift: 1e-3,
}

// loads is the load of each program at a share of its processors.
func loads(programs map[string]int, share float64) map[string]float64 {
	out := make(map[string]float64, len(programs))
	for program, n := range programs {
		out[program] = float64(n) * share
	}
	return out
}
