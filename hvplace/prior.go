package hvplace

import "hibiscusvane.example/hibiscusvane/hvinterference"

// hostVariance is the prior variance of the per-host offset. The tail latency
// of a service differs by about 20% between hosts, because routing loads them
// unevenly.
const hostVariance = 0.04

// prior is the interference that is assumed before any sample. The unit of load
// is one batch task.
var prior = hvinterference.Prior{
	// A batch task is assumed to raise the tail latency of a service by 5%,
	// with a standard deviation of 10%.
	Pair: hvinterference.Estimate{Mean: 0.05, Variance: 0.10 * 0.10},
	// A service without batch work beside it is assumed to be at 60% of its
	// target latency.
	Base: hvinterference.Estimate{Mean: -0.5, Variance: 0.25},
	// A single report of a tail latency has about 25% of noise.
	Noise:     0.06,
	PairDrift: 1e-5,
	BaseDrift: 1e-3,
}

// loads returns the load of each program when its tasks run at the given
// processor share.
func loads(programs map[string]int, share float64) map[string]float64 {
	out := make(map[string]float64, len(programs))
	for program, n := range programs {
		out[program] = float64(n) * share
	}
	return out
}
