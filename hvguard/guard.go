// Package hvguard protects the latency of the services on a host from the batch
// work beside them.
package hvguard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Options are the parameters of a Guard.
type Options struct {
	Prefer hv.Preference
	// SettlingTime is the time until the effect of a step shows in the measured
	// slowdown. It must cover the lag of the measurement, or the guard reacts
	// twice to the same cause.
	SettlingTime time.Duration
}

// thresholds are the parameters of the control loop. A slowdown of 1 is the
// target latency.
type thresholds struct {
	// high is the slowdown above which the share is lowered and low the one
	// below which it is raised. The gap between them is the hysteresis.
	high, low float64
	// evict is the slowdown above which an attempt is evicted once the share is
	// down to minShare.
	evict float64
	// minShare is the smallest processor share, in thousandths.
	minShare int
	// raiseFactor is the factor by which the share is raised in one step.
	raiseFactor float64
}

func thresholdsFor(p hv.Preference) thresholds {
	if p == hv.Latency {
		return thresholds{high: 1.0, low: 0.75, evict: 1.2, minShare: 100, raiseFactor: 1.5}
	}
	return thresholds{high: 1.2, low: 0.95, evict: 2.0, minShare: 250, raiseFactor: 2}
}

const (
	fullShare = 1000
	// confirmations is the number of consecutive measurements beyond a
	// threshold that a step needs, as single measurements are noisy.
	confirmations = 2
	// maxBackoff bounds the wait, in settling times, before a share that was
	// found to be too high is tried again. The wait doubles after each trial
	// that failed.
	maxBackoff = 8
	// minEffect is the part of the slowdown that throttling to minShare must have removed
	// before work is evicted. Measurements vary by less.
	minEffect = 0.1
)

// Guard implements hibiscusvane.Guard for one host. It throttles all batch work
// of the host to one processor share: it lowers the share by the square of the
// ratio of the threshold to the slowdown, and raises it in smaller steps. If
// the slowdown is still too high at the minimum share, it evicts the attempt
// that loses the least work, unless throttling has changed nothing. It is not safe for concurrent use.
type Guard struct {
	options    Options
	thresholds thresholds
	share      int
	// over and under count consecutive measurements beyond the thresholds.
	over, under int
	// lastStep is the time of the last step.
	lastStep time.Time
	// ceiling is the share that was last found to be too high, or 0. Raising
	// the share to it is a trial, which waits for backoff settling times.
	ceiling int
	trial   bool
	backoff int
	// unthrottled is the greatest slowdown at which the share was lowered since it was full.
	unthrottled float64
	work        workTracker
}

var _ hv.Guard = (*Guard)(nil)

// New returns a guard that has not throttled anything.
func New(o Options) *Guard {
	return &Guard{options: o, thresholds: thresholdsFor(o.Prefer), share: fullShare, backoff: 1, work: workTracker{}}
}

// Share returns the processor share of batch work, in thousandths.
func (g *Guard) Share() int { return g.share }

// Decide implements hibiscusvane.Guard.
func (g *Guard) Decide(now time.Time, slowdown float64, tasks []hv.RunningAttempt) []hv.GuardAction {
	g.work.update(now, tasks)
	g.countMeasurement(slowdown)
	evict := false
	if now.Sub(g.lastStep) >= g.options.SettlingTime {
		evict = g.step(now, slowdown)
	}
	actions := g.applyShare(tasks)
	if evict {
		if a, ok := g.work.leastLoss(tasks); ok {
			actions = replaceAction(actions, hv.GuardAction{Attempt: a})
		}
	}
	return actions
}

func (g *Guard) countMeasurement(slowdown float64) {
	g.over, g.under = g.over+1, g.under+1
	if slowdown <= g.thresholds.high {
		g.over = 0
	}
	if slowdown >= g.thresholds.low {
		g.under = 0
	}
}

// step changes the share if needed and reports whether to evict an attempt.
func (g *Guard) step(now time.Time, slowdown float64) bool {
	switch {
	case g.over >= confirmations && g.share > g.thresholds.minShare:
		g.lowerShare(now, slowdown)
	case g.over >= confirmations && slowdown > g.thresholds.evict && g.throttlingHelps(slowdown):
		g.recordStep(now, false)
		return true
	case g.under >= confirmations && g.share < fullShare:
		g.raiseShare(now)
	}
	return false
}

// throttlingHelps reports whether the slowdown at the smallest share is less than before.
// Otherwise the batch work is not its cause, and evicting it would not help either.
func (g *Guard) throttlingHelps(slowdown float64) bool {
	return slowdown <= (1-minEffect)*g.unthrottled
}

func (g *Guard) lowerShare(now time.Time, slowdown float64) {
	if g.share == fullShare {
		g.unthrottled = 0
	}
	g.unthrottled = max(g.unthrottled, slowdown)
	if g.trial {
		g.backoff = min(2*g.backoff, maxBackoff)
	}
	if g.ceiling == 0 || g.share < g.ceiling {
		g.ceiling = g.share
	}
	factor := max(g.thresholds.high/slowdown, 0.25)
	g.share = max(int(float64(g.share)*factor*factor), g.thresholds.minShare)
	g.recordStep(now, false)
}

func (g *Guard) raiseShare(now time.Time) {
	if g.trial {
		// The trial succeeded, so the cause of the throttling is gone.
		g.ceiling, g.backoff = 0, 1
	}
	next := min(int(float64(g.share)*g.thresholds.raiseFactor), fullShare)
	trial := g.ceiling > 0 && next >= g.ceiling
	if trial {
		next = g.ceiling
	}
	if trial && now.Sub(g.lastStep) < time.Duration(g.backoff)*g.options.SettlingTime {
		next, trial = g.ceiling*9/10, false
	}
	if next > g.share {
		g.share = next
		g.recordStep(now, trial)
	}
}

func (g *Guard) recordStep(now time.Time, trial bool) {
	g.lastStep, g.trial = now, trial
	g.over, g.under = 0, 0
}

// applyShare throttles every batch task to the share, including those that
// started since the last step.
func (g *Guard) applyShare(tasks []hv.RunningAttempt) []hv.GuardAction {
	var actions []hv.GuardAction
	for _, t := range tasks {
		if preemptible(t) && t.Share != g.share {
			actions = append(actions, hv.GuardAction{Attempt: t.Attempt, Share: g.share})
		}
	}
	return actions
}

func replaceAction(actions []hv.GuardAction, a hv.GuardAction) []hv.GuardAction {
	for i := range actions {
		if actions[i].Attempt == a.Attempt {
			actions[i] = a
			return actions
		}
	}
	return append(actions, a)
}

// preemptible reports whether a task may be throttled or evicted in favor of
// services.
func preemptible(t hv.RunningAttempt) bool {
	return t.Task.Kind == hv.Job && !t.Task.Urgent && t.State == hv.StateRunning
}
