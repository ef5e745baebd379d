package hvcrash

import (
	"maps"
	"math"
	"time"
)

const (
	// basePrior is the share of jobs that crash hosts in a queue of which nothing is
	// known.
	basePrior = 1e-5
	// priorJobs is the number of jobs that basePrior counts for.
	priorJobs = 50
	// maxPrior bounds the share, so that one crash alone never proves a job at fault.
	maxPrior = 0.2
	// rateMemory is the time constant with which the jobs of a queue are forgotten.
	rateMemory = 30 * time.Second
)

// QueueRate holds the numbers of recent jobs of a queue, each weighted by its age.
type QueueRate struct {
	Jobs     float64 `json:"jobs"`
	Crashing float64 `json:"crashing"`
	// At is the Unix time in milliseconds of the last change.
	At int64 `json:"at"`
}

// Rates estimates the share of jobs that crash hosts, by queue.
type Rates struct {
	queues map[string]QueueRate
	// suspected holds the expected number of such jobs among those that have not ended.
	suspected map[string]float64
}

// Observe counts a job that has ended.
func (r *Rates) Observe(now time.Time, queue string, crashing bool) {
	q := r.queues[queue].decayed(now)
	q.Jobs++
	if crashing {
		q.Crashing++
	}
	r.setRate(queue, q)
}

// SetSuspected replaces the expected numbers, by queue, of jobs that crash hosts among
// those that have not ended.
func (r *Rates) SetSuspected(byQueue map[string]float64) {
	r.suspected = byQueue
	for queue := range byQueue {
		if _, ok := r.queues[queue]; !ok {
			r.setRate(queue, QueueRate{})
		}
	}
}

func (r *Rates) setRate(queue string, q QueueRate) {
	if r.queues == nil {
		r.queues = map[string]QueueRate{}
	}
	r.queues[queue] = q
}

// Prior returns the probability that a new job of a queue crashes hosts.
func (r *Rates) Prior(now time.Time, queue string) float64 {
	q := r.queues[queue].decayed(now)
	crashing := q.Crashing + r.suspected[queue]
	return min((basePrior*priorJobs+crashing)/(priorJobs+q.Jobs), maxPrior)
}

// Above returns the queues of which new jobs crash hosts with at least a probability.
func (r *Rates) Above(now time.Time, probability float64) map[string]bool {
	var out map[string]bool
	for queue := range r.queues {
		if r.Prior(now, queue) >= probability {
			if out == nil {
				out = map[string]bool{}
			}
			out[queue] = true
		}
	}
	return out
}

func (q QueueRate) decayed(now time.Time) QueueRate {
	age := sinceUnixMillis(now, q.At).Abs()
	weight := math.Exp(-age.Seconds() / rateMemory.Seconds())
	return QueueRate{Jobs: q.Jobs * weight, Crashing: q.Crashing * weight, At: now.UnixMilli()}
}

// State returns a copy of the numbers, for the next owner.
func (r *Rates) State() map[string]QueueRate {
	out := make(map[string]QueueRate, len(r.queues))
	for queue, q := range r.queues {
		if q.Crashing > 0 {
			out[queue] = q
		}
	}
	return out
}

// Restore replaces the numbers with a copy.
func (r *Rates) Restore(state map[string]QueueRate) {
	r.queues = maps.Clone(state)
}
