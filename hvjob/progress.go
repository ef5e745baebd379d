package hvjob

import (
	"encoding/json"
	"maps"
	"slices"
)

// State is the state of a job as callers see it.
type State string

const (
	// Queued means that no task has started.
	Queued State = "queued"
	// Running means that a task has started.
	Running State = "running"
	// Complete means that all tasks are done.
	Complete State = "complete"
	// Failed means that a task has used up its attempts.
	Failed State = "failed"
	// Cancelled means that the caller cancelled the job.
	Cancelled State = "cancelled"
)

// Final reports whether the state can no longer change.
func (s State) Final() bool { return s == Complete || s == Failed || s == Cancelled }

// Progress is the stored progress of a job. Only the owner writes it; every gate can
// read it.
type Progress struct {
	State State `json:"state"`
	// Rounds holds the rounds that were set up and are not complete, by number.
	Rounds map[int]RoundProgress `json:"rounds,omitempty"`
	// CompletedRounds holds the numbers of the complete rounds.
	CompletedRounds RoundSet `json:"ended,omitempty"`
	// ChangedAt is the Unix time in milliseconds at which State became final.
	ChangedAt int64 `json:"at,omitempty"`
}

// RoundProgress is the progress of one round, by step.
type RoundProgress struct {
	Steps []StepProgress `json:"steps"`
}

// StepProgress is the progress of one step.
type StepProgress struct {
	// Done holds the indexes of the tasks that are done.
	Done Bitset `json:"done,omitempty"`
	// FailedRuns lists the numbers of the failed runs by the index of the task.
	FailedRuns map[int][]int `json:"failed,omitempty"`
	// SavedStates holds the last known saved state by the index of the task.
	SavedStates map[int]string `json:"saved,omitempty"`
	// Crashes holds what is known of tasks whose hosts crashed, by the index of the task.
	Crashes map[int]CrashRecord `json:"crashes,omitempty"`
	// Exempt holds the indexes of the tasks whose runs no preemption stops any more, or is
	// empty.
	Exempt Bitset `json:"exempt,omitempty"`
}

// CrashRecord is what is known of a task that was on hosts when they crashed. It is
// immutable.
type CrashRecord struct {
	// Runs lists the runs that were on a host when it crashed, and Unconfirmed those
	// whose start the host had not confirmed.
	Runs        []int `json:"runs,omitempty"`
	Unconfirmed []int `json:"unconfirmed,omitempty"`
	// Unexplained counts the crashes soon after a start in which the task was suspected
	// and for which no other task is to blame, and UnexplainedHosts lists their hosts as far
	// as they are known: records of earlier builds hold none.
	Unexplained      int      `json:"unexplained,omitempty"`
	UnexplainedHosts []string `json:"on,omitempty"`
	// Suspected is true if, should a task have caused the last crash, it was probably one
	// of its job.
	Suspected bool `json:"suspected,omitempty"`
	// Belief is the probability that the task crashes the hosts that start it.
	Belief float64 `json:"belief"`
}

// Has reports whether a run is in the record.
func (r CrashRecord) Has(run int) bool {
	return slices.Contains(r.Runs, run) || slices.Contains(r.Unconfirmed, run)
}

// IsLast reports whether a run is the last one in the record.
func (r CrashRecord) IsLast(run int) bool {
	later := func(other int) bool { return other > run }
	return r.Has(run) && !slices.ContainsFunc(r.Runs, later) && !slices.ContainsFunc(r.Unconfirmed, later)
}

// maxCrashRuns bounds the runs of each kind in a CrashRecord, of which the newest are kept:
// a task without end may lose its host any number of times.
const maxCrashRuns = 16

// WithRun returns a copy with one more run.
func (r CrashRecord) WithRun(run int, confirmed bool) CrashRecord {
	if confirmed {
		r.Runs = withNewest(r.Runs, run)
	} else {
		r.Unconfirmed = withNewest(r.Unconfirmed, run)
	}
	return r
}

func withNewest(runs []int, run int) []int {
	return append(slices.Clone(runs[max(len(runs)+1-maxCrashRuns, 0):]), run)
}

// maxUnexplainedPerHost is how many crashes of one host count as unexplained: one that
// crashes again and again does so for reasons of its own.
const maxUnexplainedPerHost = 2

// WithUnexplained returns a copy with one more unexplained crash of a host, if it counts.
func (r CrashRecord) WithUnexplained(host string) CrashRecord {
	known := 0
	for _, h := range r.UnexplainedHosts {
		if h == host {
			known++
		}
	}
	if known < maxUnexplainedPerHost {
		r.Unexplained++
		r.UnexplainedHosts = append(slices.Clone(r.UnexplainedHosts), host)
	}
	return r
}

