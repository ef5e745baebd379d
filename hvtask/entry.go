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

// The states of a task. The last five are terminal.
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

// Terminal reports whether the state is final.
func (s State) Terminal() bool {
	return s == Done || s == Failed || s == Canceled || s == Impossible || s == Unknown
}

// transitions lists the permitted state changes.
var transitions = map[State][]State{
	Queued:  {Placed, Canceled, Failed, Impossible},
	Placed:  {Running, Queued, Done, Failed, Canceled, Unknown},
	Running: {Queued, Done, Failed, Canceled, Unknown},
}

// Placement describes the attempt that occupies a host. It is immutable.
type Placement struct {
	Number          int       `json:"number"`
	Host            string    `json:"host"`
	SideIncarnation string    `json:"side,omitempty"`
	Epoch           int64     `json:"epoch"`
	PlacedAt        time.Time `json:"placed,omitzero"`
	// StartedAt is the record time of the start, or zero.
	StartedAt time.Time `json:"ran,omitzero"`
}

// Entry is a task with its state.
type Entry struct {
	Task         hv.Task   `json:"task"`
	Checksum     uint64    `json:"sum,string"`
	FromSettings bool      `json:"settings,omitempty"`
	State        State     `json:"state"`
	Submitted    time.Time `json:"submitted,omitzero"`
	// StateSince is the record time of the last change of state.
	StateSince time.Time `json:"since,omitzero"`
	// Number is the number of the last attempt.
	Number int `json:"number,omitempty"`
	// Placement is set while an attempt may run. A canceled task keeps it until
	// the attempt is known to have ended.
	Placement  *Placement `json:"hold,omitempty"`
	Checkpoint string     `json:"checkpoint,omitempty"`
	Reason     string     `json:"reason,omitempty"`
	// Failures counts failed attempts; for services and watchers, a run of at
	// least failureResetAfter resets it. FailedHosts lists the distinct hosts
	// of failed attempts, up to maxFailedHosts.
	Failures    int      `json:"failures,omitempty"`
	FailedHosts []string `json:"hosts,omitempty"`
	// Evictions counts evicted attempts, Resumes the attempts that continued
	// after an eviction.
	Evictions int `json:"evictions,omitempty"`
	Resumes   int `json:"resumes,omitempty"`
	// Order is the position among submissions or, once the task has ended,
	// among ends.
	Order int64 `json:"order"`
}

// maxFailedHosts limits Entry.FailedHosts. It is above the 3 hosts after which
// a job counts as faulty, because some of the hosts may turn out to be at fault
// themselves.
const maxFailedHosts = 16

// Attempt returns the identifier of the last attempt.
func (e Entry) Attempt() hv.Attempt { return hv.Attempt{Task: e.Task.ID, Number: e.Number} }

// Explain describes the state of the task and the reason for it.
func (e Entry) Explain() string {
	text := fmt.Sprintf("%s since %s", e.State, e.StateSince.UTC().Format(time.RFC3339))
	switch {
	case e.State == Queued && e.Number > 0:
		text += fmt.Sprintf(" after %d attempts", e.Number)
	case e.Placement != nil && e.State.Terminal():
		text += fmt.Sprintf("; attempt %d still occupies host %s until its side has stopped it or its lease has expired", e.Number, e.Placement.Host)
	case e.Placement != nil:
		text += fmt.Sprintf(": attempt %d on host %s", e.Number, e.Placement.Host)
	}
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	return text
}

func (e *Entry) hasLabel(label string) bool {
	key, value, ok := strings.Cut(label, "=")
	v, present := e.Task.Labels[key]
	return ok && present && v == value
}

func (e *Entry) addFailedHost(host string) {
	if len(e.FailedHosts) < maxFailedHosts && !slices.Contains(e.FailedHosts, host) {
		// Append to a clone, because readers hold copies of the entry that
		// share the slice.
		e.FailedHosts = append(slices.Clone(e.FailedHosts), host)
	}
}

// priority orders the kinds of queued tasks, lowest value first: urgent tasks,
// then services and watchers, which are down while they wait, then jobs.
func (e *Entry) priority() int {
	switch {
	case e.Task.Urgent:
		return 0
	case e.Task.Kind != hv.Job:
		return 1
	}
	return 2
}

// latestStart returns the latest start that meets the deadline of a job, or the
// submission time of other tasks. The job with the earliest latest start has
// the least slack at any time.
func (e *Entry) latestStart() time.Time {
	if e.Task.Kind == hv.Job {
		return e.Task.Deadline.Add(-e.Task.Runtime.Std())
	}
	return e.Submitted
}

func compareUrgency(a, b *Entry) int {
	if c := a.priority() - b.priority(); c != 0 {
		return c
	}
	if c := a.latestStart().Compare(b.latestStart()); c != 0 {
		return c
	}
	return strings.Compare(a.Task.ID, b.Task.ID)
}
