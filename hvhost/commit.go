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
	// settlingTime is how long an attempt runs before its commitment may shrink.
	// Usage reports lag 30 s, so earlier ones show a task that still starts.
	settlingTime = time.Minute
	// Half-lives of what a commitment exceeds its target by. Memory shrinks
	// slowly because a task that needs it back cannot be slowed down instead.
	processorsHalfLife = 30 * time.Second
	memoryHalfLife     = 5 * time.Minute
)

// Excess is measured use beyond a commitment that could not grow.
type Excess struct {
	Run    hv.RunningAttempt
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
		if e == nil || u.Used.Check() != nil || !at.After(e.lastSample) || at.Before(e.startedAt) {
			continue
		}
		l.adjustCommitment(e, u.Used, at)
		e.lastSample = at
	}
}

func (l *Ledger) adjustCommitment(e *entry, used hv.Resources, at time.Time) {
	current := e.run.Committed
	next := hv.Resources{
		Processors:   grow(current.Processors, used.Processors),
		Memory:       hv.Size(grow(int64(current.Memory), int64(used.Memory))),
		Accelerators: max(current.Accelerators, used.Accelerators),
	}
	if at.Sub(e.startedAt) >= settlingTime && !e.lastSample.IsZero() {
		next = shrinkCommitment(e, next, used, at.Sub(e.lastSample))
	}
	free := l.config.Capacity.Sub(l.committed).Add(current)
	l.setCommitment(e, minResources(next, free))
	e.excess = excessUse(used, e.run.Committed)
}

func shrinkCommitment(e *entry, next, used hv.Resources, elapsed time.Duration) hv.Resources {
	// A throttled attempt uses less than it needs.
	if e.run.Share >= fullShare {
		next.Processors = max(shrink(next.Processors, used.Processors, elapsed, processorsHalfLife), min(next.Processors, e.floor.Processors))
	}
	memory := shrink(int64(next.Memory), int64(used.Memory), elapsed, memoryHalfLife)
	next.Memory = max(hv.Size(memory), min(next.Memory, e.floor.Memory))
	return next
}

func grow(committed, used int64) int64 {
	if scale(used, lowMargin) <= committed {
		return committed
	}
	return scale(used, targetMargin)
}

func shrink(committed, used int64, elapsed, halfLife time.Duration) int64 {
	if committed <= scale(used, highMargin) {
		return committed
	}
	target := scale(used, targetMargin)
	fraction := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	return target + int64(math.Ceil(float64(committed-target)*fraction))
}

// scale avoids an overflow for amounts that no host has.
func scale(used, margin int64) int64 {
	if used > math.MaxInt64/margin {
		return math.MaxInt64
	}
	return used * margin / 1000
}

// setCommitment is the only place where commitments change.
func (l *Ledger) setCommitment(e *entry, next hv.Resources) {
	total := l.committed.Sub(e.run.Committed).Add(next)
	if !total.Fits(l.config.Capacity) || total.Check() != nil || next.Check() != nil {
		l.violations(1, fmt.Sprintf("%s: commitments of %+v for a capacity of %+v", e.run.Attempt, total, l.config.Capacity))
		return
	}
	l.committed, e.run.Committed = total, next
}

// Excesses returns the attempts that use more than the host could commit.
func (l *Ledger) Excesses() []Excess {
	l.mu.Lock()
	defer l.mu.Unlock()
	var all []Excess
	for _, e := range l.sorted() {
		if e.phase == running && e.excess != (hv.Resources{}) {
			all = append(all, Excess{Run: e.run, Amount: e.excess})
		}
	}
	return all
}

func minResources(a, b hv.Resources) hv.Resources {
	return hv.Resources{
		Processors:   min(a.Processors, b.Processors),
		Memory:       min(a.Memory, b.Memory),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func excessUse(used, committed hv.Resources) hv.Resources {
	return hv.Resources{
		Processors:   max(0, used.Processors-committed.Processors),
		Memory:       max(0, used.Memory-committed.Memory),
		Accelerators: max(0, used.Accelerators-committed.Accelerators),
	}
}

// minCommitment is the floor of a commitment: declared sizes are too large by a
// factor of four at most.
func minCommitment(r hv.Resources) hv.Resources {
	return hv.Resources{Processors: r.Processors / 4, Memory: r.Memory / 4, Accelerators: r.Accelerators}
}
