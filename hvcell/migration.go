package hvcell

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// throttledShare is the CPU share in percent below which a host takes no more
	// best-effort tasks that interfere with its serving tasks.
	throttledShare = 80
	// migrationShare is the CPU share in percent up to which such tasks move to
	// another host: the stop and the restore take about a third of the run time of a
	// usual task.
	migrationShare = 50
	// migrationDelay is how long the share must have been that low, as single
	// measurements vary.
	migrationDelay = 600 * time.Millisecond
	// migrationInterval is the least time between two migrations off one host, so
	// that the effect of one is measured before the next.
	migrationInterval = 300 * time.Millisecond
	// maxShareAge is the time after the last response of a host up to which its CPU share
	// counts; nodes report at least every 0.7 s.
	maxShareAge = time.Second
	// restartableAge is the age up to which a run without checkpoints is migrated.
	restartableAge = 700 * time.Millisecond
	// lowImpact is the impact up to which a best-effort task counts as not
	// interfering with a host.
	lowImpact = 0.1
)

// tooThrottled reports whether a host throttles best-effort work too much to take a
// task with this impact.
func (h *host) tooThrottled(impact float64) bool {
	return h.servingCPU > 0 && h.cpuShare < throttledShare && impact > lowImpact
}

// updateThrottled records since when the CPU share of best-effort work has been at
// or below migrationShare.
func (h *host) updateThrottled(now time.Time) {
	if h.cpuShare > migrationShare {
		h.throttledSince = time.Time{}
	} else if h.throttledSince.IsZero() {
		h.throttledSince = now
	}
}

// migrateThrottled stops best-effort runs that their host throttles if another host
// can run them unthrottled.
func (c *Cell) migrateThrottled(now time.Time) {
	hosts := c.usable(now)
	for _, h := range hosts {
		if h.throttledSince.IsZero() || now.Sub(h.throttledSince) < migrationDelay || now.Sub(h.lastMigration) < migrationInterval || now.Sub(h.respondedAt) > maxShareAge {
			continue
		}
		if r := c.migrationCandidate(now, h, hosts); r != nil {
			h.lastMigration = now
			_ = level.Info(c.options.Logger).Log("msg", "throttled best-effort run is stopped to start on another host", "task", r.task.name, "run", r.number, "host", h.name, "pace", h.cpuShare, "hurt", c.impact(r.task, h))
			c.stopRun(r)
		}
	}
}

// migrationCandidate returns the run with the greatest impact on the host that can
// run on another host, or nil.
func (c *Cell) migrationCandidate(now time.Time, h *host, hosts []*host) *run {
	var best *run
	worst := lowImpact
	for _, r := range h.runs {
		s := r.task.step.spec
		if !s.BestEffort || s.Gang || r.phase != phaseActive || !s.Checkpoint && !r.isYoung(now) {
			continue
		}
		impact := c.impact(r.task, h)
		if tie := best != nil && impact == worst && r.task.name < best.task.name; (impact > worst || tie) && c.hasBetterHost(now, r.task, h, hosts) {
			best, worst = r, impact
		}
	}
	return best
}

// isYoung reports whether little work is lost if the run starts anew. The age of an adopted
// run is not known.
func (r *run) isYoung(now time.Time) bool {
	return !r.adopted && now.Sub(r.started) <= restartableAge
}

func (c *Cell) hasBetterHost(now time.Time, t *task, from *host, hosts []*host) bool {
	for _, h := range hosts {
		if h == from || h.quarantined {
			continue
		}
		if impact := c.impact(t, h); impact <= lowImpact && c.obstacle(now, t, h, impact) == "" {
			return true
		}
	}
	return false
}
