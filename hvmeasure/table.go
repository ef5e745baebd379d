package hvmeasure

import (
	"fmt"
	"io"
	"slices"
	"sync"
)

// Spread is the median of a metric over several runs, with the lowest and the
// highest value.
type Spread struct{ Low, Median, High float64 }

func (s Spread) String() string {
	if s.Low == s.High {
		return fmt.Sprintf("%.4g", s.Median)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g)", s.Median, s.Low, s.High)
}

func spreadOf(runs []metrics, name string) Spread {
	var v []float64
	for _, m := range runs {
		v = append(v, m[name])
	}
	slices.Sort(v)
	return Spread{v[0], v[len(v)/2], v[len(v)-1]}
}

// parallelRuns limits the load on a shared machine.
const parallelRuns = 4

// repeat calls run with the seeds 1 to seeds, at most parallelRuns at a time.
func repeat(seeds int, run func(seed uint64) metrics) []metrics {
	runs := make([]metrics, seeds)
	slots := make(chan struct{}, parallelRuns)
	var wg sync.WaitGroup
	for i := range runs {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			runs[i] = run(uint64(i + 1))
		})
	}
	wg.Wait()
	return runs
}

// infoMetrics lists the metrics that are shown for every case, without a
// target.
var infoMetrics = []string{"p50 ms", "p99 ms", "p99.9 ms", "batch core-h", "missed %", "throttles", "evictions", "lost core-h", "failed attempts", "out of memory"}

// Print runs the cases whose name satisfies match on both deployments and
// writes the table. It returns the number of missed targets.
func Print(w io.Writer, match func(string) bool, seeds int) int {
	missed := 0
	fmt.Fprintln(w, "| case | deployment | metric | target | baseline | policy | result |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|")
	for _, c := range Cases {
		if !match(c.Name) {
			continue
		}
		for _, d := range Deployments {
			missed += printCase(w, c, d, seeds)
		}
	}
	return missed + printPaths(w, match, seeds)
}

func printCase(w io.Writer, c Case, d Deployment, seeds int) int {
	baselineRuns := repeat(seeds, func(seed uint64) metrics { return Run(c, d, baseline, seed) })
	policyRuns := repeat(seeds, func(seed uint64) metrics { return Run(c, d, policy, seed) })
	return printRows(w, c.Name+" | "+d.Name, c.Targets(d), infoMetrics, baselineRuns, policyRuns)
}

// printRows writes the rows of one case: its targets, then the metrics in info
// that have no target. It returns the number of missed targets.
func printRows(w io.Writer, title string, targets []Target, info []string, baselineRuns, policyRuns []metrics) int {
	missed := 0
	shown := map[string]bool{}
	for _, t := range targets {
		shown[t.Metric] = true
		baselineSpread, policySpread := spreadOf(baselineRuns, t.Metric), spreadOf(policyRuns, t.Metric)
		result := "met"
		if !t.Met(baselineSpread.Median, policySpread.Median) {
			result = "**missed**"
			missed++
		}
		fmt.Fprintf(w, "| %s | %s | %s | %v | %v | %s |\n", title, t.Metric, t.Bound, baselineSpread, policySpread, result)
	}
	for _, name := range info {
		if !shown[name] {
			fmt.Fprintf(w, "| %s | %s | - | %v | %v | - |\n", title, name, spreadOf(baselineRuns, name), spreadOf(policyRuns, name))
		}
	}
	return missed
}
