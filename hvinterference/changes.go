package hvinterference

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxChange bounds the absolute value of the logarithm of one change of a tail
	// latency.
	maxChange = 1.5
	// solveInterval is the number of samples of a service after which its effects are
	// computed again.
	solveInterval = 12
)

// ChangeModel learns the effects of programs on the tail latencies of services from
// the changes of a tail latency and of the loads beside it between two reports. Other
// influences, such as the load of the service itself, change slowly and cancel out. It
// is not safe for concurrent use.
type ChangeModel struct {
	prior    Estimate
	noise    float64
	services map[string]*normalEquations
	// restored holds effects from an earlier model, by service and program.
	restored Effects
	version  int64
}

// Effects holds the estimated effects of a model, by service and program.
type Effects map[string]map[string]Estimate

// NewChangeModel returns a model without samples. Prior is the assumed effect of one
// unit of load on the logarithm of a tail latency, and noise the variance of the
// logarithm of one change.
func NewChangeModel(prior Estimate, noise float64) *ChangeModel {
	return &ChangeModel{prior: prior, noise: noise, services: map[string]*normalEquations{}}
}

// handoverVariance is added to the variance of an effect that another model restores,
// as the load may have changed.
const handoverVariance = 0.02 * 0.02

// Restore sets the effects of an earlier model as the initial estimates. It must be
// called before the first sample.
func (c *ChangeModel) Restore(e Effects) {
	c.restored = e
	c.version++
}

// Version counts the changes of the estimates: while it is the same, Effect returns the
// same for a pair.
func (c *ChangeModel) Version() int64 { return c.version }

// Effects returns the estimates of all pairs that were observed or restored.
func (c *ChangeModel) Effects() Effects {
	out := Effects{}
	for service, programs := range c.restored {
		for program := range programs {
			out.set(service, program, c.Effect(service, program))
		}
	}
	for service, n := range c.services {
		for program := range n.index {
			out.set(service, program, c.Effect(service, program))
		}
	}
	return out
}

func (e Effects) set(service, program string, b Estimate) {
	if e[service] == nil {
		e[service] = map[string]Estimate{}
	}
	e[service][program] = b
}

// initialEstimate returns the estimate of a pair before the first sample of this model.
func (c *ChangeModel) initialEstimate(service, program string) Estimate {
	if b, ok := c.restored[service][program]; ok {
		return Estimate{Mean: b.Mean, Variance: min(b.Variance+handoverVariance, c.prior.Variance)}
	}
	return c.prior
}

// normalEquations holds the normal equations of the ridge regression of one service. The
// unknowns are the deviations of the effects from their initial estimates.
type normalEquations struct {
	index map[string]int
	// priorMeans holds the means of the initial estimates.
	priorMeans []float64
	a          [][]float64
	b          []float64
	// effects is the last solution, and unsolvedSamples the number of samples since.
	effects         []Estimate
	unsolvedSamples int
}

// Observe adds a sample: the logarithm of the change of the tail latency of a service,
// and the changes of the loads beside it by program.
func (c *ChangeModel) Observe(service string, loadChanges map[string]float64, change float64) {
	if len(loadChanges) == 0 {
		return
	}
	n := c.services[service]
	if n == nil {
		if len(c.services) >= MaxNames {
			return
		}
		n = &normalEquations{index: map[string]int{}}
		c.services[service] = n
	}
	y := min(max(change, -maxChange), maxChange)
	// In a fixed order, so that the same samples give exactly the same effects.
	programs := slices.Sorted(maps.Keys(loadChanges))
	for _, program := range programs {
		initial := c.initialEstimate(service, program)
		if n.add(program, initial.Mean, c.noise/initial.Variance) {
			c.version++
		}
		y -= initial.Mean * loadChanges[program]
	}
	for _, p := range programs {
		i, ok := n.index[p]
		if !ok {
			continue
		}
		x := loadChanges[p]
		n.b[i] += x * y
		for q, z := range loadChanges {
			if j, ok := n.index[q]; ok {
				n.a[i][j] += x * z
			}
		}
	}
	n.unsolvedSamples++
	if n.unsolvedSamples == solveInterval {
		c.version++
	}
}

// add adds a program to the unknowns and reports whether it is new; ridge is the weight
// of its prior mean.
func (n *normalEquations) add(program string, mean, ridge float64) bool {
	if _, ok := n.index[program]; ok || len(n.b) >= MaxNames {
		return false
	}
	k := len(n.b)
	n.index[program] = k
	for i := range n.a {
		n.a[i] = append(n.a[i], 0)
	}
	n.a = append(n.a, make([]float64, k+1))
	n.a[k][k] = ridge
	n.b = append(n.b, 0)
	n.priorMeans = append(n.priorMeans, mean)
	n.unsolvedSamples = solveInterval
	return true
}

// Effect returns the estimated effect of one unit of a program's load on the logarithm
// of a service's tail latency.
func (c *ChangeModel) Effect(service, program string) Estimate {
	n := c.services[service]
	if n == nil {
		return c.initialEstimate(service, program)
	}
	i, ok := n.index[program]
	if !ok {
		return c.initialEstimate(service, program)
	}
	if n.unsolvedSamples >= solveInterval || i >= len(n.effects) {
		n.solve(c.noise)
	}
	return n.effects[i]
}

// solve computes the effects and their variances from the inverse of the matrix, which
// is regular because of the ridge.
func (n *normalEquations) solve(noise float64) {
	k := len(n.b)
	inverse := invert(n.a)
	n.effects = make([]Estimate, k)
	for i := range n.effects {
		sum := n.priorMeans[i]
		for j, b := range n.b {
			sum += inverse[i][j] * b
		}
		n.effects[i] = Estimate{Mean: sum, Variance: math.Max(noise*inverse[i][i], 0)}
	}
	n.unsolvedSamples = 0
}

// invert returns the inverse of a symmetric positive definite matrix by Gauss-Jordan
// elimination.
func invert(m [][]float64) [][]float64 {
	k := len(m)
	rows := make([][]float64, k)
	for i := range rows {
		rows[i] = make([]float64, 2*k)
		copy(rows[i], m[i])
		rows[i][k+i] = 1
	}
	for i := range rows {
		eliminate(rows, i)
	}
	for i := range rows {
		rows[i] = rows[i][k:]
	}
	return rows
}

// eliminate scales row i to a pivot of 1 and clears its column in the other rows.
func eliminate(rows [][]float64, i int) {
	pivot := rows[i][i]
	for j := range rows[i] {
		rows[i][j] /= pivot
	}
	for r := range rows {
		if r == i || rows[r][i] == 0 {
			continue
		}
		factor := rows[r][i]
		for j := range rows[r] {
			rows[r][j] -= factor * rows[i][j]
		}
	}
}
