package hvtask

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Limits bound the state of a shard. They are part of the apply rules, so all
// processes must use the same.
type Limits struct {
	// MaxActive bounds the tasks that are not terminal; a submit beyond it is void.
	MaxActive int
	// MaxTerminal and Retention bound the terminal tasks by count and by age.
	MaxTerminal int
	Retention   time.Duration
}

// DefaultLimits hold ten times the designed load of 412 running tasks in a
// shard, and terminal tasks of six days at 4,900 jobs a day, but at most one day.
var DefaultLimits = Limits{MaxActive: 4096, MaxTerminal: 2048, Retention: 24 * time.Hour}

// Shard is the state of one shard. Its methods may be called from several
// goroutines; they return copies.
type Shard struct {
	mu         sync.RWMutex
	limits     Limits
	violations hv.ViolationReporter
	changed    chan struct{}

	next hv.Offset
	// now is the highest record time seen. Decisions about age use it.
	now      time.Time
	epoch    int64
	owner    string
	gate     string
	released bool

	tasks     map[string]*Entry
	accepted  int64
	forgotten int64
	order     int64
	index
	quota quota
}

// New returns the empty state of a shard.
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

// Apply applies the next record of the stream.
func (s *Shard) Apply(rec hv.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rec.Offset < s.next {
		return
	}
	s.next = rec.Offset + 1
	if rec.Time.After(s.now) {
		s.now = rec.Time
	}
	if rec.Kind != KindOps {
		return
	}
	var ops Ops
	// All readers ignore a record that does not decode.
	if json.Unmarshal(rec.Body, &ops) != nil {
		return
	}
	for _, op := range ops.Ops {
		s.apply(ops, op)
	}
	s.forget()
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
		// The incarnation is compared too: a record that carries a claim that
		// came second in a race has the same epoch as the winner.
		if s.epoch > 0 && ops.Epoch == s.epoch && ops.Owner == s.owner && !s.released {
			s.applyOwned(op)
		}
	}
}

func (s *Shard) claim(ops Ops, op Op) {
	if ops.Epoch != s.epoch+1 || ops.Owner == "" {
		return
	}
	s.epoch, s.owner, s.gate, s.released = ops.Epoch, ops.Owner, op.Gate, false
}

func (s *Shard) applyOwned(op Op) {
	switch op.Op {
	case OpRelease:
		s.released = true
	case OpRequestQuota, OpGiveQuota, OpTakeQuota:
		s.quota.apply(op, s.now)
	case OpPlace:
		s.place(op)
	case OpDrop:
		s.drop(op)
	default:
		// These are valid only for the attempt that holds a host.
		e := s.tasks[op.Task]
		if e != nil && e.Placement != nil && e.Placement.Number == op.Number {
			s.attempt(e, op)
		}
	}
}

// forget removes terminal tasks that are too old or too many. Jobs from the
// settings are kept until their deadline, as they would otherwise be submitted
// again; their number is bounded by the settings.
func (s *Shard) forget() {
	kept := s.ended[:0:0]
	surplus := len(s.ended) - s.limits.MaxTerminal
	for i, e := range s.ended {
		old := s.now.Sub(e.Since) > s.limits.Retention
		if !old && surplus <= 0 {
			if i == len(kept) {
				return
			}
			kept = append(kept, s.ended[i:]...)
			break
		}
		if e.FromSettings && e.Task.Deadline.After(s.now) {
			kept = append(kept, e)
			continue
		}
		delete(s.tasks, e.Task.ID)
		s.forgotten++
		surplus--
	}
	s.ended = kept
	if s.accepted != int64(len(s.tasks))+s.forgotten {
		s.violations(10, fmt.Sprintf("%d tasks accepted, but %d present and %d forgotten", s.accepted, len(s.tasks), s.forgotten))
	}
}
