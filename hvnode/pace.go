package hvnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// paceInterval is how often the executor measures.
	paceInterval = 450 * time.Millisecond
	// paceHigh and paceLow are ratios of latency to target. Above the first
	// the fill work is slowed, below the second it is given back. The gap keeps
	// the share from changing with every measurement.
	paceHigh = 0.85
	paceLow  = 0.6
	// paceCut is the share that is left at each step, and paceRaise what is
	// given back, in percent.
	paceCut   = 0.4
	paceRaise = 15
	// paceFloor is the share below which fill work is paused.
	paceFloor = 10
	fullPace  = 100
)

// pacer decides the share of the fill work on one host. The zero value leaves
// the whole share.
type pacer struct {
	cut  int
	last time.Time
}

// share returns the share in percent after a measurement of the worst ratio
// of a serving task's latency to its target.
func (p *pacer) share(now time.Time, worst float64) int {
	if now.Sub(p.last) < paceInterval {
		return fullPace - p.cut
	}
	p.last = now
	share := fullPace - p.cut
	switch {
	case worst > 1:
		share = 0
	case worst > paceHigh:
		share = int(float64(share) * paceCut)
	case worst < paceLow:
		share = min(share+paceRaise, fullPace)
	}
	if share < paceFloor {
		share = 0
	}
	p.cut = fullPace - share
	return share
}

// protect slows the fill work beside serving tasks that come near their target.
func (n *Node) protect(ctx context.Context, h hv.Holding) {
	n.mu.Lock()
	worst, serving := 0.0, false
	var fill []hv.RunState
	for _, r := range h.Running {
		p := n.profiles[runOf(r)]
		if p.Target > 0 {
			serving = true
			worst = max(worst, float64(r.Load)/float64(p.Target))
		}
		if p.Fill {
			fill = append(fill, r)
		}
	}
	epoch := n.epoch
	n.forget(h)
	share := fullPace
	if serving {
		share = n.pace.share(n.deps.Clock.Now(), worst)
	} else {
		n.pace = pacer{}
	}
	n.mu.Unlock()
	for _, r := range fill {
		if r.Percent == share {
			continue
		}
		_ = level.Debug(n.deps.Logger).Log("msg", "run is paced", "task", r.Task, "percent", share, "worst", worst)
		if err := n.deps.Executor.Pace(ctx, r.Task, r.Run, share, epoch); err != nil {
			_ = level.Debug(n.deps.Logger).Log("msg", "pace failed", "task", r.Task, "err", err)
		}
	}
}

// forget drops the profiles of runs that have ended.
func (n *Node) forget(h hv.Holding) {
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
}
