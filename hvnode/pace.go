package hvnode

import (
	"context"
	"math"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// paceInterval is how often the executor measures.
	paceInterval = 450 * time.Millisecond
	// paceGoal is the ratio of latency to target that the fill work is slowed
	// or sped up to. The distance to 1 covers the error of a measurement and
	// the swing of the load until the next one.
	paceGoal = 0.8
	// paceBand is the distance from the goal within which the share stays, so
	// that it does not change with every measurement.
	paceBand = 0.05
	// maxPaceRaise bounds one rise, in percent, as its effect shows late.
	maxPaceRaise = 25
	// paceFloor is the share below which fill work is paused.
	paceFloor = 8
	fullPace  = 100
	// guessedPull stands in for the effect of fill work that is not known yet,
	// as the logarithm by which it raises the tail.
	guessedPull = 0.5
)

// pacer decides the share of the fill work on one host. The zero value leaves
// the whole share.
type pacer struct {
	cut  int
	last time.Time
}

// share returns the share in percent after a measurement of the worst ratio
// of a serving task's latency to its target. Pull is the logarithm by which
// the fill work raises the tail at its present share.
func (p *pacer) share(now time.Time, worst, pull float64) int {
	share := fullPace - p.cut
	if now.Sub(p.last) < paceInterval {
		return share
	}
	p.last = now
	if math.Abs(worst-paceGoal) <= paceBand {
		return share
	}
	if pull <= 0 {
		pull = guessedPull * float64(share) / fullPace
	}
	// The pull is in proportion to the share, so the share for the goal follows
	// from how far the logarithm of the tail is from that of the goal.
	excess := math.Log(max(worst, minRatio) / paceGoal)
	if share == 0 {
		share = paceFloor
	} else {
		share = min(int(float64(share)*(pull-excess)/pull), share+maxPaceRaise)
	}
	if share < paceFloor || worst > 1 && p.cut == fullPace {
		share = 0
	}
	share = min(share, fullPace)
	p.cut = fullPace - share
	return share
}

// minRatio bounds the ratio of a serving task without load.
const minRatio = 0.05

// protect slows the fill work beside serving tasks that come near their
// target: first what is known or suspected to disturb them, and the rest when
// that was not enough.
func (n *Node) protect(ctx context.Context, h hv.ExecutorState) {
	n.mu.Lock()
	m := n.measure(h)
	n.forget(h)
	suspects, calm := n.shares(m)
	epoch := n.epoch
	n.mu.Unlock()
	for _, r := range m.fill {
		share := suspects
		if m.calm[runOf(r)] {
			share = calm
		}
		n.setPace(ctx, r, share, epoch)
	}
}

// measurement is what one list says of the tasks that serve and fill.
type measurement struct {
	worst   float64
	serving bool
	fill    []hv.RunState
	calm    map[hvorder.Run]bool
	// pull is the logarithm by which the fill work raises the worst tail.
	pull float64
}

func (n *Node) measure(h hv.ExecutorState) measurement {
	m := measurement{calm: map[hvorder.Run]bool{}}
	tails, loads := map[hvorder.Run]int{}, map[string]int64{}
	for _, r := range h.Running {
		p := n.profiles[runOf(r)]
		if p.LatencyTarget > 0 {
			m.serving = true
			m.worst = max(m.worst, float64(r.Load)/float64(p.LatencyTarget))
			tails[runOf(r)] = r.Load
		}
		if p.BestEffort {
			m.fill = append(m.fill, r)
			m.calm[runOf(r)] = n.isCalm(p.Image)
			m.pull += float64(n.effects[p.Image]) / hvorder.LogScale * float64(r.Load) / hvorder.CoreScale
			loads[p.Image] += int64(r.Load)
		}
	}
	if n.deps.Clock.Now().Sub(n.measured) >= paceInterval {
		n.compare(tails, loads)
	}
	return m
}

