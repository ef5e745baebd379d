// Package hvguard protects the latency of the services on a host from the
// batch work beside them.
package hvguard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Options are the parameters of a Guard.
type Options struct {
	Prefer hv.Prefer
	// SettlingTime is the time after which a step shows in the measured slowdown.
	// It must cover the lag of the measurement, or the guard acts twice on
	// the same cause.
	SettlingTime time.Duration
}

// limits are the thresholds of a guard. Slowdown 1 is the target latency.
type limits struct {
	// high starts throttling and low gives back. The gap between them is the
	// hysteresis.
	high, low float64
	// evict is the slowdown at which work that is throttled to the floor is
	// evicted.
	evict float64
	// floor is the smallest share, in thousandths.
	floor int
	// raise is the growth of the share when some is given back.
	raise float64
}

func limitsOf(p hv.Prefer) limits {
	if p == hv.Latency {
		return limits{high: 1.0, low: 0.75, evict: 1.2, floor: 100, raise: 1.5}
	}
	return limits{high: 1.2, low: 0.95, evict: 2.0, floor: 250, raise: 2}
}

const (
	fullShare = 1000
	// confirmations is the number of consecutive measurements that must agree
	// before a step, as single measurements carry noise.
	confirmations = 2
	// maxPatience bounds the wait before a share that was too much is tried
	// again. The wait doubles with each trial that had to be taken back.
	maxPatience = 8
)

// Guard implements hibiscusvane.Guard for one host. It throttles all batch
// work of the host to one share, first in proportion to the excess, and gives
// it back in smaller steps. When throttling to the floor is not enough it
// evicts the attempt that loses the least work. It is not safe for concurrent
// use.
type Guard struct {
	options Options
	limits  limits
	share   int
	// over and under count consecutive measurements beyond the thresholds.
	over, under int
	// stepped is the time of the last step.
	stepped time.Time
	// ceiling is the share that was last found to be too much, or 0. A rise to
	// it is a trial, and waits for patience times the settle time.
	ceiling  int
	trial    bool
	patience int
	ledger   ledger
}

var _ hv.Guard = (*Guard)(nil)

// New returns a guard that has not throttled anything.
func New(o Options) *Guard {
	return &Guard{options: o, limits: limitsOf(o.Prefer), share: fullShare, patience: 1, ledger: ledger{}}
}

// Share returns the share that the guard leaves to batch work, in thousandths.
func (g *Guard) Share() int { return g.share }

// Decide implements hibiscusvane.Guard.
func (g *Guard) Decide(now time.Time, slowdown float64, tasks []hv.Running) []hv.Action {
	g.ledger.update(now, tasks)
	g.count(slowdown)
	evict := false
	if now.Sub(g.stepped) >= g.options.SettlingTime {
		evict = g.step(now, slowdown)
	}
	actions := g.apply(tasks)
	if evict {
		if a, ok := g.ledger.cheapest(tasks); ok {
			actions = replace(actions, hv.Action{Attempt: a})
		}
	}
	return actions
}

func (g *Guard) count(slowdown float64) {
	g.over, g.under = g.over+1, g.under+1
	if slowdown <= g.limits.high {
		g.over = 0
	}
	if slowdown >= g.limits.low {
		g.under = 0
	}
}

// step changes the share and reports whether to evict.
func (g *Guard) step(now time.Time, slowdown float64) bool {
	switch {
	case g.over >= confirmations && g.share > g.limits.floor:
		g.lower(now, slowdown)
	case g.over >= confirmations && slowdown > g.limits.evict:
		g.mark(now, false)
		return true
	case g.under >= confirmations && g.share < fullShare:
		g.raise(now)
	}
	return false
}

func (g *Guard) lower(now time.Time, slowdown float64) {
	if g.trial {
		g.patience = min(2*g.patience, maxPatience)
	}
	if g.ceiling == 0 || g.share < g.ceiling {
		g.ceiling = g.share
	}
	cut := max(g.limits.high/slowdown, 0.25)
	g.share = max(int(float64(g.share)*cut*cut), g.limits.floor)
	g.mark(now, false)
}

func (g *Guard) raise(now time.Time) {
	if g.trial {
		// The trial held, so the cause of the throttling has passed.
		g.ceiling, g.patience = 0, 1
	}
	next := min(int(float64(g.share)*g.limits.raise), fullShare)
	trial := g.ceiling > 0 && next >= g.ceiling
	if trial {
		next = g.ceiling
	}
	if trial && now.Sub(g.stepped) < time.Duration(g.patience)*g.options.SettlingTime {
		next, trial = g.ceiling*9/10, false
	}
	if next > g.share {
		g.share = next
		g.mark(now, trial)
	}
}

func (g *Guard) mark(now time.Time, trial bool) {
	g.stepped, g.trial = now, trial
	g.over, g.under = 0, 0
}

// apply brings every batch task to the share, also those that started since.
func (g *Guard) apply(tasks []hv.Running) []hv.Action {
	var actions []hv.Action
	for _, t := range tasks {
		if yields(t) && t.Share != g.share {
			actions = append(actions, hv.Action{Attempt: t.Attempt, Share: g.share})
		}
	}
	return actions
}

func replace(actions []hv.Action, a hv.Action) []hv.Action {
	for i := range actions {
		if actions[i].Attempt == a.Attempt {
			actions[i] = a
			return actions
		}
	}
	return append(actions, a)
}

// yields reports whether a task gives way to services.
func yields(t hv.Running) bool {
	return t.Task.Kind == hv.Job && !t.Task.Urgent && t.State == hv.StateRunning
}
