package hvplace

import (
	"math"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	hv "hibiscusvane.example/hibiscusvane"
)

// Declared sizes and run times are off by factors of 0.25 to 4. A factor
// outside this range comes from a fault, not from a pattern of the program, and
// is clamped.
const (
	minFactor = 0.25
	maxFactor = 4.0

	factorsPerProgram = 32
	maxPrograms       = 1024
)

// priorFactors are pseudo-observations for a program with little history; they
// assume that its declaration is right on average. One is dropped for every
// observationsPerPrior observations. While they remain, a high quantile falls
// on one of them and not on a single observation.
var priorFactors = []float64{1, 1, 0.5, 2}

const observationsPerPrior = 4

// Estimator derives correction factors for declared values from the actual
// values of earlier tasks of the same program.
type Estimator struct {
	mu       sync.Mutex
	programs *lru.Cache[string, *factors]
}

type factors struct {
	recent []float64
	next   int
	// sorted holds recent and the remaining priorFactors in ascending order, or
	// nil if it has to be recomputed.
	sorted []float64
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	c, err := lru.New[string, *factors](maxPrograms)
	if err != nil {
		panic(err) // fails only for a size below 1
	}
	return &Estimator{programs: c}
}

// Observe records the declared and the actual value of a finished task.
func (e *Estimator) Observe(program string, declared, actual float64) {
	if !(declared > 0) || !(actual > 0) || math.IsInf(actual, 0) {
		return
	}
	factor := min(max(actual/declared, minFactor), maxFactor)
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.programs.Get(program)
	if !ok {
		f = &factors{}
		e.programs.Add(program, f)
	}
	f.sorted = nil
	if len(f.recent) < factorsPerProgram {
		f.recent = append(f.recent, factor)
		return
	}
	f.recent[f.next] = factor
	f.next = (f.next + 1) % factorsPerProgram
}

// Factor returns the given quantile of the ratios between actual and declared
// values of a program. It is 1 for a program without observations.
func (e *Estimator) Factor(program string, quantile float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	f, ok := e.programs.Get(program)
	if !ok {
		return 1
	}
	if f.sorted == nil {
		dropped := min(len(f.recent)/observationsPerPrior, len(priorFactors))
		f.sorted = append(slices.Clone(f.recent), priorFactors[:len(priorFactors)-dropped]...)
		slices.Sort(f.sorted)
	}
	i := int(quantile * float64(len(f.sorted)))
	return f.sorted[min(max(i, 0), len(f.sorted)-1)]
}

// The quantiles weigh underestimates against overestimates: too little memory
// kills a task, too few processors slow it down, and too short a run time makes
// it start late.
const (
	runtimeQuantile   = 0.75
	processorQuantile = 0.7
	memoryQuantile    = 0.95
)

// History estimates corrections of declared run times and sizes.
type History struct {
	runtime, processors, memory *Estimator
}

// NewHistory returns a history without observations.
func NewHistory() *History {
	return &History{NewEstimator(), NewEstimator(), NewEstimator()}
}

// ObserveRuntime records the run time of a finished task, scaled to an
// unthrottled processor share.
func (h *History) ObserveRuntime(t hv.Task, actual time.Duration) {
	h.runtime.Observe(t.Program, t.Runtime.Std().Seconds(), actual.Seconds())
}

// ObserveUsage records the peak usage of a task.
func (h *History) ObserveUsage(t hv.Task, peak hv.Resources) {
	h.processors.Observe(t.Program, float64(t.Need.Processors), float64(peak.Processors))
	h.memory.Observe(t.Program, float64(t.Need.Memory), float64(peak.Memory))
}

// Runtime returns the corrected run time of a task.
func (h *History) Runtime(t hv.Task) time.Duration {
	return time.Duration(float64(t.Runtime) * h.runtime.Factor(t.Program, runtimeQuantile))
}

// Commitment returns the corrected size of a task, which is what a host should
// commit for it. Accelerators stay as declared, as a host cannot commit more of
// them than were requested.
func (h *History) Commitment(t hv.Task) hv.Resources {
	return hv.Resources{
		Processors:   int64(float64(t.Need.Processors) * h.processors.Factor(t.Program, processorQuantile)),
		Memory:       hv.Size(float64(t.Need.Memory) * h.memory.Factor(t.Program, memoryQuantile)),
		Accelerators: t.Need.Accelerators,
	}
}

// Correct returns a copy of a task with its corrected size and run time, for
// placement. If the corrected size exceeds the largest host, the declared size
// is kept.
func (h *History) Correct(t hv.Task, largest hv.Resources) hv.Task {
	t.Runtime = hv.Duration(h.Runtime(t))
	if c := h.Commitment(t); c.Fits(largest) {
		t.Need = c
	}
	return t
}
