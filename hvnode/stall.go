package hvnode

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// stallTimeout is how long a run may make no progress before it is reported as stalled.
	// The owner decides what that means: the executor's percentages are whole numbers, which
	// seldom change in long tasks.
	stallTimeout = 1500 * time.Millisecond
	// slowProgressFactor is how many times as long as it ever took for one percent a run may
	// make no progress.
	slowProgressFactor = 3
)

// maxListGap is the longest time between two lists that counts as time without progress:
// renewals follow each other and take up to 0.8 s each. After a longer one this process or
// the executor stood still.
const maxListGap = 900 * time.Millisecond

// runProgress records for how long a run has made no progress, as seen in the lists.
type runProgress struct {
	percent int
	unmoved time.Duration
	// longest is the longest time that one percent has taken, and reportAfter the time
	// without progress from which the run is reported again.
	longest, reportAfter time.Duration
}

// isStalled reports whether the run is to be reported as stalled.
func (p *runProgress) isStalled() bool {
	return p.percent < 100 && p.unmoved > max(stallTimeout, slowProgressFactor*p.longest, p.reportAfter)
}

// next returns the progress of a run after another list with its percentage.
func (p *runProgress) next(percent int, gap time.Duration) *runProgress {
	if percent == p.percent {
		p.unmoved += gap
		return p
	}
	took := (p.unmoved + gap) / time.Duration(max(percent-p.percent, 1))
	return &runProgress{percent: percent, longest: max(p.longest, took)}
}

// recordProgress records the progress of all runs at a time of the executor's clock, in
// milliseconds. The lock is held.
func (n *Node) recordProgress(clock int64, runs []hv.RunState) {
	gap := min(max(time.Duration(clock-n.progressClock)*time.Millisecond, 0), maxListGap)
	n.progressClock = clock
	current := make(map[hvorder.Run]*runProgress, len(runs))
	for _, r := range runs {
		p := n.progress[runOf(r)]
		if p == nil || n.isThrottled(runOf(r)) {
			p = &runProgress{percent: r.Percent}
		} else {
			p = p.next(r.Percent, gap)
		}
		current[runOf(r)] = p
	}
	n.progress = current
}

// repeatStalls makes all stalled runs due on a new connection. The lock is held.
func (n *Node) repeatStalls() {
	for _, p := range n.progress {
		p.reportAfter = 0
	}
}

// newlyStalled returns the stalled runs that have not been reported, or that were when they
// had made no progress for half as long.
func (n *Node) newlyStalled() []hvorder.StalledRun {
	var out []hvorder.StalledRun
	for run, p := range n.progress {
		if p.isStalled() {
			p.reportAfter = 2 * p.unmoved
			out = append(out, hvorder.StalledRun{Run: run, Millis: p.unmoved.Milliseconds()})
		}
	}
	return out
}
