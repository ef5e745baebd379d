package hvinterference

import "math"

const (
	// maxChange bounds the logarithm of one change of a tail latency.
	maxChange = 1.5
	// solveAfter is the number of samples after which effects are solved anew.
	solveAfter = 12
)

// Changes learns from the change of a service's tail latency between two
// reports and the change of the loads beside it. What else moves the tail, as
// the service's own load, moves slowly and cancels out. It is not safe for
// concurrent use.
type Changes struct {
	prior    Belief
	noise    float64
	services map[string]*normal
}

// NewChanges returns a model without samples. Prior is the effect of a unit of
// load on the logarithm of the tail, noise the variance of one change.
func NewChanges(prior Belief, noise float64) *Changes {
	return &Changes{prior: prior, noise: noise, services: map[string]*normal{}}
}

// normal holds the normal equations of a ridge regression.
type normal struct {
	index map[string]int
	a     [][]float64
	b     []float64
	// effects is the last solution and fresh the samples since.
	effects []Belief
	fresh   int
}

// Observe takes the logarithm of the change of a tail and the changes of the
// loads beside it.
func (c *Changes) Observe(service string, moved map[string]float64, change float64) {
	if len(moved) == 0 {
		return
	}
	n := c.services[service]
	if n == nil {
		if len(c.services) >= MaxNames {
			return
		}
		n = &normal{index: map[string]int{}}
		c.services[service] = n
	}
	y := min(max(change, -maxChange), maxChange)
	for program, load := range moved {
		n.add(program, c.noise/c.prior.Variance)
		y -= c.prior.Mean * load
	}
	for p, x := range moved {
		i, ok := n.index[p]
		if !ok {
			continue
		}
		n.b[i] += x * y
		for q, z := range moved {
			if j, ok := n.index[q]; ok {
				n.a[i][j] += x * z
			}
		}
	}
	n.fresh++
}

// add makes room for a program; ridge is the weight of its prior.
func (n *normal) add(program string, ridge float64) {
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
	n.fresh = solveAfter
}

// Effect returns the effect of a unit of a program's load on the logarithm of
// a service's tail.
func (c *Changes) Effect(service, program string) Belief {
	n := c.services[service]
	if n == nil {
		return c.prior
	}
	i, ok := n.index[program]
	if !ok {
		return c.prior
	}
	if n.fresh >= solveAfter || i >= len(n.effects) {
		n.solve(c.prior.Mean, c.noise)
	}
	return n.effects[i]
}

// solve inverts the matrix by Gauss and Jordan. The ridge keeps it regular.
func (n *normal) solve(mean, noise float64) {
	k := len(n.b)
	inverse := invert(n.a)
	n.effects = make([]Belief, k)
	for i := range n.effects {
		sum := mean
		for j, b := range n.b {
			sum += inverse[i][j] * b
		}
		n.effects[i] = Belief{Mean: sum, Variance: math.Max(noise*inverse[i][i], 0)}
	}
	n.fresh = 0
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
