package hvcell

// Weights of the terms that place services on few hosts, and other work so that it takes
// least from best-effort work.
const (
	// weightOpenHost is subtracted for a serving task on a host without services: such
	// hosts are open to best-effort work that interferes. It exceeds weightOtherImage, as
	// a host without services takes every best-effort image.
	weightOpenHost = 1.5
	// weightSpread is subtracted for a serving task in a rack, and again in a zone, that
	// has all tasks of its step, so that the loss of one takes few of them.
	weightSpread = 0.5
	// weightBeside is added for a task that does no harm on a host with services: hosts
	// without services are left to the tasks that would. It exceeds weightFree.
	weightBeside = 1.5
	// weightBudget is subtracted for a serving task on a host that has as many tasks of
	// its step as may be down at the same time. It exceeds all other terms that place
	// serving tasks.
	weightBudget = 4.0
)

// colocationObstacle returns the name of the obstacle if a best-effort task would push the
// services of a host over their latency target, or an empty string.
func (c *Cell) colocationObstacle(_ *task, _ *host, _ float64) string { return "" }

// servingScore returns the part of a host's score that places services so that
// best-effort work disturbs few of them.
func (c *Cell) servingScore(t *task, h *host) float64 {
	if !c.options.Policy.Colocation {
		return 0
	}
	s := t.step
	switch {
	case s.spec.LatencyTarget > 0:
		return c.packedScore(s, h)
	case h.servingCPU == 0:
		return 0
	case s.spec.BestEffort && c.impact(t, h) > lowImpact:
		return 0
	case h.bestEffortCPU+s.spec.Need.CPU > h.unusedCPU():
		return 0
	}
	return weightBeside
}

// packedScore returns the score of a host for a serving task: the fuller hosts with
// services first, and among equal ones those in racks and zones with few tasks of the
// step.
func (c *Cell) packedScore(s *step, h *host) float64 {
	score := 0.0
	if h.servingCPU == 0 {
		score -= weightOpenHost
	}
	if total := float64(h.info.Capacity.CPU); total > 0 {
		// The first term offsets the preference for the emptiest host.
		score -= weightFree * float64(h.unusedCPU()-h.bestEffortCPU) / total
		score += weightFree * float64(h.servingCPU) / total
	}
	if budget := s.spec.DisruptionBudget; budget > 0 && s.runsPerHost[h] >= budget {
		score -= weightBudget
	}
	rack, zone := s.concentration(h)
	return score - weightSpread*(rack+zone)
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
