package hvmeasure

import (
	"fmt"
	"io"
	"sync"
)

// pathInfo lists metrics that are shown for every case of the request path.
var pathInfo = []string{"urgent p50 ms", "urgent p99 ms", "urgent p99.9 ms", busy, badAnswers, "dispatches per request"}

// printPaths writes the rows of the request path. The path is the same for
// both deployments, so each case runs on one of them.
func printPaths(w io.Writer, match func(string) bool, seeds int) int {
	missed := 0
	for _, c := range pathCases {
		if match(c.name) {
			missed += printPath(w, c, Deployments[0], seeds)
		}
	}
	return missed
}

func repeatPath(c pathCase, d Deployment, policy bool, seeds int) []metrics {
	runs := make([]metrics, seeds)
	free := make(chan struct{}, parallelRuns)
	var wg sync.WaitGroup
	for i := range runs {
		wg.Go(func() {
			free <- struct{}{}
			defer func() { <-free }()
			runs[i] = runPath(c, d, policy, uint64(i+1))
		})
	}
	wg.Wait()
	return runs
}

func printPath(w io.Writer, c pathCase, d Deployment, seeds int) int {
	b, p := repeatPath(c, d, false, seeds), repeatPath(c, d, true, seeds)
	missed := 0
	shown := map[string]bool{}
	for _, t := range c.targets {
		shown[t.Metric] = true
		bs, ps := spreadOf(b, t.Metric), spreadOf(p, t.Metric)
		result := "met"
		if !t.Met(bs.Median, ps.Median) {
			result = "**missed**"
			missed++
		}
		fmt.Fprintf(w, "| %s | both | %s | %s | %v | %v | %s |\n", c.name, t.Metric, t.Text, bs, ps, result)
	}
	info := pathInfo
	for _, o := range c.offers {
		info = append(info[:len(info):len(info)], o.caller+" served %")
		if o.floor > 0 {
			info = append(info, o.caller+" of floor %")
		}
	}
	for _, name := range info {
		if !shown[name] {
			fmt.Fprintf(w, "| %s | both | %s | - | %v | %v | - |\n", c.name, name, spreadOf(b, name), spreadOf(p, name))
		}
	}
	return missed
}
