package hvcell

import (
	"cmp"
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

const (
	// bestEffortYield is the fraction of the unused processors that best-effort tasks
	// get on average, as they are throttled beside serving tasks.
	bestEffortYield = 0.8
	// remainingFraction is the fraction of its work that a running task has left on
	// average.
	remainingFraction = 0.5
)

// roundDemand is the demand of a round with best-effort tasks.
type roundDemand struct {
	round *round
	// work is the remaining work, in thousandths of a core times milliseconds.
	work float64
	// criticalPath is the expected remaining time if no task waits for processors, in
	// milliseconds.
	criticalPath float64
}

// deferredRounds returns the rounds that are deferred so that the others complete in
// time. Under overload, serving the earliest goal first alone gives every round some
// processors and completes all of them late. As in the algorithm of Moore and
// Hodgson, rounds are taken in the order of their goals, and each that would miss its
// goal defers the largest one taken so far.
func (c *Cell) deferredRounds(now time.Time, hosts []*host) map[*round]bool {
	rate := bestEffortRate(hosts)
	deferred := map[*round]bool{}
	var kept []roundDemand
	sum := 0.0
	for _, d := range c.roundDemands(now) {
		kept = append(kept, d)
		sum += d.work
		remaining := float64(d.round.goal - now.UnixMilli())
		if rate <= 0 || max(sum/rate, d.criticalPath) <= remaining {
			continue
		}
		i := largest(kept)
		deferred[kept[i].round] = true
		sum -= kept[i].work
		kept = slices.Delete(kept, i, i+1)
	}
	return deferred
}

// bestEffortRate returns the processors that best-effort tasks can use on all hosts,
// in thousandths of a core.
func bestEffortRate(hosts []*host) float64 {
	sum := 0.0
	for _, h := range hosts {
		sum += float64(max(h.unusedCPU(), 0)) * bestEffortYield
	}
	return sum
}

// largest returns the index of the demand with the most work.
func largest(list []roundDemand) int {
	best := 0
	for i, d := range list {
		if d.work > list[best].work {
			best = i
		}
	}
	return best
}

// roundDemands returns the demands of the rounds with best-effort tasks whose
// critical path still ends in time, ordered by goal.
func (c *Cell) roundDemands(now time.Time) []roundDemand {
	var out []roundDemand
	for _, j := range c.jobs {
		for _, r := range j.rounds {
			if r.hasBestEffort() && c.usefulness(now, r) == usefulInTime {
				out = append(out, roundDemand{r, c.remainingWork(r), float64(c.criticalPath(r).Milliseconds())})
			}
		}
	}
	slices.SortFunc(out, func(a, b roundDemand) int {
		return cmp.Or(cmp.Compare(a.round.goal, b.round.goal), cmp.Compare(a.round.job.seq, b.round.job.seq))
	})
	return out
}

func (r *round) hasBestEffort() bool {
	return slices.ContainsFunc(r.job.Steps, func(s hvjob.Step) bool { return s.BestEffort })
}

// remainingWork estimates the work that is left of a round.
func (c *Cell) remainingWork(r *round) float64 {
	sum := 0.0
	for _, s := range r.steps {
		running := float64(len(s.tasks) - s.done - s.waiting)
		tasks := float64(s.waiting) + running*remainingFraction
		sum += tasks * float64(c.estimate.taskTime(s).Milliseconds()) * float64(s.spec.Need.CPU)
	}
	return sum
}
