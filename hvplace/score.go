package hvplace

import (
	"math"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// weights balances the goals of a placement. Each goal is a cost of about 0 to
// 1; smaller is better.
type weights struct {
	interference float64
	packing      float64
	spread       float64
	// maxSlowdown is the predicted slowdown above which no further batch task
	// is placed beside a service. A slowdown of 1 is the service's target
	// latency.
	maxSlowdown float64
	// reserveDivisor sets the reserve that jobs leave free on each host to
	// 1/reserveDivisor of the largest host. The reserve lets urgent tasks start
	// within 5 s on a full fleet.
	reserveDivisor int64
	// deviations is the number of standard deviations that are added to a
	// predicted effect.
	deviations float64
}

func weightsFor(p hv.Preference) weights {
	if p == hv.Latency {
		return weights{interference: 2, packing: 0.1, spread: 0.5, maxSlowdown: 0.8, reserveDivisor: 16, deviations: 0.5}
	}
	return weights{interference: 1, packing: 0.3, spread: 0.5, maxSlowdown: 0.9, reserveDivisor: 32, deviations: 0}
}

// jobSpreadFactor scales the spread weight for jobs: a lost job can be
// repeated, while a lost service is missed at once.
const jobSpreadFactor = 0.2

// lastResortPenalty is added to the score of hosts that are used only when no
// other host has enough free resources.
const lastResortPenalty = 1000

// suspectInterval is the minimum time between two starts on a suspect host. It
// is the mean time between starts on a host at the design size (83 starts a
// second on 790 hosts), so that a good host loses little when an overload of
// bad jobs makes it suspect, while a host that fails every task immediately
// does not drain the queue.
const suspectInterval = 10 * time.Second

// score returns the cost of a task on a host; smaller is better. It reports
// false if the task would slow a service past maxSlowdown, or if the host is
// suspect and the task failed there or suspectInterval has not passed.
func (p *Placer) score(t hv.Task, e *entry, avoid []string) (float64, bool) {
	interference, ok := p.slowdownIncrease(t, e)
	if !ok {
		return 0, false
	}
	sum := p.weights.interference*interference + p.weights.packing*waste(t.Need, e) + p.spreadCost(t, e)
	avoided := slices.Contains(avoid, e.view.Host.Name)
	if e.view.Suspect && (avoided || p.options.Clock.Now().Sub(e.lastPlaced) < suspectInterval) {
		return 0, false
	}
	if e.view.Suspect || avoided {
		sum += lastResortPenalty
	}
	return math.Round(sum*scorePrecision) / scorePrecision, true
}

// scorePrecision is the inverse of the step to which scores are rounded.
// Rounding keeps the random order of a sum over a map from deciding between
// equal hosts.
const scorePrecision = 1e9

// slowdownIncrease predicts how much a task increases the slowdown of the
// services of a host. It reports false if a job must not be placed there.
func (p *Placer) slowdownIncrease(t hv.Task, e *entry) (float64, bool) {
	if t.Kind == hv.Service {
		return p.exposure(t.Program, e), true
	}
	throttled := e.view.Share > 0 && e.view.Share < fullShare
	sum := 0.0
	for _, service := range e.view.Services {
		s := p.interference.Service(service)
		pair := s.Pair(t.Program)
		effect := max(pair.Mean+p.weights.deviations*math.Sqrt(pair.Variance), 0)
		before := p.predictLogSlowdown(service, e)
		after := before + effect
		overLimit := throttled || after > math.Log(p.weights.maxSlowdown)
		if overLimit && e.batchTasks > 0 && effect > negligibleEffect && t.Kind == hv.Job && !t.Urgent {
			return 0, false
		}
		sum += math.Exp(min(after, 3)) - math.Exp(min(before, 3))
	}
	return sum, true
}

// negligibleEffect is the effect of a batch program below which its jobs are
// placed regardless of the slowdown.
const negligibleEffect = 0.005

const fullShare = 1000

// predictLogSlowdown returns the logarithm of the predicted slowdown of a
// service on a host with its current batch tasks.
func (p *Placer) predictLogSlowdown(service string, e *entry) float64 {
	s := p.interference.Service(service)
	logSlowdown := s.Base().Mean
	if b := e.offsets[service]; b != nil {
		logSlowdown += b.Mean
	}
	for program, n := range e.view.Programs {
		logSlowdown += float64(n) * max(s.Pair(program).Mean, 0)
	}
	return logSlowdown
}

// exposure predicts how much the batch tasks of a host would slow down a new
// service.
func (p *Placer) exposure(service string, e *entry) float64 {
	s := p.interference.Service(service)
	sum := 0.0
	for program, n := range e.view.Programs {
		sum += float64(n) * max(s.Pair(program).Mean, 0)
	}
	return math.Exp(min(sum, 3)) - 1
}

// waste is the smaller of the fractions of processors and memory that stay free
// after the placement, plus the difference between the two. Filling both evenly
// keeps free resources for large tasks.
func waste(need hv.Resources, e *entry) float64 {
	free := e.free().Sub(need)
	processors := fraction(free.Processors, e.view.Host.Capacity.Processors)
	memory := fraction(int64(free.Memory), int64(e.view.Host.Capacity.Memory))
	return min(processors, memory) + math.Abs(processors-memory)
}

func fraction(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (p *Placer) spreadCost(t hv.Task, e *entry) float64 {
	w := p.weights.spread
	if t.Kind == hv.Job {
		w *= jobSpreadFactor
	}
	sum := p.spread.concentration(t.Program, e.view.Host, e.view.Programs[t.Program])
	if g := t.Labels[hv.GroupLabel]; g != "" {
		sum += p.spread.concentration(groupKey(g), e.view.Host, e.view.Groups[g])
	}
	return w * sum
}
