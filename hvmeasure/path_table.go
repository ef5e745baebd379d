package hvmeasure

import (
	"io"
)

// pathInfoMetrics lists the metrics that are shown for every case of the
// request path, without a target.
var pathInfoMetrics = []string{"urgent p50 ms", "urgent p99 ms", "urgent p99.9 ms", slotUtilization, badResponses, "dispatches per request"}

// printPaths writes the rows of the request path. The request path is the same
// in both deployments, so each case runs on only one of them.
func printPaths(w io.Writer, match func(string) bool, seeds int) int {
	missed := 0
	for _, c := range pathCases {
		if match(c.name) {
			missed += printPath(w, c, Deployments[0], seeds)
		}
	}
	return missed
}

func printPath(w io.Writer, c pathCase, d Deployment, seeds int) int {
	baselineRuns := repeat(seeds, func(seed uint64) metrics { return runPath(c, d, false, seed) })
	policyRuns := repeat(seeds, func(seed uint64) metrics { return runPath(c, d, true, seed) })
	info := pathInfoMetrics
	for _, l := range c.loads {
		info = append(info[:len(info):len(info)], l.caller+" served %")
		if l.floor > 0 {
			info = append(info, l.caller+" of floor %")
		}
	}
	return printRows(w, c.name+" | both", c.targets, info, baselineRuns, policyRuns)
}
