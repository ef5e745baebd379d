package hvplace

import (
	"math"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// weights balance the goals of a placement. All goals are numbers around 0 to
// 1, smaller is better.
type weights struct {
	interference float64
	packing      float64
	spread       float64
	// limit is the predicted slowdown above which no further batch task is
	// put beside a service; 1 is the service's target latency.
	limit float64
	// reserve is the part, as one in this many, of the largest host that jobs
	// leave free on each host, so that urgent tasks start within 5 s on a full
	// fleet.
	reserve int64
	// caution is the number of deviations that are added to a prediction.
	caution float64
}

func weightsOf(p hv.Preference) weights {
	if p == hv.Latency {
		return weights{interference: 2, packing: 0.1, spread: 0.5, limit: 0.8, reserve: 16, caution: 0.5}
	}
	return weights{interference: 1, packing: 0.3, spread: 0.5, limit: 0.9, reserve: 32, caution: 0}
}

// batchSpread is the weight of spread for jobs relative to tasks that serve:
// a lost job is repeated, a lost service is missed at once.
const batchSpread = 0.2

// lastChoice is added to hosts that are used only when no other host has room.
const lastChoice = 1000

// suspectPace is the least time between two starts on a suspect host. It is
// the mean time between the starts on a host at the design size (83 starts a
// second on 790 hosts), so that a good host loses little when a flood of bad
// jobs makes it suspect, while a host that fails everything at once does not
// swallow the queue.
const suspectPace = 10 * time.Second

// score rates a host for a task, smaller is better. It reports false if the
// task would slow a service past the limit.
func (p *Placer) score(t hv.Task, e *entry, avoid []string) (float64, bool) {
	slow, ok := p.slowdown(t, e)
	if !ok {
		return 0, false
	}
	sum := p.weights.interference*slow + p.weights.packing*waste(t.Need, e) + p.crowd(t, e)
	avoided := slices.Contains(avoid, e.view.Host.Name)
	if e.view.Suspect && (avoided || p.options.Clock.Now().Sub(e.started) < suspectPace) {
		return 0, false
	}
	if e.view.Suspect || avoided {
		sum += lastChoice
	}
	return math.Round(sum*scoreSteps) / scoreSteps, true
}

// scoreSteps rounds scores, so that the order in which a map is summed does
// not decide between equal hosts.
const scoreSteps = 1e9

// slowdown is the predicted growth of the slowdown of the services of a host.
func (p *Placer) slowdown(t hv.Task, e *entry) (float64, bool) {
	if t.Kind == hv.Service {
		return p.exposure(t.Program, e), true
	}
	throttled := e.view.Share > 0 && e.view.Share < fullShare
	sum := 0.0
	for _, service := range e.view.Services {
		s := p.interference.Service(service)
		pair := s.Pair(t.Program)
		cost := max(pair.Mean+p.weights.caution*math.Sqrt(pair.Variance), 0)
		before := p.predict(service, e)
		after := before + cost
		over := throttled || after > math.Log(p.weights.limit)
		if over && e.batch > 0 && cost > harmless && t.Kind == hv.Job && !t.Urgent {
			return 0, false
		}
		sum += math.Exp(min(after, 3)) - math.Exp(min(before, 3))
	}
	return sum, true
}

// harmless is the coefficient below which a batch program is not held back.
const harmless = 0.005

const fullShare = 1000

// predict returns the logarithm of the slowdown of a service on a host with
// its present batch tasks.
func (p *Placer) predict(service string, e *entry) float64 {
	s := p.interference.Service(service)
	y := s.Base().Mean
	if b := e.offsets[service]; b != nil {
		y += b.Mean
	}
	for program, n := range e.view.Programs {
		y += float64(n) * max(s.Pair(program).Mean, 0)
	}
	return y
}

// exposure is what the batch tasks of a host would cost a new service.
func (p *Placer) exposure(service string, e *entry) float64 {
	s := p.interference.Service(service)
	sum := 0.0
	for program, n := range e.view.Programs {
		sum += float64(n) * max(s.Pair(program).Mean, 0)
	}
	return math.Exp(min(sum, 3)) - 1
}

// waste is the free share of the scarcer resource after the placement, plus
// the difference between the shares. Filling hosts evenly in both leaves room
// for large tasks.
func waste(need hv.Resources, e *entry) float64 {
	left := e.free().Sub(need)
	c := share(left.Processors, e.view.Host.Capacity.Processors)
	m := share(int64(left.Memory), int64(e.view.Host.Capacity.Memory))
	return min(c, m) + math.Abs(c-m)
}

func share(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func (p *Placer) crowd(t hv.Task, e *entry) float64 {
	w := p.weights.spread
	if t.Kind == hv.Job {
		w *= batchSpread
	}
	sum := p.spread.crowding(t.Program, e.view.Host, e.view.Programs[t.Program])
	if g := t.Labels[hv.GroupLabel]; g != "" {
		sum += p.spread.crowding(groupKey(g), e.view.Host, e.view.Groups[g])
	}
	return w * sum
}
