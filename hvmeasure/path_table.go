package hvmeasure

import (
	"io"
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

func printPath(w io.Writer, c pathCase, d Deployment, seeds int) int {
	b := repeat(seeds, func(seed uint64) metrics { return runPath(c, d, false, seed) })
	p := repeat(seeds, func(seed uint64) metrics { return runPath(c, d, true, seed) })
	info := pathInfo
	for _, o := range c.offers {
		info = append(info[:len(info):len(info)], o.caller+" served %")
		if o.floor > 0 {
			info = append(info, o.caller+" of floor %")
		}
	}
	return printRows(w, c.name+" | both", c.targets, info, b, p)
}
