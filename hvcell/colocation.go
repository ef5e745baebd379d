package hvcell

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// maxTail is the logarithm of the expected ratio of a tail latency to its target up to
	// which a host takes best-effort tasks that interfere: 0.66. Nodes lower the share of
	// such tasks above 0.8 of the target; the distance of 0.2 in the logarithm covers the
	// error of the effects and the load of the service while the task runs.
	maxTail = -0.42
	// unmeasuredTail is assumed for a serving image without best-effort tasks until it is
	// measured. It leaves room for one task of an image whose effect is not known.
	unmeasuredTail = maxTail - 0.2
	// tailDecay is the weight of a measurement below the tail expected so far. One above
	// it counts at once: the load of a service swings within 10 s, and a host that is
	// filled at its lowest point is over the target a few seconds later.
	tailDecay = 0.2
	// maxLogTail bounds a reported logarithm.
	maxLogTail = 5
)

const (
	// weightMixed is added, for each image that serves on a host with several, for a
	// serving task: best-effort work loses less if few hosts hold many images than if
	// each host holds two.
	weightMixed = 0.4
	// weightSpread is subtracted for a serving task in a rack, and again in a zone, that
	// has all tasks of its step, so that the loss of one takes few of them. Grouping the
	// images comes first, as each further image on a host costs best-effort work all day.
	weightSpread = 0.2
)

// colocationLogInterval is the least time between two log lines on hosts at the limit.
const colocationLogInterval = 5 * time.Second

// colocationObstacle returns the name of the obstacle if a best-effort task would push the
// services of a host over their latency target, or an empty string.
func (c *Cell) colocationObstacle(t *task, h *host, impact float64) string {
	if c.options.Policy.Colocation && impact > lowImpact && c.tailWith(t.step.spec, h) > maxTail {
		return "latency"
	}
	return ""
}

// servingScore returns the part of a host's score that places services so that
// best-effort work disturbs few of them.
func (c *Cell) servingScore(t *task, h *host) float64 {
	if !c.options.Policy.Colocation || t.step.spec.LatencyTarget == 0 {
		return 0
	}
	score := 0.0
	if n := len(h.serving); n > 1 {
		score += weightMixed * float64(n)
	}
	return score - weightSpread*t.step.concentration(h)
}

// concentration returns the fraction of the runs of a step that are in the rack of a host
// plus the fraction that is in its zone.
func (s *step) concentration(h *host) float64 {
	total, near := 0, 0
	for other, n := range s.runsPerHost {
		total += n
		if other.info.Rack == h.info.Rack {
			near += n
		}
		if other.info.Zone == h.info.Zone {
			near += n
		}
	}
	if total == 0 {
		return 0
	}
	return float64(near) / float64(total)
}

// ColocationCounts describes the hosts that run services.
type ColocationCounts struct {
	// Serving counts the hosts with services, Mixed those with services of several images,
	// and Limited those that take no more best-effort work that interferes with one of
	// their images.
	Serving, Mixed, Limited int64
}

// Colocation returns the current numbers of hosts that run services.
func (c *Cell) Colocation() ColocationCounts {
	var out ColocationCounts
	for _, h := range c.hosts {
		if len(h.serving) == 0 {
			continue
		}
		out.Serving++
		if len(h.serving) > 1 {
			out.Mixed++
		}
		if c.options.Policy.Colocation && c.isLatencyLimited(h) {
			out.Limited++
		}
	}
	return out
}

// isLatencyLimited reports whether the expected tail of an image that serves on a host
// leaves no room for a task that interferes with it.
func (c *Cell) isLatencyLimited(h *host) bool {
	for i, p := range c.pressures(h) {
		if h.serving[i].tail+p+lowImpact > maxTail {
			return true
		}
	}
	return false
}

// logColocation logs when the number of hosts that take no more interfering work has
// changed.
func (c *Cell) logColocation(now time.Time) {
	if !c.options.Policy.Colocation || now.Sub(c.colocationLogged) < colocationLogInterval {
		return
	}
	if n := c.Colocation(); n != c.loggedColocation {
		c.loggedColocation, c.colocationLogged = n, now
		_ = level.Info(c.options.Logger).Log("msg", "number of hosts that take no more interfering best-effort work has changed", "hosts", n.Limited, "serving", n.Serving, "mixed", n.Mixed)
	}
}
