package hvcell

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// throttledShare is the share in percent below which a host is no place for fill
	// work that disturbs what serves there.
	throttledShare = 80
	// migrationShare is the share below which such work moves to another host: the
	// stop and the restore take about as long as a third of a usual task.
	migrationShare = 50
	// migrationDelay is how long the share must have been that low, as single
	// measurements swing.
	migrationDelay = 600 * time.Millisecond
	// migrationInterval is the least time between two moves off one host, so that
	// the effect of one shows before the next.
	migrationInterval = 300 * time.Millisecond
	// restartableAge is the age up to which a run without saved states is moved.
	restartableAge = 700 * time.Millisecond
	// lowImpact is the effect of a fill task below which it suits a host.
	lowImpact = 0.1
)

// tooThrottled reports whether a host is no place now for a fill task that hurts it
// this much.
func (h *host) tooThrottled(impact float64) bool {
	return h.servingCPU > 0 && h.cpuShare < throttledShare && impact > lowImpact
}

// updateThrottled keeps since when a host leaves little to fill work.
func (h *host) updateThrottled(now time.Time) {
	if h.cpuShare > migrationShare {
		h.throttledSince = time.Time{}
	} else if h.throttledSince.IsZero() {
		h.throttledSince = now
	}
}

// migrateThrottled stops fill work that its host slows down when another host can
// run it at its full pace.
func (c *Cell) migrateThrottled(now time.Time) {
	hosts := c.usable(now)
	for _, h := range hosts {
		if h.throttledSince.IsZero() || now.Sub(h.throttledSince) < migrationDelay || now.Sub(h.lastMigration) < migrationInterval {
			continue
		}
		if r := c.migrationCandidate(now, h, hosts); r != nil {
			h.lastMigration = now
			_ = level.Info(c.options.Logger).Log("msg", "run moves to another host", "task", r.task.name, "run", r.number, "host", h.name, "pace", h.cpuShare, "hurt", c.impact(r.task, h))
			c.stopRun(r)
		}
	}
}

// migrationCandidate returns the run that disturbs the host most and has another place.
func (c *Cell) migrationCandidate(now time.Time, h *host, hosts []*host) *run {
	var best *run
	worst := lowImpact
	for _, r := range h.runs {
		s := r.task.step.spec
		if !s.BestEffort || s.Gang || r.phase != phaseActive || !s.Checkpoint && now.Sub(r.started) > restartableAge {
			continue
		}
		if hurt := c.impact(r.task, h); hurt > worst && c.hasBetterHost(now, r.task, h, hosts) {
			best, worst = r, hurt
		}
	}
	return best
}

func (c *Cell) hasBetterHost(now time.Time, t *task, from *host, hosts []*host) bool {
	for _, h := range hosts {
		if h == from {
			continue
		}
		if hurt := c.impact(t, h); hurt <= lowImpact && c.obstacle(now, t, h, hurt) == "" {
			return true
		}
	}
	return false
}
