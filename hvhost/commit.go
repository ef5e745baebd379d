package hvhost

import (
	"fmt"
	"math"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Margins between a commitment and the measured use, in thousandths of the use.
// A commitment below lowMargin grows to targetMargin, and one above highMargin
// shrinks towards targetMargin. In between it stays as it is, so that it does not
// change with every usage report.
const (
	lowMargin    = 1100
	targetMargin = 1250
	highMargin   = 1500
)

const (
	// settlingTime is how long an attempt must run before its commitment may
	// shrink. Usage reports are delayed by 30 s, so earlier ones show a task that
	// is still starting.
	settlingTime = time.Minute
	// Half-lives of the amount by which a commitment exceeds its target. The
	// commitment of memory shrinks slowly because a task that needs the memory
	// again can't be slowed down instead.
	processorsHalfLife = 30 * time.Second
	memoryHalfLife     = 5 * time.Minute
)

// Excess is the measured use of an attempt beyond its commitment, which could not
// grow for lack of free resources.
type Excess struct {
	Run    hv.RunningAttempt
	Amount hv.Resources
}

// Observe adjusts commitments to the measured use in usage reports.
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
	// The processor use of a throttled attempt is less than its need, so it does
	// not shrink the commitment.
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

// scale multiplies used by a margin. It saturates instead of overflowing, which
// only amounts beyond any real host reach.
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
		l.violations(1, fmt.Sprintf("%s: total commitments of %+v exceed the capacity of %+v", e.run.Attempt, total, l.config.Capacity))
		return
	}
	l.committed, e.run.Committed = total, next
}

// Excesses returns the running attempts that use more than the host could commit
// to them.
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

// minCommitment returns the lower bound of a commitment, a quarter of the
// declared resources: declarations are too large by a factor of four at most.
func minCommitment(r hv.Resources) hv.Resources {
	return hv.Resources{Processors: r.Processors / 4, Memory: r.Memory / 4, Accelerators: r.Accelerators}
}
