package hvtask

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Limits limit the size of a shard's state. They affect how records are
// applied, so they must be the same in all processes.
type Limits struct {
	// MaxActive limits the tasks that are not terminal; a submit beyond it is
	// ignored.
	MaxActive int
	// MaxTerminal and Retention limit the number and the age of terminal tasks.
	MaxTerminal int
	Retention   time.Duration
}

// DefaultLimits allow ten times the designed load of 412 running tasks in a
// shard. Terminal tasks are kept for at most one day; at 4,900 jobs a day,
// MaxTerminal would suffice for six days.
var DefaultLimits = Limits{MaxActive: 4096, MaxTerminal: 2048, Retention: 24 * time.Hour}

// Shard is the state of one shard. Its methods are safe for concurrent use and
// return copies.
type Shard struct {
	mu         sync.RWMutex
	limits     Limits
	violations hv.ViolationReporter
	changed    chan struct{}

	next hv.Offset
	// recordTime is the latest record time so far. Decisions that depend on age
	// use it.
	recordTime       time.Time
	epoch            int64
	ownerIncarnation string
	ownerGate        string
	released         bool

	tasks    map[string]*Entry
	accepted int64
	removed  int64
	order    int64
	index
	quota quota
}

// New returns a shard with an empty state.
func New(limits Limits, violations hv.ViolationReporter) *Shard {
	s := &Shard{limits: limits, violations: violations, changed: make(chan struct{})}
	s.reset()
	return s
}

func (s *Shard) reset() {
	s.tasks = make(map[string]*Entry)
	s.index = newIndex()
	s.quota = newQuota()
}

// Apply applies the next record of the stream. Records that were applied before
// are ignored.
func (s *Shard) Apply(rec hv.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec.Offset < s.next {
		return
	}
	s.next = rec.Offset + 1
	if rec.Time.After(s.recordTime) {
		s.recordTime = rec.Time
	}
	if rec.Kind != KindOps {
		return
	}
	var ops Ops
	// Every reader ignores a record that cannot be decoded, so the states stay
	// equal.
	if json.Unmarshal(rec.Body, &ops) != nil {
		return
	}
	for _, op := range ops.Ops {
		s.apply(ops, op)
	}
	s.removeExpired()
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Shard) apply(ops Ops, op Op) {
	switch op.Op {
	case OpSubmit:
		s.submit(op)
	case OpCancel:
		s.cancel(op)
	case OpClaim:
		s.claim(ops, op)
	default:
		// The incarnation is compared too, because a record with a claim that
		// lost a race has the same epoch as the winner.
		if s.epoch > 0 && ops.Epoch == s.epoch && ops.OwnerIncarnation == s.ownerIncarnation && !s.released {
			s.applyOwned(op)
		}
	}
}

func (s *Shard) claim(ops Ops, op Op) {
	if ops.Epoch != s.epoch+1 || ops.OwnerIncarnation == "" {
		return
	}
	s.epoch, s.ownerIncarnation, s.ownerGate, s.released = ops.Epoch, ops.OwnerIncarnation, op.Gate, false
}

func (s *Shard) applyOwned(op Op) {
	switch op.Op {
	case OpRelease:
		s.released = true
	case OpRequestQuota, OpGiveQuota, OpTakeQuota:
		s.quota.apply(op, s.recordTime)
	case OpPlace:
		s.place(op)
	case OpDrop:
		s.drop(op)
	default:
		// These operations are valid only for the attempt that occupies a host.
		e := s.tasks[op.TaskID]
		if e != nil && e.Placement != nil && e.Placement.Number == op.Number {
			s.applyToAttempt(e, op)
		}
	}
}

// removeExpired removes terminal tasks beyond the retention limits. Jobs from
// the settings are kept until their deadline, as they would otherwise be
// submitted again; their number is limited by the settings.
func (s *Shard) removeExpired() {
	kept := s.terminal[:0:0]
	excess := len(s.terminal) - s.limits.MaxTerminal
	for i, e := range s.terminal {
		expired := s.recordTime.Sub(e.StateSince) > s.limits.Retention
		if !expired && excess <= 0 {
			if i == len(kept) {
				return
			}
			kept = append(kept, s.terminal[i:]...)
			break
		}
		if e.FromSettings && e.Task.Deadline.After(s.recordTime) {
			kept = append(kept, e)
			continue
		}
		delete(s.tasks, e.Task.ID)
		s.removed++
		excess--
	}
	s.terminal = kept
	if s.accepted != int64(len(s.tasks))+s.removed {
		s.violations(10, fmt.Sprintf("%d tasks accepted, but %d present and %d removed", s.accepted, len(s.tasks), s.removed))
	}
}
