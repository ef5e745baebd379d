package hvfair

import (
	"cmp"
	"slices"
	"time"
)

// Unit is a set of runs that are stopped together or not at all.
type Unit struct {
	// Freed is what the runs hold, and Runs their number.
	Freed Amount
	Runs  int
	// Loss is the work that is lost, in core-seconds.
	Loss float64
}

// Choose returns the indexes of the units that together free what is missing, and their
// loss. It takes those that lose least and then leaves out each that is not needed, the
// one with the greatest loss first; one unit that suffices alone is taken if it loses
// less. It reports false if all together do not suffice or more than limit runs would
// be stopped.
func Choose(missing Amount, units []Unit, limit int) (chosen []int, loss float64, ok bool) {
	var order []int
	for i, u := range units {
		if u.Runs <= limit {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(units[a].Loss, units[b].Loss) })
	freed := Amount{}
	single := -1
	for _, i := range order {
		if single < 0 && missing.Fits(units[i].Freed) {
			single = i
		}
		if missing.Fits(freed) {
			continue
		}
		chosen, freed = append(chosen, i), freed.Add(units[i].Freed)
	}
	if !missing.Fits(freed) {
		return nil, 0, false
	}
	chosen = reduce(missing, freed, units, chosen)
	runs := 0
	for _, i := range chosen {
		loss, runs = loss+units[i].Loss, runs+units[i].Runs
	}
	if single >= 0 && (runs > limit || units[single].Loss < loss) {
		return []int{single}, units[single].Loss, true
	}
	if runs > limit {
		return nil, 0, false
	}
	return chosen, loss, true
}

// reduce leaves out the units that are not needed, the last first.
func reduce(missing, freed Amount, units []Unit, chosen []int) []int {
	for k := len(chosen) - 1; k >= 0; k-- {
		if less := freed.Sub(units[chosen[k]].Freed); missing.Fits(less) {
			freed = less
			chosen = slices.Delete(chosen, k, k+1)
		}
	}
	return chosen
}

// maxRate is the fraction of the runs that preemption may stop in a second.
const maxRate = 0.05

// Limiter bounds the runs that are stopped by their number in the last second.
type Limiter struct{ times []time.Time }

// Allowed returns how many runs may be stopped now. If a second allows less than one of
// them, one may be stopped in each period that allows it.
func (l *Limiter) Allowed(now time.Time, runs int) int {
	limit := maxRate * float64(runs)
	if limit <= 0 {
		return 0
	}
	period := time.Second
	if limit < 1 {
		period, limit = time.Duration(float64(time.Second)/limit), 1
	}
	recent := 0
	for _, t := range l.times {
		if now.Sub(t) < period {
			recent++
		}
	}
	return max(int(limit)-recent, 0)
}

// maxPeriod is how long stops are remembered: with fewer than two runs, at most one is
// stopped in it.
const maxPeriod = 20 * time.Second

// Stopped records that runs were stopped.
func (l *Limiter) Stopped(now time.Time, runs int) {
	l.times = slices.DeleteFunc(l.times, func(t time.Time) bool { return now.Sub(t) >= maxPeriod })
	for range runs {
		l.times = append(l.times, now)
	}
}
