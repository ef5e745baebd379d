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
	// measureInterval is the minimum time between two measurements of the executor.
	measureInterval = 450 * time.Millisecond
	// goalRatio is the ratio of latency to target that the share of best-effort
	// work is controlled to. The distance to 1 covers the error of a measurement
	// and the change of the load until the next one.
	goalRatio = 0.8
	// deadBand is the distance from goalRatio within which the share does not
	// change, so that it does not change with every measurement.
	deadBand = 0.05
	// maxShareIncrease limits one increase, in percent, because its effect is
	// measured with a delay.
	maxShareIncrease = 50
	// settleTime is how long a tail latency may still show the load before the share was
	// lowered.
	settleTime = time.Second
	// minShare is the share in percent below which best-effort work is paused.
	minShare  = 8
	fullShare = 100
	// harmlessDelay is how long a service may be over its target without interfering work
	// until all other work is throttled. A tail latency covers the time before its
	// measurement and falls for about a second.
	harmlessDelay = 1500 * time.Millisecond
	// maxOverTarget is how long a service may be over its target until interfering work is
	// stopped, even if the effects call for less: 4 s harm its users.
	maxOverTarget = 1800 * time.Millisecond
	// defaultLogEffect is used for best-effort work whose effect is not known yet:
	// the logarithm by which it raises the tail latency at the full share.
	defaultLogEffect = 0.5
)

// shareController decides the CPU share of best-effort work on one host. The zero
// value leaves the full share.
type shareController struct {
	reduction  int
	lastUpdate time.Time
	// lastRatio is the ratio at lastUpdate, and loweredAt when the share was last lowered.
	lastRatio float64
	loweredAt time.Time
}

// update returns the share in percent after a measurement. worstRatio is the
// highest ratio of a serving task's latency to its target. fullEffect is the
// logarithm by which the best-effort work raises the tail latency at the full
// share, or 0 if it is not known.
func (c *shareController) update(now time.Time, worstRatio, fullEffect float64) int {
	share := fullShare - c.reduction
	if now.Sub(c.lastUpdate) < measureInterval {
		return share
	}
	rising := worstRatio > c.lastRatio
	c.lastUpdate, c.lastRatio = now, worstRatio
	if math.Abs(worstRatio-goalRatio) <= deadBand {
		return share
	}
	if worstRatio > goalRatio && !rising && now.Sub(c.loweredAt) < settleTime {
		return share
	}
	next := shareForGoal(share, worstRatio, fullEffect)
	if next < share {
		c.loweredAt = now
	}
	c.reduction = fullShare - next
	return next
}

// stop lowers the share to 0.
func (c *shareController) stop(now time.Time) int {
	c.reduction, c.loweredAt = fullShare, now
	return 0
}

// shareForGoal returns the share at which the ratio is expected to be at its goal. The
// effect is proportional to the share, so the difference follows from that between the
// logarithms of the ratio and of the goal.
func shareForGoal(share int, ratio, fullEffect float64) int {
	if fullEffect <= 0 {
		fullEffect = defaultLogEffect
	}
	excess := math.Log(max(ratio, minRatio) / goalRatio)
	next := min(share-int(fullShare*excess/fullEffect), share+maxShareIncrease, fullShare)
	switch {
	case next >= minShare:
		return next
	case excess < 0:
		return minShare
	}
	return 0
}

// minRatio is the lower bound of the ratio, which is 0 for a serving task without
// load.
const minRatio = 0.05

// adjustShares lowers the shares of best-effort work beside serving tasks whose
// latency is near its target: first of work that is known or suspected to
// interfere, then of all other work if that is not enough.
func (n *Node) adjustShares(ctx context.Context, h hv.ExecutorState) {
	n.mu.Lock()
	m := n.measure(h)
	n.pruneProfiles()
	interfering, harmless := n.decideShares(m)
	n.mu.Unlock()
	for _, r := range m.bestEffort {
		share := interfering
		if m.harmless[runOf(r)] {
			share = harmless
		}
		n.applyShare(ctx, r, share)
	}
}

// measurement summarizes the serving and best-effort runs in one response of the
// executor.
type measurement struct {
	worstRatio float64
	hasServing bool
	bestEffort []hv.RunState
	harmless   map[hvorder.Run]bool
	// fullEffect is the logarithm by which the best-effort work raises the worst tail
	// latency at the full share.
	fullEffect float64
}

// measure evaluates the loads in one response of the executor. The lock is held.
func (n *Node) measure(h hv.ExecutorState) measurement {
	m := measurement{harmless: map[hvorder.Run]bool{}}
	tails, loads := map[hvorder.Run]int{}, map[string]int64{}
	for _, r := range h.Running {
		p := n.profiles[runOf(r)]
		if p.LatencyTarget > 0 {
			m.hasServing = true
			m.worstRatio = max(m.worstRatio, float64(r.Load)/float64(p.LatencyTarget))
			tails[runOf(r)] = r.Load
		}
		if p.BestEffort {
			m.bestEffort = append(m.bestEffort, r)
			m.harmless[runOf(r)] = n.isHarmless(p.Image)
			m.fullEffect += float64(n.effects[p.Image]) / hvorder.LogScale * float64(max(p.CPU, int64(r.Load))) / hvorder.CoreScale
			loads[p.Image] += int64(r.Load)
		}
	}
	if n.deps.Clock.Now().Sub(n.lastMeasured) >= measureInterval {
		n.recordChanges(tails, loads)
	}
	return m
}

