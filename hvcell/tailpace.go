package hvcell

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// slowRatio is the ratio of the usual speed to that of a run from which the run is
	// slow. Speeds of equal tasks on equal hosts differ by less.
	slowRatio = 1.5
	// minPeers is the number of measured runs from which their median is the usual speed
	// of a step of which no task is done.
	minPeers = 3
	// slowMemory is how long a host counts as slow or not after its runs last showed it: the
	// last run on a slow host has none beside it.
	slowMemory = 10 * time.Second
)

// paces holds the measured speeds of all runs at one time.
type paces struct {
	cell *Cell
	now  time.Time
	// usual holds the usual speed by step, in percent per second, if tasks of the step
	// show it.
	usual map[*step]float64
	// ratios holds the ratios of usual to measured speed of the runs on each host whose
	// usual speed is known.
	ratios map[*host]map[*run]float64
	// throttled holds the images whose runs a host has throttled for a while.
	throttled map[*host]map[string]int64
}

// measurePaces compares the speeds of all runs with those that are usual.
func (c *Cell) measurePaces(now time.Time) *paces {
	p := &paces{cell: c, now: now, usual: map[*step]float64{}, ratios: map[*host]map[*run]float64{}, throttled: map[*host]map[string]int64{}}
	speeds := map[*step][]float64{}
	for _, h := range c.hosts {
		for _, r := range h.runs {
			if speed, ok := r.progress.speed(now); ok && r.task.step.hasTail() {
				speeds[r.task.step] = append(speeds[r.task.step], speed)
			}
		}
		if !h.throttledSince.IsZero() && now.Sub(h.throttledSince) >= migrationDelay {
			p.throttled[h] = c.effects(h)
		}
	}
	for s, list := range speeds {
		if s.runTimes.n > 0 {
			p.usual[s] = fullPercent / max(s.runTimes.value(), time.Millisecond).Seconds()
		} else if len(list) >= minPeers {
			p.usual[s] = median(list)
		}
	}
	for _, h := range c.hosts {
		p.ratios[h] = map[*run]float64{}
		for _, r := range h.runs {
			speed, measured := r.progress.speed(now)
			if usual, ok := p.usual[r.task.step]; ok && measured {
				p.ratios[h][r] = ratioOf(usual, speed)
			}
		}
		if all := slices.Collect(maps.Values(p.ratios[h])); len(all) > 1 {
			h.slowness, h.slownessAt = median(all), now
		}
	}
	return p
}

// ratioOf returns usual / speed, bounded for runs that make no progress.
func ratioOf(usual, speed float64) float64 {
	const most = 100
	if usual >= most*speed {
		return most
	}
	return usual / speed
}

// median returns the lower median of a list that is not empty, which it sorts.
func median(list []float64) float64 {
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// hasTail reports whether runs of the step may be moved or copied.
func (s *step) hasTail() bool { return !s.spec.LongRunning && !s.spec.Gang }

// usualSpeed returns the usual speed of the runs of a step in percent per second: that
// of its tasks, or else the one expected of its queue.
func (p *paces) usualSpeed(s *step) float64 {
	if usual, ok := p.usual[s]; ok {
		return usual
	}
	return fullPercent / max(p.cell.estimate.taskTime(s), time.Millisecond).Seconds()
}

// isThrottled reports whether the host has lowered the CPU share of a run for a while.
func (p *paces) isThrottled(r *run) bool {
	_, ok := p.throttled[r.host][r.task.step.spec.Image]
	return ok && r.task.step.spec.BestEffort
}

// hostFactor returns the factor by which the host slows a run, as its CPU share or the
// other runs on the host show; it is 1 if neither does.
func (p *paces) hostFactor(r *run) float64 {
	factor := 1.0
	if p.isThrottled(r) {
		factor = ratioOf(fullShare, float64(r.host.cpuShare))
	}
	if slowness, ok := p.slowness(r); ok {
		factor = max(factor, slowness)
	}
	return factor
}

// slowness returns the ratio of the usual speed to that of the other runs on the host of
// a run. It reports false if no other run has shown it.
func (p *paces) slowness(r *run) (float64, bool) {
	var others []float64
	for other, ratio := range p.ratios[r.host] {
		if other != r {
			others = append(others, ratio)
		}
	}
	if len(others) > 0 {
		return median(others), true
	}
	return r.host.slowness, p.now.Sub(r.host.slownessAt) < slowMemory
}

// isSlow reports whether its runs show that a host slows whatever runs on it.
func (p *paces) isSlow(h *host) bool {
	return h.slowness >= slowRatio && p.now.Sub(h.slownessAt) < slowMemory
}

// isLong reports whether a run makes progress as slow as its task is long: the other runs
// on its host are not slow.
func (p *paces) isLong(r *run) bool {
	slowness, ok := p.slowness(r)
	return ok && slowness < slowRatio && r.progress.isRecent(p.now)
}

// slowRun is a run that its host slows.
type slowRun struct {
	*run
	// here is the expected remaining time on its host and deviation its standard
	// deviation.
	here, deviation time.Duration
	// left is the part of the task that is left, in percent, and full the speed on a host
	// that does not slow it.
	left int
	full float64
	// usefulness is that of the round, and unfinished the number of tasks of the step
	// that are not done.
	usefulness usefulness
	unfinished int
}

// slowRun returns what an action on a run is decided from. It reports false if the run
// is not slow or its host is not the cause.
func (p *paces) slowRun(r *run) (slowRun, bool) {
	usual := p.usualSpeed(r.task.step)
	speed, measured := r.progress.speed(p.now)
	if measured && ratioOf(usual, speed) < slowRatio {
		return slowRun{}, false
	}
	factor := p.hostFactor(r)
	if factor < slowRatio {
		return slowRun{}, false
	}
	s := slowRun{run: r, left: fullPercent - r.progress.last.percent, full: usual}
	s.here, s.deviation = p.cell.remaining(p.now, r)
	switch {
	case !p.isThrottled(r) && (!measured || p.usual[r.task.step] == 0):
		// At most the estimate of the caller says that the run is slow.
		return slowRun{}, false
	case measured:
		s.full = min(speed*factor, usual)
	default:
		s.left = int(math.Ceil(min(s.here.Seconds()*usual, fullPercent)))
		s.here, s.deviation = scale(s.here, factor), scale(s.deviation, factor)
	}
	return s, true
}

// scale multiplies a time by a factor.
func scale(d time.Duration, factor float64) time.Duration {
	return time.Duration(float64(d) * factor)
}
