package hvplace

import "math"

// belief is the estimate of one coefficient and its variance.
type belief struct {
	mean, variance float64
}

// The model is linear in the logarithm of the slowdown, as queueing makes the
// tail latency grow faster than the load. Its coefficients are the change of
// that logarithm for each batch task on the host.
const (
	// Before any sample a batch task is assumed to cost a service 5% of its
	// tail latency, give or take 10%.
	pairMean     = 0.05
	pairVariance = 0.10 * 0.10
	// A service without batch work is assumed to be at 60% of its target.
	baseMean     = -0.5
	baseVariance = 0.25
	// Hosts differ by about 20% through the load that routing gives them.
	hostVariance = 0.04
	// One report of a tail latency carries about 25% of noise.
	noiseVariance = 0.06
	// Drift keeps the model open to shifts of load: variances grow back by
	// this much for each sample, up to their prior.
	pairDrift = 1e-5
	baseDrift = 1e-3
	// A single report never moves the model by more than three deviations.
	maxDeviations = 3

	minSlowdown = 0.05
	maxSlowdown = 50

	// maxNames bounds the services, and the programs of each service, that the
	// model learns about; others keep the prior.
	maxNames = 256
)

// sensitivity is what is known about the interference with one service.
type sensitivity struct {
	base  belief
	pairs map[string]*belief
}

// interference learns how much each batch program slows each service.
type interference map[string]*sensitivity

func (m interference) service(name string) *sensitivity {
	s := m[name]
	if s == nil {
		s = &sensitivity{base: belief{baseMean, baseVariance}, pairs: map[string]*belief{}}
		if len(m) < maxNames {
			m[name] = s
		}
	}
	return s
}

func (s *sensitivity) pair(program string) belief {
	if b := s.pairs[program]; b != nil {
		return *b
	}
	return belief{pairMean, pairVariance}
}

func (s *sensitivity) learned(program string) *belief {
	b := s.pairs[program]
	if b == nil {
		b = &belief{pairMean, pairVariance}
		if len(s.pairs) < maxNames {
			s.pairs[program] = b
		}
	}
	return b
}

// term is a coefficient with the amount that it is multiplied with.
type term struct {
	belief *belief
	amount float64
	drift  float64
	limit  float64
}

// observe is a Kalman step with a diagonal covariance: each coefficient takes
// a part of the error in proportion to its variance, so that a prior gives way
// as samples arrive.
func (s *sensitivity) observe(host *belief, programs map[string]int, share, slowdown float64) {
	terms := []term{
		{&s.base, 1, baseDrift, baseVariance},
		{host, 1, baseDrift / 4, hostVariance},
	}
	for program, n := range programs {
		if n > 0 {
			terms = append(terms, term{s.learned(program), float64(n) * share, pairDrift, pairVariance})
		}
	}
	y := math.Log(min(max(slowdown, minSlowdown), maxSlowdown))
	variance := noiseVariance
	for _, t := range terms {
		y -= t.belief.mean * t.amount
		variance += t.belief.variance * t.amount * t.amount
	}
	bound := maxDeviations * math.Sqrt(variance)
	y = min(max(y, -bound), bound)
	for _, t := range terms {
		gain := t.belief.variance * t.amount / variance
		t.belief.mean += gain * y
		t.belief.variance = min(t.belief.variance*(1-gain*t.amount)+t.drift, t.limit)
	}
}