// WithBelief returns a copy with another belief.
func (r CrashRecord) WithBelief(belief float64) CrashRecord {
	r.Belief = belief
	return r
}

// WithoutSavedStates returns a copy without the saved states of tasks.
func (p Progress) WithoutSavedStates() Progress {
	return p.withSteps(func(s *StepProgress) { s.SavedStates = nil })
}

// WithoutCrashes returns a copy without what is known of the crashes of hosts.
func (p Progress) WithoutCrashes() Progress {
	return p.withSteps(func(s *StepProgress) { s.Crashes = nil })
}

// withSteps returns a copy with a change to each step.
func (p Progress) withSteps(change func(s *StepProgress)) Progress {
	p = p.Clone()
	for _, r := range p.Rounds {
		for i := range r.Steps {
			change(&r.Steps[i])
		}
	}
	return p
}

// Check returns an error if the progress does not fit the job.
func (p Progress) Check(j Job) error {
	if n := len(p.CompletedRounds); n > 0 && (p.CompletedRounds[0].First < 0 || p.CompletedRounds[n-1].Last >= j.Rounds()) {
		return invalid("progress", "complete rounds from %d to %d, the job has %d", p.CompletedRounds[0].First, p.CompletedRounds[n-1].Last, j.Rounds())
	}
	for n, r := range p.Rounds {
		if n < 0 || n >= j.Rounds() || len(r.Steps) != len(j.Steps) {
			return invalid("progress", "round %d has %d steps, the job has %d rounds of %d steps", n, len(r.Steps), j.Rounds(), len(j.Steps))
		}
		for i, s := range r.Steps {
			if err := s.check(j.Steps[i].Count); err != nil {
				return err
			}
		}
	}
	return nil
}

// check returns an error if the progress does not fit a step with that many tasks.
func (p StepProgress) check(tasks int) error {
	if len(p.Done) != len(NewBitset(tasks)) {
		return invalid("progress", "set of done tasks has %d bytes for %d tasks", len(p.Done), tasks)
	}
	if len(p.Exempt) > 0 && len(p.Exempt) != len(NewBitset(tasks)) {
		return invalid("progress", "set of exempt tasks has %d bytes for %d tasks", len(p.Exempt), tasks)
	}
	for i := range p.FailedRuns {
		if i < 0 || i >= tasks {
			return invalid("progress", "failed run of task %d of %d", i, tasks)
		}
	}
	for i := range p.SavedStates {
		if i < 0 || i >= tasks {
			return invalid("progress", "saved state of task %d of %d", i, tasks)
		}
	}
	for i, r := range p.Crashes {
		if i < 0 || i >= tasks || r.Belief < 0 || r.Belief > 1 {
			return invalid("progress", "crashes of task %d of %d with belief %v", i, tasks, r.Belief)
		}
	}
	return nil
}

// Clone returns a copy that is not affected by later changes of p.
func (p Progress) Clone() Progress {
	out := p
	out.Rounds = make(map[int]RoundProgress, len(p.Rounds))
	for k, r := range p.Rounds {
		out.Rounds[k] = r.clone()
	}
	return out
}

func (r RoundProgress) clone() RoundProgress {
	out := RoundProgress{Steps: make([]StepProgress, len(r.Steps))}
	for i, s := range r.Steps {
		out.Steps[i] = StepProgress{Done: append(Bitset(nil), s.Done...), FailedRuns: maps.Clone(s.FailedRuns), SavedStates: maps.Clone(s.SavedStates), Crashes: maps.Clone(s.Crashes), Exempt: append(Bitset(nil), s.Exempt...)}
	}
	return out
}

// NewRoundProgress returns the progress of a round of which no task is done.
func NewRoundProgress(j Job) RoundProgress {
	r := RoundProgress{Steps: make([]StepProgress, len(j.Steps))}
	for i, s := range j.Steps {
		r.Steps[i].Done = NewBitset(s.Count)
	}
	return r
}

// RoundBytes returns the size of the stored progress of a round of which no task is done.
func RoundBytes(j Job) int {
	// Neither the key nor the separators are part of the value.
	const besideValue = 16
	b, err := json.Marshal(NewRoundProgress(j))
	if err != nil {
		return besideValue
	}
	return besideValue + len(b)
}

// Bitset is a set of small non-negative integers. JSON encodes it as base64.
type Bitset []byte

// NewBitset returns an empty set for the integers below n.
func NewBitset(n int) Bitset { return make(Bitset, (n+7)/8) }

// Has reports whether i is in the set.
func (b Bitset) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set adds i, which must be below the n given to NewBitset.
func (b Bitset) Set(i int) { b[i/8] |= 1 << (i % 8) }
