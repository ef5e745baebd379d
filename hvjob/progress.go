package hvjob

import "maps"

// State is what callers see of a job.
type State string

const (
	// Queued jobs have not started a task.
	Queued State = "queued"
	// Running jobs have started a task.
	Running State = "running"
	// Complete jobs have all tasks done.
	Complete State = "complete"
	// Failed jobs have a task that failed too often.
	Failed State = "failed"
	// Cancelled jobs were cancelled by their caller.
	Cancelled State = "cancelled"
)

// Final reports whether a state is the last one.
func (s State) Final() bool { return s == Complete || s == Failed || s == Cancelled }

// Progress is the stored part of what has become of a job. The owner writes it;
// every gate can read it.
type Progress struct {
	State State `json:"state"`
	// Rounds holds the rounds that have begun and are not complete.
	Rounds map[int]RoundProgress `json:"rounds,omitempty"`
	// CompletedRounds lists the rounds that are complete.
	CompletedRounds []int `json:"ended,omitempty"`
	// ChangedAt is the Unix time in milliseconds of the last change of State.
	ChangedAt int64 `json:"at,omitempty"`
}

// RoundProgress is the progress of one round, by step.
type RoundProgress struct {
	Steps []StepProgress `json:"steps"`
}

// StepProgress tells which tasks of a step are done and which have failed runs.
type StepProgress struct {
	Done Bitset `json:"done,omitempty"`
	// FailedRuns lists the numbers of the failed runs by task.
	FailedRuns map[int][]int `json:"failed,omitempty"`
	// SavedStates holds the last known saved state by task.
	SavedStates map[int]string `json:"saved,omitempty"`
}

// Clone returns a copy that shares nothing with p.
func (p Progress) Clone() Progress {
	out := p
	out.Rounds = make(map[int]RoundProgress, len(p.Rounds))
	for k, r := range p.Rounds {
		out.Rounds[k] = r.clone()
	}
	out.CompletedRounds = append([]int(nil), p.CompletedRounds...)
	return out
}

func (r RoundProgress) clone() RoundProgress {
	out := RoundProgress{Steps: make([]StepProgress, len(r.Steps))}
	for i, s := range r.Steps {
		out.Steps[i] = StepProgress{Done: append(Bitset(nil), s.Done...), FailedRuns: maps.Clone(s.FailedRuns), SavedStates: maps.Clone(s.SavedStates)}
	}
	return out
}

// NewRoundProgress returns the progress of a round in which nothing is done.
func NewRoundProgress(j Job) RoundProgress {
	r := RoundProgress{Steps: make([]StepProgress, len(j.Steps))}
	for i, s := range j.Steps {
		r.Steps[i].Done = NewBitset(s.Count)
	}
	return r
}

// Bitset is a set of small numbers; it is written as base64.
type Bitset []byte

// NewBitset returns an empty set with room for n numbers.
func NewBitset(n int) Bitset { return make(Bitset, (n+7)/8) }

// Has reports whether i is in the set.
func (b Bitset) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set adds i, which must be below the number that NewBits was given.
func (b Bitset) Set(i int) { b[i/8] |= 1 << (i % 8) }
