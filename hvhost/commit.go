package hvhost

import (
	"fmt"
	"math"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Commitments follow measured use within a band, so that they do not change
// with every report: below low they grow to target, above high they shrink
// towards it. All are thousandths of the measured use.
const (
	lowMargin    = 1100
	targetMargin = 1250
	highMargin   = 1500
)

const (
	// settle is how long an attempt runs before its commitment may shrink.
	// Usage reports lag 30 s, so earlier ones show a task that still starts.
	settle = time.Minute
	// Half-lives of what a commitment exceeds its target by. Memory shrinks
	// slowly because a task that needs it back cannot be slowed down instead.
	processorsHalf = 30 * time.Second
	memoryHalf     = 5 * time.Minute
)

// Excess is measured use beyond a commitment that could not grow.
type Excess struct {
	Run  hv.RunningAttempt
	Amount hv.Resources
}

// Observe adjusts commitments to usage reports.
func (l *Ledger) Observe(usage []hv.Usage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	for _, u := range usage {
		e := l.find(u.Attempt)
		at := now.Add(-u.Age.Std())
		if e == nil || u.Used.Check() != nil || !at.After(e.sampled) || at.Before(e.started) {
			continue
		}
		l.follow(e, u.Used, at)
		e.sampled = at
	}
}

func (l *Ledger) follow(e *entry, used hv.Resources, at time.Time) {
	old := e.run.Committed
	next := hv.Resources{
		Processors:   grow(old.Processors, used.Processors),
		Memory:       hv.Size(grow(int64(old.Memory), int64(used.Memory))),
		Accelerators: max(old.Accelerators, used.Accelerators),
	}
	if at.Sub(e.started) >= settle && !e.sampled.IsZero() {
		next = shrinkAll(e, next, used, at.Sub(e.sampled))
	}
	free := l.config.Capacity.Sub(l.committed).Add(old)
	l.commit(e, least(next, free))
	e.over = beyond(used, e.run.Committed)
}

func shrinkAll(e *entry, next, used hv.Resources, passed time.Duration) hv.Resources {
	// A throttled attempt uses less than it needs.
	if e.run.Share >= fullShare {
		next.Processors = max(shrink(next.Processors, used.Processors, passed, processorsHalf), min(next.Processors, e.floor.Processors))
	}
	memory := shrink(int64(next.Memory), int64(used.Memory), passed, memoryHalf)
	next.Memory = max(hv.Size(memory), min(next.Memory, e.floor.Memory))
	return next
}

func grow(commit, used int64) int64 {
	if scale(used, lowMargin) <= commit {
		return commit
	}
	return scale(used, targetMargin)
}

func shrink(commit, used int64, passed, half time.Duration) int64 {
	if commit <= scale(used, highMargin) {
		return commit
	}
	target := scale(used, targetMargin)
	keep := math.Exp2(-passed.Seconds() / half.Seconds())
	return target + int64(math.Ceil(float64(commit-target)*keep))
}

// scale avoids an overflow for amounts that no host has.
func scale(used, margin int64) int64 {
	if used > math.MaxInt64/margin {
		return math.MaxInt64
	}
	return used * margin / 1000
}

// commit is the only place where commitments change.
func (l *Ledger) commit(e *entry, next hv.Resources) {
	sum := l.committed.Sub(e.run.Committed).Add(next)
	if !sum.Fits(l.config.Capacity) || sum.Check() != nil || next.Check() != nil {
		l.violations(1, fmt.Sprintf("%s: commitments of %+v for a capacity of %+v", e.run.Attempt, sum, l.config.Capacity))
		return
	}
	l.committed, e.run.Committed = sum, next
}

// Excesses returns the attempts that use more than the host could commit.
func (l *Ledger) Excesses() []Excess {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Excess
	for _, e := range l.sorted() {
		if e.phase == running && e.over != (hv.Resources{}) {
			all = append(all, Excess{Run: e.run, Amount: e.over})
		}
	}
	return all
}

func least(a, b hv.Resources) hv.Resources {
	return hv.Resources{
		Processors:   min(a.Processors, b.Processors),
		Memory:       min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func beyond(used, commit hv.Resources) hv.Resources {
	return hv.Resources{
		Processors:   max(0, used.Processors-commit.Processors),
		Memory:       max(0, used.Memory-commit.Memory),
		Accelerators: max(0, used.Accelerators-commit.Accelerators),
	}
}

// quarter is the floor of a commitment: declared sizes are too large by a
// factor of four at most.
func quarter(r hv.Resources) hv.Resources {
	return hv.Resources{Processors: r.Processors / 4, Memory: r.Memory / 4, Accelerators: r.Accelerators}
}