// isCalm reports whether the owner has told that an image does not disturb what
// serves here. The lock is held.
func (n *Node) isCalm(image string) bool {
	_, disturbs := n.effects[image]
	return n.effects != nil && !disturbs
}

// compare notes what has changed since the last measurement.
func (n *Node) compare(tails map[hvorder.Run]int, loads map[string]int64) {
	now := n.deps.Clock.Now()
	if now.Sub(n.measured) < 3*paceInterval {
		n.moved = map[string]int64{}
		for image, load := range loads {
			n.moved[image] = load
		}
		for image, load := range n.loads {
			n.moved[image] -= load
		}
		n.changes = n.changes[:0]
		for run, tail := range tails {
			if old := n.tails[run]; old > 0 && tail > 0 {
				change := hvorder.LogScale * math.Log(float64(tail)/float64(old))
				n.changes = append(n.changes, hvorder.TailChange{Image: n.profiles[run].Image, LogChange: int64(change)})
			}
		}
	}
	n.measured, n.tails, n.loads = now, tails, loads
}

// shares returns the shares of the fill work that disturbs and of the rest.
func (n *Node) shares(m measurement) (suspects, calm int) {
	if !m.serving {
		n.pace, n.rest = pacer{}, pacer{}
		return fullPace, fullPace
	}
	now := n.deps.Clock.Now()
	suspects = n.pace.share(now, m.worst, m.pull)
	// The rest is slowed only when that was not enough.
	if suspects > 0 && n.hasSuspects(m) && m.worst >= paceGoal {
		return suspects, fullPace - n.rest.cut
	}
	if m.worst < 1 && n.rest.cut == 0 {
		return suspects, fullPace
	}
	return suspects, n.rest.share(now, m.worst, 0)
}

func (n *Node) hasSuspects(m measurement) bool { return len(m.fill) > 0 && !allTrue(m.calm) }

func allTrue(set map[hvorder.Run]bool) bool {
	for _, ok := range set {
		if !ok {
			return false
		}
	}
	return true
}

func (n *Node) setPace(ctx context.Context, r hv.RunState, share int, epoch int64) {
	if !n.repace(runOf(r), share) {
		return
	}
	err := n.deps.Executor.Throttle(ctx, r.Task, r.Run, share, epoch)
	_ = level.Debug(n.deps.Logger).Log("msg", "run is paced", "task", r.Task, "percent", share, "err", err)
	if err != nil {
		n.repace(runOf(r), unknownPace)
	}
}

// paceStarted gives a new run the share of its like, as runs start at the
// whole pace.
func (n *Node) paceStarted(ctx context.Context, run hvorder.Run, epoch int64) {
	n.mu.Lock()
	p := n.profiles[run]
	share := fullPace - n.pace.cut
	if n.isCalm(p.Image) {
		share = fullPace - n.rest.cut
	}
	n.mu.Unlock()
	if p.BestEffort {
		n.setPace(ctx, hv.RunState{Task: run.Task, Run: run.Run}, share, epoch)
	}
}

// unknownPace is the pace of a run after a call without an answer.
const unknownPace = -1

// repace notes the pace of a run and reports whether it is new. Runs start at
// the whole pace.
func (n *Node) repace(run hvorder.Run, share int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, ok := n.paces[run]
	if !ok {
		old = fullPace
	}
	n.paces[run] = share
	return old != share
}

// forget drops the profiles of runs that have ended.
func (n *Node) forget(h hv.ExecutorState) {
	if len(n.profiles) < 2*(len(h.Running)+len(n.pending))+16 {
		return
	}
	live := make(map[hvorder.Run]hvorder.Profile, len(h.Running))
	for _, r := range h.Running {
		live[runOf(r)] = n.profiles[runOf(r)]
	}
	for run := range n.pending {
		live[run] = n.profiles[run]
	}
	n.profiles = live
	for run := range n.paces {
		if _, ok := live[run]; !ok {
			delete(n.paces, run)
		}
	}
}
