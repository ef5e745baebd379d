package hvmeasure

import (
	"fmt"
	"math"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Case is one simulated scenario with its targets.
type Case struct {
	Name     string
	Duration time.Duration
	// BatchLoad is the offered batch work as a fraction of the processors that
	// the services leave free.
	BatchLoad float64
	// FaultyJobs and OversizedJobs are the fractions of jobs that always fail
	// and that fit no host.
	FaultyJobs, OversizedJobs float64
	// BrokenAt is when workers break; RestoredAt is when lost capacity returns.
	BrokenAt, RestoredAt time.Duration
	Setup                func(*run)
	Event                func(*run, time.Duration)
	Targets              func(Deployment) []Target
}

// Target is a bound on a metric, stated before the run.
type Target struct {
	Metric string
	Bound  string
	Met    func(baseline, policy float64) bool
}

func atMost(metric string, v float64) Target {
	return Target{metric, fmt.Sprintf("at most %.4g", v), func(_, p float64) bool { return p <= v }}
}

func atLeast(metric string, v float64) Target {
	return Target{metric, fmt.Sprintf("at least %.4g", v), func(_, p float64) bool { return p >= v }}
}

func atLeastOfBaseline(metric string, share float64) Target {
	return Target{metric, fmt.Sprintf("at least %.0f%% of the baseline", 100*share), func(b, p float64) bool { return p >= share*b }}
}

func atMostOfBaseline(metric string, share float64) Target {
	return Target{metric, fmt.Sprintf("at most %.0f%% of the baseline", 100*share), func(b, p float64) bool { return p <= share*b }}
}

func loadAt(t time.Duration) float64 {
	return 0.5 + 0.4*math.Sin(2*math.Pi*t.Seconds()/600)
}

// latencyTargets returns targets that follow the setting policy.prefer: a
// deployment that prefers latency may give up more batch work for it.
func latencyTargets(d Deployment) []Target {
	if d.Prefer == hv.Latency {
		return []Target{atMost("p99 ms", 2*unloadedP99), atMost("p99.9 ms", 4*unloadedP99), atLeastOfBaseline("batch core-h", 0.7)}
	}
	return []Target{atMost("p99 ms", 3*unloadedP99), atMost("p99.9 ms", 8*unloadedP99), atLeastOfBaseline("batch core-h", 0.95)}
}

const caseDuration = 30 * time.Minute

// Cases lists all scenarios of batch work and services.
var Cases = []Case{
	{
		Name: "interference", Duration: caseDuration, BatchLoad: 0.75,
		Targets: func(d Deployment) []Target {
			return append(latencyTargets(d), atMost("evictions", 30), atMost("urgent start s", 5), atMost("violations", 0))
		},
	},
	{
		Name: "wrong sizes and run times", Duration: caseDuration, BatchLoad: 0.45, // 76% of the processors by actual sizes
		Setup: func(r *run) {
			for i, f := range [][2]float64{{0.25, 4}, {4, 0.25}, {2, 0.5}, {0.5, 2}} {
				r.programs[i].runtimeFactor, r.programs[i].sizeFactor = f[0], f[1]
			}
		},
		Targets: func(Deployment) []Target {
			return []Target{
				atMostOfBaseline("out of memory", 0.2), atMostOfBaseline("missed %", 0.8), atMostOfBaseline("lost core-h", 0.5),
				atMost("good jobs marked faulty", 0), atMost("violations", 0),
			}
		},
	},
	{
		Name: "jobs that fit no host", Duration: caseDuration / 2, BatchLoad: 0.6, OversizedJobs: 0.2,
		Targets: func(Deployment) []Target {
			return []Target{atMost("impossible starts", 0), atMost("urgent start s", 5), atMost("violations", 0)}
		},
	},
	{
		Name: "jobs that always fail", Duration: caseDuration, BatchLoad: 0.6, FaultyJobs: 0.2,
		Targets: func(Deployment) []Target {
			return []Target{
				atLeastOfBaseline("bad jobs found", 0.95), atMost("attempts per bad job", 5), atMost("good jobs marked faulty", 0),
				atMost("good workers quarantined", 0),
			}
		},
	},
	{
		Name: "three bad workers of a rack", Duration: caseDuration, BatchLoad: 0.6, FaultyJobs: 0.02, BrokenAt: 5 * time.Minute,
		Event: func(r *run, t time.Duration) {
			if t == 5*time.Minute {
				for _, h := range r.fleet[3:6] {
					h.broken = true
				}
			}
		},
		Targets: func(Deployment) []Target {
			return []Target{
				atLeast("bad workers found", 3), atMost("found after s", 120), atMost("in quarantine", hostCount/4),
				atMost("good jobs marked faulty", 0), atMost("good workers quarantined", 0), atMostOfBaseline("failed attempts", 0.1),
			}
		},
	},
	{
		Name: "half the queue canceled", Duration: caseDuration / 2, BatchLoad: 1.5,
		Event: func(r *run, t time.Duration) {
			if t == 5*time.Minute {
				r.cancelHalf()
			}
		},
		Targets: func(Deployment) []Target {
			return []Target{atMost("canceled starts", 0), atMost("urgent start s", 5), atMostOfBaseline("missed %", 1)}
		},
	},
	{
		Name: "rack, then zone lost and restored", Duration: caseDuration, BatchLoad: 0.7, RestoredAt: 15 * time.Minute,
		Event: outage,
		Targets: func(d Deployment) []Target {
			return append(latencyTargets(d), atMost("urgent start s", 5), atMost("evictions after restore", 5), atMost("starts in 1 s", 83))
		},
	},
}

// outage makes rack 1 unavailable at 5 minutes and zone 2 at 8 minutes, and
// restores both at 15 minutes.
func outage(r *run, t time.Duration) {
	for i, h := range r.fleet {
		lostAt := 5 * time.Minute
		switch i / hostsPerRack {
		case 1:
		case 2:
			lostAt = 8 * time.Minute
		default:
			continue
		}
		switch t {
		case lostAt:
			h.up = false
			r.variant.placer.RemoveHost(h.Name)
		case lostAt + leaseExpiry.Truncate(time.Second) + time.Second:
			r.requeueTasks(h)
		case 15 * time.Minute:
			h.up, h.reports = true, nil
		}
	}
}

// cancelHalf cancels every second queued job with one call of Remove.
func (r *run) cancelHalf() {
	removed := r.variant.queue.Remove(func(t hv.Task) bool {
		j := r.jobs[t.ID]
		n := t.ID[len(t.ID)-1] - '0'
		j.canceled = t.Kind == hv.Job && n%2 == 0
		j.ended = j.ended || j.canceled
		return j.canceled
	})
	r.metrics["canceled"] = float64(removed)
}
