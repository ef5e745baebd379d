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

// maxListGap is the longest time between two lists that counts as time without progress:
// renewals follow each other and take up to 0.8 s each. After a longer one this process or
// the executor stood still.
const maxListGap = 900 * time.Millisecond

// runProgress records for how long a run has made no progress, as seen in the lists.
type runProgress struct {
	percent  int
	unmoved  time.Duration
	reported bool
}

// recordProgress records the progress of all runs at a time of the executor's clock, in
// milliseconds. The lock is held.
func (n *Node) recordProgress(clock int64, runs []hv.RunState) {
	gap := min(max(time.Duration(clock-n.progressClock)*time.Millisecond, 0), maxListGap)
	n.progressClock = clock
	current := make(map[hvorder.Run]*runProgress, len(runs))
	for _, r := range runs {
		p := n.progress[runOf(r)]
		if p == nil || r.Percent != p.percent || n.isThrottled(runOf(r)) {
			p = &runProgress{percent: r.Percent}
		} else {
			p.unmoved += gap
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
func (n *Node) newlyStalled() []hvorder.Run {
	var out []hvorder.Run
	for run, p := range n.progress {
		if !p.reported && p.percent < 100 && p.unmoved > stallTimeout {
			p.reported = true
			out = append(out, run)
		}
	}
	return out
}
