package hvcell

import (
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// minStep is the progress in percent, and minWindow the time instead of it, from which a
	// speed is calculated: percentages are whole numbers.
	minStep   = 4
	minWindow = 2 * time.Second
	// maxWindow is the time after which an older sample is dropped.
	maxWindow = 5 * time.Second
	// rounding is the mean part of a percent that the last percentage lacks.
	rounding = 0.5
	// minSilence is the least time without a sample after which a run counts as making no
	// progress. A node that is asked for progress reports each change within a second.
	minSilence = 2 * time.Second
	// fullPercent is the percentage of a run that is done.
	fullPercent = 100
)

// progressSample is the progress of a run at one time.
type progressSample struct {
	percent int
	at      time.Time
	// clock is the executor's clock in milliseconds when it listed the percentage, or 0 if
	// that is not known.
	clock int64
}

// since returns the time between two samples. That of the executor's clock does not
// depend on how long the reports took.
func (s progressSample) since(earlier progressSample) time.Duration {
	if s.clock > 0 && earlier.clock > 0 {
		return time.Duration(s.clock-earlier.clock) * time.Millisecond
	}
	return s.at.Sub(earlier.at)
}

// runProgress holds the last sample of a run, the one before it from which the progress is
// minStep or the time maxWindow, and the one before that. The start of a run is no sample:
// the first report after it may be late by as much as a short task takes, while the
// executor's clock tells the exact time between two reports.
type runProgress struct{ last, previous, oldest progressSample }

// add adds a sample. A percentage below the last one, as after a resume from an older
// state, begins anew.
func (p *runProgress) add(s progressSample) {
	if p.last.at.IsZero() || s.percent < p.last.percent {
		*p = runProgress{last: s, previous: s, oldest: s}
		return
	}
	p.last = s
	if s.percent-p.previous.percent >= minStep || s.since(p.previous) >= maxWindow {
		p.oldest, p.previous = p.previous, s
	}
}

// speed returns the present speed in percent per second. It reports false while it is
// not known.
func (p *runProgress) speed(now time.Time) (float64, bool) {
	for _, from := range []progressSample{p.previous, p.oldest} {
		elapsed, step := p.last.since(from), p.last.percent-from.percent
		if elapsed <= 0 || step < minStep && elapsed < minWindow {
			continue
		}
		if silence := now.Sub(p.last.at); silence > max(elapsed, minSilence) {
			elapsed += silence
		}
		return (float64(step) + rounding) / elapsed.Seconds(), true
	}
	return 0, false
}

// isRecent reports whether the speed is known from a recent sample.
func (p *runProgress) isRecent(now time.Time) bool {
	_, ok := p.speed(now)
	return ok && now.Sub(p.last.at) < minSilence
}

// recordProgress adds the percentages of a report to the runs of its host.
func (h *host) recordProgress(now time.Time, clock int64, rows []hv.RunState) {
	for _, row := range rows {
		if r := h.runs[hvorder.Run{Task: row.Task, Run: row.Run}]; r != nil {
			r.progress.add(progressSample{percent: row.Percent, at: now, clock: clock})
		}
	}
}

// isBehind reports whether another run of the task has saved more progress, so that a
// saved state of r must not replace the state of that one.
func (t *task) isBehind(r *run) bool {
	return r != nil && slices.ContainsFunc(t.runs, func(other *run) bool {
		return other != r && other.saved != "" && other.savedPercent > r.progress.last.percent
	})
}
