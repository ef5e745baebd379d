package hvnode

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// stallTimeout is how long a run may make no progress before it counts as stalled.
// In the longest tasks the executor's percentage changes only after some time, which
// the timeout covers.
const stallTimeout = 1500 * time.Millisecond

// runProgress records when a run last made progress.
type runProgress struct {
	percent  int
	since    time.Time
	reported bool
}

// recordProgress records the progress of all runs. The lock is held.
func (n *Node) recordProgress(now time.Time, runs []hv.RunState) {
	current := make(map[hvorder.Run]*runProgress, len(runs))
	for _, r := range runs {
		p := n.progress[runOf(r)]
		if p == nil || r.Percent != p.percent || n.isThrottled(runOf(r)) {
			p = &runProgress{percent: r.Percent, since: now}
		}
		current[runOf(r)] = p
	}
	n.progress = current
}

// repeatStalls makes all stalled runs due on a new connection. The lock is held.
func (n *Node) repeatStalls() {
	for _, p := range n.progress {
		p.reported = false
	}
}

// newlyStalled returns the stalled runs that have not been reported.
func (n *Node) newlyStalled(now time.Time) []hvorder.Run {
	var out []hvorder.Run
	for run, p := range n.progress {
		if !p.reported && p.percent < 100 && now.Sub(p.since) > stallTimeout {
			p.reported = true
			out = append(out, run)
		}
	}
	return out
}
