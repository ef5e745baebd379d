package hvnode

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// stallAfter is how long a run may make no progress. It covers the shortest
// step of the executor's percentage in the longest tasks.
const stallAfter = 1500 * time.Millisecond

// progress is when a run was last seen to advance.
type progress struct {
	percent int
	at      time.Time
	told    bool
}

// advance notes the progress of all runs. The lock is held.
func (n *Node) advance(now time.Time, rows []hv.RunState) {
	live := make(map[hvorder.Run]*progress, len(rows))
	for _, r := range rows {
		p := n.advances[runOf(r)]
		if p == nil || r.Percent != p.percent || n.paused(runOf(r)) {
			p = &progress{percent: r.Percent, at: now}
		}
		live[runOf(r)] = p
	}
	n.advances = live
}

// paused reports whether this node has stopped the progress of a run.
func (n *Node) paused(run hvorder.Run) bool {
	pace, ok := n.paces[run]
	return ok && pace < fullPace
}

// stalled returns the runs that stand still and have not been reported.
func (n *Node) stalled(now time.Time) []hvorder.Run {
	var out []hvorder.Run
	for run, p := range n.advances {
		if !p.told && p.percent < 100 && now.Sub(p.at) > stallAfter {
			p.told = true
			out = append(out, run)
		}
	}
	return out
}
