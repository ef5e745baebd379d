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
	Rounds map[int]Round `json:"rounds,omitempty"`
	// Ended lists the rounds that are complete.
	Ended []int `json:"ended,omitempty"`
	// At is the Unix time in milliseconds of the last change of State.
	At int64 `json:"at,omitempty"`
}

// Round is the progress of one round, by step.
type Round struct {
	Steps []StepProgress `json:"steps"`
}

// StepProgress tells which tasks of a step are done and which have failed runs.
type StepProgress struct {
	Done Bits `json:"done,omitempty"`
	// Failed lists the numbers of the failed runs by task.
	Failed map[int][]int `json:"failed,omitempty"`
	// Saved holds the last known saved state by task.
	Saved map[int]string `json:"saved,omitempty"`
}

// Clone returns a copy that shares nothing with p.
func (p Progress) Clone() Progress {
	out := p
	out.Rounds = make(map[int]Round, len(p.Rounds))
	for k, r := range p.Rounds {
		out.Rounds[k] = r.clone()
	}
	out.Ended = append([]int(nil), p.Ended...)
	return out
}

func (r Round) clone() Round {
	out := Round{Steps: make([]StepProgress, len(r.Steps))}
	for i, s := range r.Steps {
		out.Steps[i] = StepProgress{Done: append(Bits(nil), s.Done...), Failed: maps.Clone(s.Failed), Saved: maps.Clone(s.Saved)}
	}
	return out
}

// NewRound returns the progress of a round in which nothing is done.
func NewRound(j Job) Round {
	r := Round{Steps: make([]StepProgress, len(j.Steps))}
	for i, s := range j.Steps {
		r.Steps[i].Done = NewBits(s.Count)
	}
	return r
}

// Bits is a set of small numbers; it is written as base64.
type Bits []byte

// NewBits returns an empty set with room for n numbers.
func NewBits(n int) Bits { return make(Bits, (n+7)/8) }

// Has reports whether i is in the set.
func (b Bits) Has(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set adds i, which must be below the number that NewBits was given.
func (b Bits) Set(i int) { b[i/8] |= 1 << (i % 8) }
