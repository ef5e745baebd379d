package hvcell

// maxTail is the logarithm of the ratio of tail latency to target up to which a host
// takes best-effort tasks that interfere. The node lowers their share above 0.8 (-0.22);
// the distance covers the swing of the load while the task runs.
const maxTail = -0.42

const (
	// unmeasuredTail is the logarithm of that ratio without best-effort tasks that is
	// assumed until it is measured. It leaves room for one task of an unknown image.
	unmeasuredTail = maxTail - 0.2
	// tailDecay is the weight of a new measurement, one each 0.45 s, that is lower than
	// the value from earlier ones. Higher values replace it at once: the load of a service
	// swings by half within 10 s, longer than a best-effort task runs.
	tailDecay = 0.2
	// maxLogTail bounds a reported logarithm.
	maxLogTail = 5
)

// colocationRules holds the parameters of colocation, which the model of it varies.
type colocationRules struct {
	// limitTails is true if a host takes best-effort tasks up to maxTail.
	limitTails      bool
	maxTail, spread float64
	rank, fill      float64
	mix             float64
}

// colocationObstacle returns the name of the obstacle if a best-effort task would push the
// services of a host over their latency target, or an empty string.
func (c *Cell) colocationObstacle(t *task, h *host, impact float64) string {
	if c.colocation.limitTails && impact > lowImpact && c.tailWith(t.step.spec, h) > c.colocation.maxTail {
		return "latency"
	}
	return ""
}

// servingScore returns the part of a host's score that places services so that
// best-effort work disturbs few of them.
func (c *Cell) servingScore(t *task, h *host) float64 {
	s := t.step
	score := 0.0
	switch {
	case s.spec.LatencyTarget > 0:
		if c.colocation.spread > 0 {
			rack, zone := s.concentration(h)
			score -= c.colocation.spread * (rack + zone)
		}
		if n := len(h.serving); n > 1 {
			score += c.colocation.mix * float64(n)
		}
	case s.spec.BestEffort && len(h.serving) > 0 && c.colocation.rank > 0 && c.impact(t, h) > lowImpact:
		score -= c.colocation.rank * c.tailWith(s.spec, h)
	case s.spec.BestEffort && c.colocation.fill > 0:
		tail := -1.5
		if len(h.serving) > 0 {
			tail = max(tail, c.tailWith(s.spec, h))
		}
		score += c.colocation.fill * min(tail, 0)
	}
	return score
}

// concentration returns the fractions of the runs of a step that are in the rack and in
// the zone of a host.
func (s *step) concentration(h *host) (rack, zone float64) {
	total := 0
	for other, n := range s.runsPerHost {
		total += n
		if other.info.Rack == h.info.Rack {
			rack += float64(n)
		}
		if other.info.Zone == h.info.Zone {
			zone += float64(n)
		}
	}
	if total == 0 {
		return 0, 0
	}
	return rack / float64(total), zone / float64(total)
}