// isHarmless reports whether an image is known not to interfere with the serving
// tasks of the host. The lock is held.
func (n *Node) isHarmless(image string) bool {
	_, interferes := n.effects[image]
	return n.effects != nil && !interferes
}

// recordChanges records a measurement and its difference to the previous one, if
// that is recent.
func (n *Node) recordChanges(tails map[hvorder.Run]int, loads map[string]int64) {
	now := n.deps.Clock.Now()
	if now.Sub(n.lastMeasured) < 3*measureInterval {
		n.loadChanges = map[string]int64{}
		for image, load := range loads {
			n.loadChanges[image] = load
		}
		for image, load := range n.loads {
			n.loadChanges[image] -= load
		}
		n.tailChanges = n.tailChanges[:0]
		for run, tail := range tails {
			if old := n.tails[run]; old > 0 && tail > 0 {
				p := n.profiles[run]
				change := hvorder.LogScale * math.Log(float64(tail)/float64(old))
				ratio := hvorder.LogScale * math.Log(float64(tail)/float64(p.LatencyTarget))
				n.tailChanges = append(n.tailChanges, hvorder.TailChange{Image: p.Image, LogChange: int64(change), LogRatio: nonZero(int64(ratio))})
			}
		}
	}
	n.lastMeasured, n.tails, n.loads = now, tails, loads
}

// nonZero returns n, or 1 for 0, as a ratio of 0 counts as not measured.
func nonZero(n int64) int64 {
	if n == 0 {
		return 1
	}
	return n
}

// decideShares returns the shares of best-effort work that interferes or may do so
// and of harmless best-effort work. The lock is held.
func (n *Node) decideShares(m measurement) (interfering, harmless int) {
	if !m.hasServing {
		n.interferingShare, n.harmlessShare = shareController{}, shareController{}
		n.overTarget, n.overWithoutInterfering = condition{}, condition{}
		return fullShare, fullShare
	}
	now := n.deps.Clock.Now()
	interfering = n.interferingShare.update(now, m.worstRatio, m.fullEffect)
	isOver := m.worstRatio >= 1
	if n.overTarget.heldFor(now, isOver) >= maxOverTarget {
		interfering = n.interferingShare.stop(now)
	}
	// Other work slows the service once the interfering work was stopped, or without any.
	isOther := isOver && (interfering == 0 || !n.hasInterfering(m))
	stopped := n.harmlessShare.reduction == fullShare
	harmless = fullShare - n.harmlessShare.reduction
	if n.overWithoutInterfering.heldFor(now, isOther) >= harmlessDelay || m.worstRatio < goalRatio && harmless < fullShare {
		harmless = n.harmlessShare.update(now, m.worstRatio, 0)
	}
	if (harmless == 0) != stopped {
		_ = level.Info(n.deps.Logger).Log("msg", "best-effort work that does not interfere was stopped or goes on", "stopped", harmless == 0, "ratio", m.worstRatio, "effect", m.fullEffect, "pace", interfering, "runs", len(m.bestEffort))
	}
	return interfering, harmless
}

// condition measures for how long a condition has held.
type condition struct {
	// since is when the condition began to hold, or zero if it does not.
	since time.Time
}

// heldFor records whether the condition holds now and returns for how long it has.
func (c *condition) heldFor(now time.Time, holds bool) time.Duration {
	if !holds {
		c.since = time.Time{}
		return 0
	}
	if c.since.IsZero() {
		c.since = now
	}
	return now.Sub(c.since)
}

func (n *Node) hasInterfering(m measurement) bool {
	return len(m.bestEffort) > 0 && !allTrue(m.harmless)
}

func allTrue(set map[hvorder.Run]bool) bool {
	for _, ok := range set {
		if !ok {
			return false
		}
	}
	return true
}

// pruneProfiles removes the profiles and shares of runs that have ended, once there
// are many. While a run may be on the host that is not in the last state, nothing is removed:
// no one sends the profile again. The lock is held.
func (n *Node) pruneProfiles() {
	running := n.executorState.Running
	if !n.hasFullState() || len(n.profiles) < 2*(len(running)+len(n.pendingStarts))+16 {
		return
	}
	current := make(map[hvorder.Run]hvorder.Profile, len(running))
	for _, r := range running {
		current[runOf(r)] = n.profiles[runOf(r)]
	}
	for run := range n.pendingStarts {
		current[run] = n.profiles[run]
	}
	n.profiles = current
	for run := range n.shares {
		if _, ok := current[run]; !ok {
			delete(n.shares, run)
		}
	}
}
