package hvcell

import (
	"cmp"
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

const (
	// bestEffortYield is the part of the unused processors that fill work gets on
	// average, as it is slowed beside serving tasks.
	bestEffortYield = 0.8
	// remainingFraction is the part of its work that a running task has left on
	// average.
	remainingFraction = 0.5
)

// roundDemand is a round that wants processors, in the triage.
type roundDemand struct {
	round *round
	// work is what is left to do, in thousandths of a core times milliseconds.
	work float64
	// criticalPath is the expected time of what is left if nothing waits, in
	// milliseconds.
	criticalPath float64
}

// deferredRounds returns the rounds that give way so that the others can be complete
// in time. In a flood, the earliest goal first alone serves all rounds a little
// and completes all of them late. Taken in the order of their goals, each round
// that would miss its goal puts off the largest one so far (Moore and Hodgson).
func (c *Cell) deferredRounds(now time.Time, hosts []*host) map[*round]bool {
	rate := bestEffortRate(hosts)
	late := map[*round]bool{}
	var kept []roundDemand
	sum := 0.0
	for _, cl := range c.roundDemands(now) {
		kept = append(kept, cl)
		sum += cl.work
		left := float64(cl.round.goal - now.UnixMilli())
		if rate <= 0 || max(sum/rate, cl.criticalPath) <= left {
			continue
		}
		i := largest(kept)
		late[kept[i].round] = true
		sum -= kept[i].work
		kept = slices.Delete(kept, i, i+1)
	}
	return late
}

// bestEffortRate is what fill work can use on all hosts, in thousandths of a core.
func bestEffortRate(hosts []*host) float64 {
	sum := 0.0
	for _, h := range hosts {
		sum += float64(max(h.unusedCPU(), 0)) * bestEffortYield
	}
	return sum
}

func largest(list []roundDemand) int {
	best := 0
	for i, cl := range list {
		if cl.work > list[best].work {
			best = i
		}
	}
	return best
}

// roundDemands returns the rounds of fill work that can still be in time by their
// chain alone, by the order of their goals.
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

// remainingWork estimates what is left to do of a round.
func (c *Cell) remainingWork(r *round) float64 {
	sum := 0.0
	for _, s := range r.steps {
		running := float64(len(s.tasks) - s.done - s.waiting)
		tasks := float64(s.waiting) + running*remainingFraction
		sum += tasks * float64(c.estimate.taskTime(s).Milliseconds()) * float64(s.spec.Need.CPU)
	}
	return sum
}
