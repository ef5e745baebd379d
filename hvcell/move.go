package hvcell

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// slowPace is the share in percent below which a host is no place for fill
	// work that disturbs what serves there.
	slowPace = 80
	// movePace is the share below which such work moves to another host: the
	// stop and the restore take about as long as a third of a usual task.
	movePace = 50
	// moveAfter is how long the share must have been that low, as single
	// measurements swing.
	moveAfter = 600 * time.Millisecond
	// moveSpacing is the least time between two moves off one host, so that
	// the effect of one shows before the next.
	moveSpacing = 300 * time.Millisecond
	// youngRun is the age up to which a run without saved states is moved.
	youngRun = 700 * time.Millisecond
	// gentle is the effect of a fill task below which it suits a host.
	gentle = 0.1
)

// crowdsOut reports whether a host is no place now for a fill task that hurts it
// this much.
func (h *host) crowdsOut(hurt float64) bool {
	return h.serving > 0 && h.pace < slowPace && hurt > gentle
}

// noteSlow keeps since when a host leaves little to fill work.
func (h *host) noteSlow(now time.Time) {
	if h.pace > movePace {
		h.slowSince = time.Time{}
	} else if h.slowSince.IsZero() {
		h.slowSince = now
	}
}

// moveSlowed stops fill work that its host slows down when another host can
// run it at its full pace.
func (c *Cell) moveSlowed(now time.Time) {
	hosts := c.usable(now)
	for _, h := range hosts {
		if h.slowSince.IsZero() || now.Sub(h.slowSince) < moveAfter || now.Sub(h.moved) < moveSpacing {
			continue
		}
		if r := c.movable(now, h, hosts); r != nil {
			h.moved = now
			_ = level.Info(c.options.Logger).Log("msg", "run moves to another host", "task", r.task.name, "run", r.number, "host", h.name, "pace", h.pace, "hurt", c.hurt(r.task, h))
			c.stop(r)
		}
	}
}

// movable returns the run that disturbs the host most and has another place.
func (c *Cell) movable(now time.Time, h *host, hosts []*host) *run {
	var best *run
	worst := gentle
	for _, r := range h.runs {
		s := r.task.step.spec
		if !s.BestEffort || s.Gang || r.phase != phaseActive || !s.Checkpoint && now.Sub(r.started) > youngRun {
			continue
		}
		if hurt := c.hurt(r.task, h); hurt > worst && c.hasBetter(now, r.task, h, hosts) {
			best, worst = r, hurt
		}
	}
	return best
}

func (c *Cell) hasBetter(now time.Time, t *task, from *host, hosts []*host) bool {
	for _, h := range hosts {
		if h == from {
			continue
		}
		if hurt := c.hurt(t, h); hurt <= gentle && c.obstacle(now, t, h, hurt) == "" {
			return true
		}
	}
	return false
}
