package hvcell

import (
	"cmp"
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

const (
	// fillYield is the part of the unused processors that fill work gets on
	// average, as it is slowed beside serving tasks.
	fillYield = 0.8
	// runningPart is the part of its work that a running task has left on
	// average.
	runningPart = 0.5
)

// claimant is a round that wants processors, in the triage.
type claimant struct {
	round *round
	// work is what is left to do, in thousandths of a core times milliseconds.
	work float64
	// chain is the expected time of what is left if nothing waits, in
	// milliseconds.
	chain float64
}

// triage returns the rounds that give way so that the others can be complete
// in time. In a flood, the earliest goal first alone serves all rounds a little
// and completes all of them late. Taken in the order of their goals, each round
// that would miss its goal puts off the largest one so far (Moore and Hodgson).
func (c *Cell) triage(now time.Time, hosts []*host) map[*round]bool {
	rate := fillRate(hosts)
	late := map[*round]bool{}
	var kept []claimant
	sum := 0.0
	for _, cl := range c.claimants(now) {
		kept = append(kept, cl)
		sum += cl.work
		left := float64(cl.round.goal - now.UnixMilli())
		if rate <= 0 || max(sum/rate, cl.chain) <= left {
			continue
		}
		i := largest(kept)
		late[kept[i].round] = true
		sum -= kept[i].work
		kept = slices.Delete(kept, i, i+1)
	}
	return late
}

// fillRate is what fill work can use on all hosts, in thousandths of a core.
func fillRate(hosts []*host) float64 {
	sum := 0.0
	for _, h := range hosts {
		sum += float64(max(h.unused(), 0)) * fillYield
	}
	return sum
}

func largest(list []claimant) int {
	best := 0
	for i, cl := range list {
		if cl.work > list[best].work {
			best = i
		}
	}
	return best
}

// claimants returns the rounds of fill work that can still be in time by their
// chain alone, by the order of their goals.
func (c *Cell) claimants(now time.Time) []claimant {
	var out []claimant
	for _, j := range c.jobs {
		for _, r := range j.rounds {
			if r.fills() && c.use(now, r) == useInTime {
				out = append(out, claimant{r, c.workLeft(r), float64(c.chain(r).Milliseconds())})
			}
		}
	}
	slices.SortFunc(out, func(a, b claimant) int {
		return cmp.Or(cmp.Compare(a.round.goal, b.round.goal), cmp.Compare(a.round.job.seq, b.round.job.seq))
	})
	return out
}

func (r *round) fills() bool {
	return slices.ContainsFunc(r.job.Steps, func(s hvjob.Step) bool { return s.BestEffort })
}

// workLeft estimates what is left to do of a round.
func (c *Cell) workLeft(r *round) float64 {
	sum := 0.0
	for _, s := range r.steps {
		running := float64(len(s.tasks) - s.done - s.waiting)
		tasks := float64(s.waiting) + running*runningPart
		sum += tasks * float64(c.estimate.task(s).Milliseconds()) * float64(s.spec.Need.CPU)
	}
	return sum
}
