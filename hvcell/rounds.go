package hvcell

import (
	"math"
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// lookahead is how long before its earliest start a round is set up.
const lookahead = 2 * time.Second

const (
	// maxOpenTasks bounds the tasks of the rounds of a scheduled job that are set up and not
	// complete, and so the memory for the job: two rounds of the largest size may overlap.
	maxOpenTasks = 20_000
	// maxOpenBytes bounds the part of these rounds in the progress of the job, which is
	// stored whole with each change.
	maxOpenBytes = 32 << 10
)

// maxOpenRounds returns the number of rounds of a job that are set up at a time.
func maxOpenRounds(j hvjob.Job) int {
	if j.Repetitions == 0 {
		return 1
	}
	return max(min(maxOpenTasks/j.TaskCount(), maxOpenBytes/hvjob.RoundBytes(j)), 1)
}

// startDueRounds sets up the rounds that may start within lookahead, as far as the job may
// have more of them. If it has fallen behind, those that can still be of use get a half at
// least.
func (c *Cell) startDueRounds(now time.Time, j *job) {
	latest := j.latestDue(now.Add(c.options.EarlyStart + lookahead))
	if j.useTime == 0 {
		// The first round tells the time that the others need.
		j.roundsStarted = c.startRounds(j, j.roundsStarted, latest, 1)
	}
	useful := max(j.latestDue(now.Add(-j.useTime))+1, 0)
	limit := j.maxOpenRounds
	if useful <= latest {
		limit = max(limit/2, 1)
	}
	j.roundsStarted = c.startRounds(j, j.roundsStarted, min(useful-1, latest), limit)
	j.usefulStarted = c.startRounds(j, max(j.usefulStarted, useful), latest, j.maxOpenRounds)
}

// startRounds sets up the rounds from first to last while the job has fewer than limit, and
// returns the number of the first one that it has not set up.
func (c *Cell) startRounds(j *job, first, last, limit int) int {
	n := j.progress.CompletedRounds.NextMissing(first)
	for ; n <= last; n = j.progress.CompletedRounds.NextMissing(n + 1) {
		if j.rounds[n] != nil {
			continue
		}
		if len(j.rounds) >= limit {
			break
		}
		c.addRound(j, n)
	}
	return n
}

// latestDue returns the number of the last round that is due at a time, or -1.
func (j *job) latestDue(at time.Time) int {
	// No sensible schedule is limited by this, but the difference must not overflow.
	const earliest = math.MinInt64 / 2
	elapsed := at.UnixMilli() - max(j.FirstDue, earliest)
	switch {
	case j.Repetitions == 0:
		return 0
	case elapsed < 0:
		return -1
	case j.Interval == 0:
		return j.Rounds() - 1
	}
	return int(min(elapsed/j.Interval, int64(j.Rounds()-1)))
}

// addRound sets up a round, with its stored progress if there is any.
func (c *Cell) addRound(j *job, n int) *round {
	due := j.Due(n)
	r := &round{number: n, job: j, due: due}
	stored, ok := j.progress.Rounds[n]
	if !ok {
		stored = hvjob.NewRoundProgress(j.Job)
		if j.progress.Rounds == nil {
			j.progress.Rounds = map[int]hvjob.RoundProgress{}
		}
		j.progress.Rounds[n] = stored
	}
	for i := range j.Steps {
		r.steps = append(r.steps, c.newStep(r, i, stored.Steps[i]))
		if len(stored.Steps[i].Crashes) > 0 {
			c.suspectJobs[j.ID] = j
		}
	}
	path := c.criticalPath(r)
	objective := int64(j.queue.Stretch*float64(path.Milliseconds())) + j.queue.Slack
	r.goal, r.cutoff = due+objective, due+cutoffFactor*objective
	j.useTime = time.Duration(cutoffFactor*objective) * time.Millisecond
	j.rounds[n] = r
	r.updateReadySteps()
	return r
}

// cutoffFactor times its objective is the time after which completing a round is
// of no more use.
const cutoffFactor = 3

// updateReadySteps marks the steps whose predecessors are complete as ready.
func (r *round) updateReadySteps() {
	for _, s := range r.steps {
		s.ready = true
		for _, a := range s.spec.After {
			if p := r.steps[a]; p.done < len(p.tasks) {
				s.ready = false
			}
		}
	}
}

// mayHaveStarted reports whether an earlier owner may have started a round that is not set up
// here. It had completed rounds before it then, which need not have been stored.
func (j *job) mayHaveStarted(round int) bool {
	return j.inherited && round < j.Rounds() && !j.progress.CompletedRounds.Has(round)
}
