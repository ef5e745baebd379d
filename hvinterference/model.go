// Package hvinterference learns how much programs slow a service on the same host.
package hvinterference

import "math"

// Estimate is the mean and the variance of the estimate of one coefficient.
type Estimate struct {
	Mean     float64 `json:"mean"`
	Variance float64 `json:"variance"`
}

// Prior holds the estimates before any sample. The model is linear in the logarithm of
// the slowdown, as queueing makes the tail latency grow faster than the load. Its
// coefficients are the change of that logarithm for each unit of load on the host.
type Prior struct {
	// Pair is the effect of one unit of a program's load on a service.
	Pair Estimate
	// Base is the logarithm of the slowdown of a service without other load.
	Base Estimate
	// Noise is the variance of the logarithm of one reported slowdown.
	Noise float64
	// PairDrift and BaseDrift are added to the variances with each sample, up to the
	// variances of the priors, so that the model follows changes of load.
	PairDrift, BaseDrift float64
}

const (
	// maxDeviations bounds the error that one report corrects, in standard deviations.
	maxDeviations = 3

	minSlowdown = 0.05
	maxSlowdown = 50

	// MaxNames is the maximum number of services, and of programs of each service, that
	// a model learns about; others keep the prior.
	MaxNames = 256
)

// Sensitivity holds the estimates of the interference with one service.
type Sensitivity struct {
	prior *Prior
	base  Estimate
	pairs map[string]*Estimate
}

// Model learns how much each program slows each service. It is not safe for
// concurrent use.
type Model struct {
	prior    Prior
	services map[string]*Sensitivity
}

// New returns a model without samples.
func New(p Prior) *Model { return &Model{prior: p, services: map[string]*Sensitivity{}} }

// Service returns the estimates of a service.
func (m *Model) Service(name string) *Sensitivity {
	s := m.services[name]
	if s == nil {
		s = &Sensitivity{prior: &m.prior, base: m.prior.Base, pairs: map[string]*Estimate{}}
		if len(m.services) < MaxNames {
			m.services[name] = s
		}
	}
	return s
}

// Base returns the logarithm of the slowdown of the service without other load.
func (s *Sensitivity) Base() Estimate { return s.base }

// Pair returns the effect of one unit of a program's load on the service.
func (s *Sensitivity) Pair(program string) Estimate {
	if b := s.pairs[program]; b != nil {
		return *b
	}
	return s.prior.Pair
}

// pairEstimate returns the estimate of a program that Observe updates.
func (s *Sensitivity) pairEstimate(program string) *Estimate {
	b := s.pairs[program]
	if b == nil {
		prior := s.prior.Pair
		b = &prior
		if len(s.pairs) < MaxNames {
			s.pairs[program] = b
		}
	}
	return b
}

// term is a coefficient of the model with the input that it is multiplied by. Its
// variance grows by drift with each sample, up to limit.
type term struct {
	estimate *Estimate
	input    float64
	drift    float64
	limit    float64
}

// hostDriftShare is the drift of the offset of a host as a fraction of BaseDrift.
const hostDriftShare = 0.25

// Observe is a step of a Kalman filter with a diagonal covariance: it distributes the
// error over the coefficients in proportion to their variances, so that samples
// gradually replace the prior. Host is the offset of the host, or nil, hostLimit the
// limit of its variance, and loads the load of each program there.
func (s *Sensitivity) Observe(host *Estimate, hostLimit float64, loads map[string]float64, slowdown float64) {
	terms := []term{{&s.base, 1, s.prior.BaseDrift, s.prior.Base.Variance}}
	if host != nil {
		terms = append(terms, term{host, 1, s.prior.BaseDrift * hostDriftShare, hostLimit})
	}
	for program, load := range loads {
		if load > 0 {
			terms = append(terms, term{s.pairEstimate(program), load, s.prior.PairDrift, s.prior.Pair.Variance})
		}
	}
	y := math.Log(min(max(slowdown, minSlowdown), maxSlowdown))
	variance := s.prior.Noise
	for _, t := range terms {
		y -= t.estimate.Mean * t.input
		variance += t.estimate.Variance * t.input * t.input
	}
	bound := maxDeviations * math.Sqrt(variance)
	y = min(max(y, -bound), bound)
	for _, t := range terms {
		gain := t.estimate.Variance * t.input / variance
		t.estimate.Mean += gain * y
		t.estimate.Variance = min(t.estimate.Variance*(1-gain*t.input)+t.drift, t.limit)
	}
}
