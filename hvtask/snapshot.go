package hvtask

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Error is the error type of the package.
type Error struct {
	Op   string
	Kind hv.ErrorKind
	Err  error
}

func (e *Error) Error() string { return fmt.Sprintf("task %s: %v", e.Op, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// ErrorKind returns the kind of the error.
func (e *Error) ErrorKind() hv.ErrorKind { return e.Kind }

type snapshot struct {
	Time     time.Time `json:"time,omitzero"`
	Epoch    int64     `json:"epoch"`
	Owner    string    `json:"owner,omitempty"`
	Gate     string    `json:"gate,omitempty"`
	Released bool      `json:"released,omitempty"`
	Accepted int64     `json:"accepted"`
	Removed  int64     `json:"forgotten"`
	Order    int64     `json:"order"`
	Tasks    []*Entry  `json:"tasks"`
	Quota    quota     `json:"quota"`
}

// Snapshot returns the state as JSON. The result is the same in every process
// that has applied the same records.
func (s *Shard) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snap := snapshot{
		Time: s.recordTime, Epoch: s.epoch, Owner: s.ownerIncarnation, Gate: s.ownerGate, Released: s.released,
		Accepted: s.accepted, Removed: s.removed, Order: s.order, Quota: s.quota,
		Tasks: make([]*Entry, 0, len(s.tasks)),
	}
	for _, id := range sortedKeys(s.tasks) {
		snap.Tasks = append(snap.Tasks, s.tasks[id])
	}
	b, err := json.Marshal(snap)
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: hv.Internal, Err: err}
	}
	return b, nil
}

// Restore replaces the state with that of a snapshot; next is the offset of the
// first record after the snapshot.
func (s *Shard) Restore(body []byte, next hv.Offset) error {
	snap := snapshot{Quota: newQuota()}
	if err := json.Unmarshal(body, &snap); err != nil {
		return &Error{Op: "restore", Kind: hv.Invalid, Err: errors.Wrap(err, "decode")}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reset()
	s.next, s.recordTime = next, snap.Time
	s.epoch, s.ownerIncarnation, s.ownerGate, s.released = snap.Epoch, snap.Owner, snap.Gate, snap.Released
	s.accepted, s.removed, s.order, s.quota = snap.Accepted, snap.Removed, snap.Order, snap.Quota
	for _, e := range snap.Tasks {
		s.tasks[e.Task.ID] = e
		s.indexEntry(e)
	}
	slices.SortFunc(s.terminal, func(a, b *Entry) int { return cmp.Compare(a.Order, b.Order) })
	slices.SortFunc(s.queue, compareUrgency)
	close(s.changed)
	s.changed = make(chan struct{})
	return nil
}

func (s *Shard) indexEntry(e *Entry) {
	if e.Placement != nil {
		s.indexPlacement(e)
	}
	s.updateAwaitingStart(e)
	switch {
	case e.State == Queued:
		s.queue = append(s.queue, e)
	case e.State.Terminal() && e.Placement == nil:
		s.terminal = append(s.terminal, e)
	}
}
