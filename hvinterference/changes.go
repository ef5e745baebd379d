package hvinterference

import "math"

const (
	// maxChange bounds the logarithm of one change of a tail latency.
	maxChange = 1.5
	// solveInterval is the number of samples after which effects are solved anew.
	solveInterval = 12
)

// ChangeModel learns from the change of a service's tail latency between two
// reports and the change of the loads beside it. What else moves the tail, as
// the service's own load, moves slowly and cancels out. It is not safe for
// concurrent use.
type ChangeModel struct {
	prior    Estimate
	noise    float64
	services map[string]*normalEquations
	// restored holds effects from an earlier model, by service and program.
	restored Effects
}

// Effects holds what a model knows, by service and program.
type Effects map[string]map[string]Estimate

// NewChangeModel returns a model without samples. Prior is the effect of a unit of
// load on the logarithm of the tail, noise the variance of one change.
func NewChangeModel(prior Estimate, noise float64) *ChangeModel {
	return &ChangeModel{prior: prior, noise: noise, services: map[string]*normalEquations{}}
}

// handoverVariance is what the variance of an effect grows by when another model goes on
// with it, as load may have shifted.
const handoverVariance = 0.02 * 0.02

// Restore starts from the effects of an earlier model. It must be called
// before the first sample.
func (c *ChangeModel) Restore(e Effects) { c.restored = e }

// Effects returns what the model knows.
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

// initialEstimate is what is assumed of a pair before the first sample of this model.
func (c *ChangeModel) initialEstimate(service, program string) Estimate {
	if b, ok := c.restored[service][program]; ok {
		return Estimate{Mean: b.Mean, Variance: min(b.Variance+handoverVariance, c.prior.Variance)}
	}
	return c.prior
}

// normalEquations holds the normal equations of a ridge regression.
type normalEquations struct {
	index map[string]int
	// priorMeans holds what was assumed of each program at the start.
	priorMeans []float64
	a          [][]float64
	b          []float64
	// effects is the last solution and fresh the samples since.
	effects         []Estimate
	unsolvedSamples int
}

// Observe takes the logarithm of the change of a tail and the changes of the
// loads beside it.
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
	for program, load := range loadChanges {
		start := c.initialEstimate(service, program)
		n.add(program, start.Mean, c.noise/start.Variance)
		y -= start.Mean * load
	}
	for p, x := range loadChanges {
		i, ok := n.index[p]
		if !ok {
			continue
		}
		n.b[i] += x * y
		for q, z := range loadChanges {
			if j, ok := n.index[q]; ok {
				n.a[i][j] += x * z
			}
		}
	}
	n.unsolvedSamples++
}

// add makes room for a program; ridge is the weight of its mean.
func (n *normalEquations) add(program string, mean, ridge float64) {
	if _, ok := n.index[program]; ok || len(n.b) >= MaxNames {
		return
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
}

// Effect returns the effect of a unit of a program's load on the logarithm of
// a service's tail.
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

// solve inverts the matrix by Gauss and Jordan. The ridge keeps it regular.
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

// invert returns the inverse of a symmetric positive definite matrix.
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
