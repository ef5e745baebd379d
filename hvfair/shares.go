package hvfair

import (
	"math"
	"slices"
)

const (
	// weightRatio is the ratio of the weights of a queue and the next less urgent one.
	weightRatio = 2
	// maxRank bounds the ratio of the weights of the first and the last queue, so that
	// the last one keeps a noticeable floor.
	maxRank = 3
)

// Dimensions is the number of resources of an Amount.
const Dimensions = 4

// Amount is an amount of each resource: processors, memory, accelerators, and the
// processors that best-effort work may use.
type Amount [Dimensions]int64

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	for i := range a {
		a[i] += b[i]
	}
	return a
}

// Sub returns a - b.
func (a Amount) Sub(b Amount) Amount {
	for i := range a {
		a[i] -= b[i]
	}
	return a
}

// Fits reports whether a is at most b in every dimension.
func (a Amount) Fits(b Amount) bool {
	for i := range a {
		if a[i] > b[i] {
			return false
		}
	}
	return true
}

// Dominant returns the largest fraction of a resource of the capacity that is used.
// Resources without capacity do not count.
func Dominant(used, capacity Amount) float64 {
	most := 0.0
	for i := range used {
		if capacity[i] > 0 {
			most = max(most, float64(used[i])/float64(capacity[i]))
		}
	}
	return most
}

// Weight returns the weight of a queue with a priority among those of the queues that
// share. The lowest number has the greatest weight.
func Weight(priority int, all []int) float64 {
	var lower []int
	for _, p := range all {
		if p < priority && !slices.Contains(lower, p) {
			lower = append(lower, p)
		}
	}
	return math.Pow(weightRatio, -float64(min(len(lower), maxRank)))
}

// Floors divides a fraction of the capacity by weight. Claims of weight 0, those without
// waiting work, get nothing, so their part is lent to the others.
func Floors(total float64, weights []float64) []float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	out := make([]float64, len(weights))
	for i, w := range weights {
		if w > 0 {
			out[i] = total * w / sum
		}
	}
	return out
}

// Position returns the used part of a floor: 0 if nothing of it is used, and 1 if all of
// it is or there is none. Work with a lower position goes first.
func Position(used, floor float64) float64 {
	if floor <= 0 {
		return 1
	}
	return min(used/floor, 1)
}

// Tasks returns how many tasks of a size start until a floor is reached.
func Tasks(used, floor, size float64) int {
	if used >= floor {
		return 0
	}
	n := math.Ceil((floor - used) / size)
	if n >= math.MaxInt32 {
		return math.MaxInt32
	}
	return int(n)
}

const (
	// turnsPerLate is the number of starts of which late work gets one.
	turnsPerLate = 8
	// maxLateTurns bounds the turns that late work saves while no host can start it.
	maxLateTurns = 8
)

// LateTurns counts the turns of late work.
type LateTurns struct {
	// credit is in starts of others; turnsPerLate-1 of them earn one of late work.
	credit int
}

// Due returns the number of starts that late work has before all others.
func (t LateTurns) Due() int { return t.credit / (turnsPerLate - 1) }

// After returns the turns after others and late work have started tasks.
func (t LateTurns) After(others, late int) LateTurns {
	t.credit += others - (turnsPerLate-1)*late
	return LateTurns{min(max(t.credit, 0), maxLateTurns*(turnsPerLate-1))}
}
