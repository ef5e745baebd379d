package hvtask

import (
	"fmt"
	"slices"
	"strings"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// State is the state of a task.
type State string

// The states. The last five are terminal and never change.
const (
	Queued     State = "queued"
	Placed     State = "placed"
	Running    State = "running"
	Done       State = "done"
	Failed     State = "failed"
	Canceled   State = "canceled"
	Impossible State = "impossible"
	Unknown    State = "unknown"
)

// Terminal reports whether the state never changes again.
func (s State) Terminal() bool {
	return s == Done || s == Failed || s == Canceled || s == Impossible || s == Unknown
}

// next lists the permitted changes of state.
var next = map[State][]State{
	Queued:  {Placed, Canceled, Failed, Impossible},
	Placed:  {Running, Queued, Done, Failed, Canceled, Unknown},
	Running: {Queued, Done, Failed, Canceled, Unknown},
}

// Placement is the attempt that occupies a host. It is immutable.
type Placement struct {
	Number          int       `json:"number"`
	Host            string    `json:"host"`
	SideIncarnation string    `json:"side,omitempty"`
	Epoch           int64     `json:"epoch"`
	PlacedAt        time.Time `json:"placed,omitzero"`
	// StartedAt is when the start was recorded, or zero.
	StartedAt time.Time `json:"ran,omitzero"`
}

// Entry is a task with its state.
type Entry struct {
	Task         hv.Task   `json:"task"`
	Checksum     uint64    `json:"sum,string"`
	FromSettings bool      `json:"settings,omitempty"`
	State        State     `json:"state"`
	Submitted    time.Time `json:"submitted,omitzero"`
	// Since is the record time of the last change of state.
	Since time.Time `json:"since,omitzero"`
	// Number is the number of the last attempt.
	Number int `json:"number,omitempty"`
	// Placement is present while an attempt may run. A canceled task keeps it
	// until the attempt has provably ended.
	Placement  *Placement `json:"hold,omitempty"`
	Checkpoint string     `json:"checkpoint,omitempty"`
	Reason     string     `json:"reason,omitempty"`
	// Failures counts failed attempts since the last long run; Hosts lists
	// the different hosts of failed attempts, up to maxFailedHosts.
	Failures    int      `json:"failures,omitempty"`
	FailedHosts []string `json:"hosts,omitempty"`
	// Evictions and Resumes count evicted attempts and the attempts that
	// continued them.
	Evictions int `json:"evictions,omitempty"`
	Resumes   int `json:"resumes,omitempty"`
	// Order is the position among submissions, and among ends once terminal.
	Order int64 `json:"order"`
}

// maxFailedHosts bounds Entry.Hosts. It is above the 3 hosts after which a job
// counts as faulty, as some of the hosts may turn out to be the faulty part.
const maxFailedHosts = 16

// Attempt returns the identifier of the last attempt.
func (e Entry) Attempt() hv.Attempt { return hv.Attempt{Task: e.Task.ID, Number: e.Number} }

// Explain says in words what state the task is in and why.
func (e Entry) Explain() string {
	text := fmt.Sprintf("%s since %s", e.State, e.Since.UTC().Format(time.RFC3339))
	switch {
	case e.State == Queued && e.Number > 0:
		text += fmt.Sprintf(" after %d attempts", e.Number)
	case e.Placement != nil && e.State.Terminal():
		text += fmt.Sprintf("; attempt %d still holds host %s until its side has stopped it or its lease has lapsed", e.Number, e.Placement.Host)
	case e.Placement != nil:
		text += fmt.Sprintf(": attempt %d on host %s", e.Number, e.Placement.Host)
	}
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}

func (e *Entry) has(label string) bool {
	key, value, ok := strings.Cut(label, "=")
	v, present := e.Task.Labels[key]
	return ok && present && v == value
}

func (e *Entry) failedOn(host string) {
	if len(e.FailedHosts) < maxFailedHosts && !slices.Contains(e.FailedHosts, host) {
		// A new slice, because readers hold copies of the entry.
		e.FailedHosts = append(slices.Clone(e.FailedHosts), host)
	}
}

// rank orders kinds of queued tasks: urgent ones first, then those that never
// end and are down while they wait, then jobs.
func (e *Entry) rank() int {
	switch {
	case e.Task.Urgent:
		return 0
	case e.Task.Kind != hv.Job:
		return 1
	}
	return 2
}

// start is the latest start that meets the deadline. Among jobs the least
// start is the least slack at any instant.
func (e *Entry) start() time.Time {
	if e.Task.Kind == hv.Job {
		return e.Task.Deadline.Add(-e.Task.Runtime.Std())
	}
	return e.Submitted
}

func before(a, b *Entry) int {
	if c := a.rank() - b.rank(); c != 0 {
		return c
	}
	if c := a.start().Compare(b.start()); c != 0 {
		return c
	}
	return strings.Compare(a.Task.ID, b.Task.ID)
}
