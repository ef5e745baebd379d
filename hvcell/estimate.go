package hvcell

import (
	"math"
	"time"
)

const (
	// minSampleWeight is the least weight of a new run time in the moving averages;
	// up to 1/minSampleWeight samples they are plain means.
	minSampleWeight = 0.05
	// minSamples is the number of run times from which the mean of a queue may
	// replace the estimates of callers.
	minSamples = 8
	// unknownVariance is the assumed Variance of a queue with fewer samples: callers'
	// estimates are off by up to 90%, which is 0.64 in the logarithm.
	unknownVariance = 0.64 * 0.64
	// priorRuns is the number of runs of a step that the prediction for its queue counts
	// for beside them. A single run says little about the next ones.
	priorRuns = 4
)

// estimator predicts run times. Callers' estimates are far off in some queues, so
// each queue uses either the estimates or its own mean run time, whichever had the
// smaller error.
type estimator struct{ queues map[string]*RunTimeStats }

// RunTimeStats holds statistics of the run times of a queue, as logarithms of
// milliseconds.
type RunTimeStats struct {
	Count int     `json:"count"`
	Mean  float64 `json:"mean"`
	// MeanError and EstimateError are the mean absolute errors of predictions by the
	// mean and by the callers' estimates.
	MeanError     float64 `json:"ofmean"`
	EstimateError float64 `json:"ofestimate"`
	// Variance is the mean squared error of the predictions of taskTime. It is 0 in
	// states that were stored before it was measured.
	Variance float64 `json:"variance,omitempty"`
}

func newEstimator() estimator { return estimator{queues: map[string]*RunTimeStats{}} }

// observe learns from the run time of a task. It is called before the run time is added to
// the step, so that the error of the prediction for the task is measured.
func (e *estimator) observe(s *step, took time.Duration) {
	ms := float64(max(took.Milliseconds(), 1))
	predicted := e.taskTime(s)
	h := e.queues[s.round.job.Queue]
	if h == nil {
		h = &RunTimeStats{Mean: math.Log(ms)}
		e.queues[s.round.job.Queue] = h
	}
	h.Count++
	w := max(minSampleWeight, 1/float64(h.Count))
	actual := math.Log(ms)
	h.MeanError += w * (math.Abs(actual-h.Mean) - h.MeanError)
	h.EstimateError += w * (math.Abs(actual-math.Log(float64(max(s.spec.Estimate, 1)))) - h.EstimateError)
	h.Mean += w * (actual - h.Mean)
	if predicted > 0 {
		miss := actual - math.Log(float64(max(predicted.Milliseconds(), 1)))
		h.Variance += w * (miss*miss - h.Variance)
	}
}

// margin returns e to the standard deviation of the logarithmic error of the predictions
// for a queue: only a part of its run times are longer than predicted by this factor.
func (e *estimator) margin(queue string) float64 {
	variance := unknownVariance
	if h := e.queues[queue]; h != nil && h.Count >= minSamples && h.Variance > 0 {
		variance = h.Variance
	}
	return math.Exp(math.Sqrt(variance))
}

// taskTime returns the expected run time of a task of a step.
func (e *estimator) taskTime(s *step) time.Duration {
	if s.runTimes.n > 0 {
		return s.runTimes.value()
	}
	return e.queueTime(s)
}

// queueTime is taskTime without regard to earlier runs of the step.
func (e *estimator) queueTime(s *step) time.Duration {
	h := e.queues[s.round.job.Queue]
	if h != nil && h.Count >= minSamples && (h.MeanError < h.EstimateError || s.spec.Estimate == 0) {
		return time.Duration(math.Exp(h.Mean)) * time.Millisecond
	}
	return time.Duration(s.spec.Estimate) * time.Millisecond
}

// lateTime returns the run time that a task of a step exceeds only if its error is larger
// than usual in its queue, or 0 if nothing is known.
func (e *estimator) lateTime(s *step) time.Duration {
	expected := float64(e.taskTime(s))
	if prior, n := float64(e.queueTime(s)), float64(s.runTimes.n); prior > 0 {
		expected = (n*expected + priorRuns*prior) / (n + priorRuns)
	}
	return time.Duration(expected * e.margin(s.round.job.Queue))
}

// criticalPath returns the expected time of the longest chain of incomplete steps of
// a round.
func (c *Cell) criticalPath(r *round) time.Duration {
	ends := make([]time.Duration, len(r.steps))
	longest := time.Duration(0)
	for i, s := range r.steps {
		start := time.Duration(0)
		for _, a := range s.spec.After {
			start = max(start, ends[a])
		}
		ends[i] = start
		if s.done < len(s.tasks) {
			ends[i] += c.estimate.taskTime(s)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
