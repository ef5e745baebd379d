package hvtask

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
)

// TestMain limits the property tests and fixes their seed, so that every run
// gives the same result. Flags on the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.checks": "200", "rapid.seed": "1", "rapid.steps": "80", "rapid.nofailfile": "true"} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// stream applies records to a shard in order.
type stream struct {
	shard *Shard
	next  hv.Offset
	now   time.Time
}

func newStream(limits Limits, violations hv.ViolationReporter) *stream {
	return &stream{shard: New(limits, violations), now: time.Unix(1_000_000, 0)}
}

func (s *stream) append(epoch int64, owner string, ops ...Op) {
	body, err := json.Marshal(Ops{Epoch: epoch, OwnerIncarnation: owner, Ops: ops})
	if err != nil {
		panic(err)
	}
	s.shard.Apply(hv.Record{Offset: s.next, Time: s.now, Kind: KindOps, Body: body})
	s.next++
}

func job(id string) hv.Task {
	return hv.Task{ID: id, Kind: hv.Job, Program: "p", Deadline: time.Unix(2_000_000, 0)}
}

func failOnViolation(t interface{ Fatalf(string, ...any) }) hv.ViolationReporter {
	return func(invariant int, message string) { t.Fatalf("invariant %d: %s", invariant, message) }
}

func (s *stream) state(id string) State {
	e, _ := s.shard.Lookup(id)
	return e.State
}

// model is the reference model of one task, after the table of states in
// docs/design.md.
type model struct {
	task               hv.Task
	state              State
	number             int
	placed, started    bool
	evictions, resumes int
}

func (m *model) apply(op Op) {
	if m.state == "" {
		if op.Op == OpSubmit {
			m.task, m.state = *op.NewTask, Queued
		}
		return
	}
	end := func(to State) {
		m.placed = false
		if !m.state.Terminal() {
			m.state = to
		}
	}
	start := func() {
		if !m.started && m.evictions > m.resumes {
			m.resumes++
		}
		m.started = true
	}
	switch {
	case op.Op == OpCancel:
		if !m.state.Terminal() {
			m.state = Canceled
		}
	case op.Op == OpPlace:
		if m.state == Queued && op.Number == m.number+1 {
			m.state, m.number, m.placed, m.started = Placed, op.Number, true, false
		}
	case op.Op == OpDrop:
		if m.state == Queued && (op.State == Impossible || m.task.Kind == hv.Job) {
			m.state = op.State
		}
	case !m.placed || op.Number != m.number:
	case op.Op == OpRefuse:
		if !m.started {
			end(Queued)
		}
	case op.Op == OpRun:
		start()
		if m.state == Placed {
			m.state = Running
		}
	case op.Op == OpEnd:
		start()
		switch {
		case m.task.Kind == hv.Job && op.State == Done:
			end(Done)
		case m.task.Once:
			end(Failed)
		default:
			end(Queued)
		}
	case op.Op == OpEvict:
		if m.task.Once && op.Checkpoint == "" && !m.state.Terminal() {
			return
		}
		start()
		if !m.state.Terminal() {
			m.evictions++
		}
		end(Queued)
	case op.Op == OpLose:
		if m.task.Once && (m.started || !op.NeverStarted) {
			end(Unknown)
		} else {
			end(Queued)
		}
	}
}

// TestModel guards against faults in the rules for applying operations and
// checking epochs, and against a state that changes when it is restored from a
// snapshot.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStream(DefaultLimits, failOnViolation(t))
		models := map[string]*model{}
		epoch, owner := int64(0), ""
		pick := func(values ...string) string { return rapid.SampledFrom(values).Draw(t, "pick") }
		for range rapid.IntRange(10, 150).Draw(t, "records") {
			s.now = s.now.Add(time.Second)
			id := pick("a", "b", "c")
			m := models[id]
			if m == nil {
				m = &model{}
				models[id] = m
			}
			by, at := owner, epoch
			if rapid.IntRange(0, 5).Draw(t, "stale") == 0 {
				by, at = pick("x", "y", "z"), epoch-int64(rapid.IntRange(0, 1).Draw(t, "back"))
			}
			op := Op{Op: pick(OpClaim, OpSubmit, OpCancel, OpPlace, OpPlace, OpPlace, OpRun, OpRun, OpRefuse, OpEnd, OpEvict, OpEvict, OpLose, OpDrop), TaskID: id}
			op.Number = m.number + rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(t, "off")
			switch op.Op {
			case OpClaim:
				by, at = pick("x", "y", "z"), epoch+int64(rapid.IntRange(0, 2).Draw(t, "step"))
				if at == epoch+1 {
					epoch, owner = at, by
				}
			case OpSubmit:
				task := hv.Task{ID: id, Kind: hv.Watcher, Program: "p"}
				if rapid.Bool().Draw(t, "job") {
					task = job(id)
					task.Once = rapid.Bool().Draw(t, "once")
				}
				op = Submit(task)
			case OpCancel:
				op = Cancel(id)
			case OpPlace:
				op.Number = m.number + rapid.SampledFrom([]int{1, 1, 1, 0, 2}).Draw(t, "off")
				op.Host = "h"
			case OpEnd:
				op.State = rapid.SampledFrom([]State{Done, Failed}).Draw(t, "end")
			case OpDrop:
				op.State = rapid.SampledFrom([]State{Impossible, Failed}).Draw(t, "drop")
			case OpEvict:
				op.Checkpoint = pick("", "ck")
			case OpLose:
				op.NeverStarted = rapid.Bool().Draw(t, "never")
			}
			s.append(at, by, op)
			if op.Op == OpSubmit || op.Op == OpCancel || (epoch > 0 && at == epoch && by == owner) {
				m.apply(op)
			}
			e, _ := s.shard.Lookup(id)
			if e.State != m.state || e.Number != m.number || (e.Placement != nil) != m.placed || e.Evictions != m.evictions || e.Resumes != m.resumes {
				t.Fatalf("after %+v by %s in epoch %d: %+v, want %+v", op, by, at, e, *m)
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				restoreFromSnapshot(t, s)
			}
		}
	})
}

// restoreFromSnapshot replaces the shard by one restored from its snapshot.
func restoreFromSnapshot(t *rapid.T, s *stream) {
	before, err := s.shard.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	fresh := New(DefaultLimits, failOnViolation(t))
	if err := fresh.Restore(before, s.next); err != nil {
		t.Fatalf("restore: %v", err)
	}
	after, err := fresh.Snapshot()
	if err != nil || !bytes.Equal(before, after) {
		t.Fatalf("the restored state differs (%v):\n%s\n%s", err, before, after)
	}
	if got, want := fmt.Sprint(ids(fresh)), fmt.Sprint(ids(s.shard)); got != want {
		t.Fatalf("the restored queue is %s, want %s", got, want)
	}
	s.shard = fresh
}

func ids(s *Shard) []string {
	var ids []string
	s.EachQueued(func(e *Entry) bool {
		ids = append(ids, e.Task.ID)
		return true
	})
	return ids
}

// Guards against a record with a claim that lost a race but whose other
// operations take effect under the epoch of the winner.
func TestRacingClaims(t *testing.T) {
	s := newStream(DefaultLimits, failOnViolation(t))
	s.append(0, "", Submit(job("a")))
	s.append(1, "x", Op{Op: OpClaim, Gate: "x"})
	s.append(1, "y", Op{Op: OpClaim, Gate: "y"}, Op{Op: OpPlace, TaskID: "a", Number: 1, Host: "h"})
	if owner := s.shard.Owner(); owner.Incarnation != "x" || s.state("a") != Queued {
		t.Fatalf("owner %+v, state %s", owner, s.state("a"))
	}
}

// Guards against a queue that places batch work ahead of urgent work, or a job
// with more slack ahead of one with less.
func TestQueueOrder(t *testing.T) {
	s := newStream(DefaultLimits, failOnViolation(t))
	slack := func(id string, deadline, runtime time.Duration) hv.Task {
		task := job(id)
		task.Deadline, task.Runtime = s.now.Add(deadline), hv.Duration(runtime)
		return task
	}
	urgent := slack("urgent", 9*time.Hour, 0)
	urgent.Urgent = true
	s.append(0, "", Submit(slack("late", 3*time.Hour, time.Hour)), Submit(slack("long", 4*time.Hour, 3*time.Hour)),
		Submit(hv.Task{ID: "watcher", Kind: hv.Watcher, Program: "p"}), Submit(urgent))
	if got := fmt.Sprint(ids(s.shard)); got != "[urgent watcher long late]" {
		t.Fatal(got)
	}
}

// Guards against unbounded memory for terminal tasks, against dropping tasks
// that still occupy a host, and against running a job from the settings again
// because its end was dropped before its deadline.
func TestRetention(t *testing.T) {
	s := newStream(Limits{MaxActive: 100, MaxTerminal: 10, Retention: time.Hour}, failOnViolation(t))
	s.append(1, "x", Op{Op: OpClaim})
	s.append(0, "", Op{Op: OpSubmit, NewTask: new(job("settings")), FromSettings: true}, Submit(job("held")))
	s.append(1, "x", Op{Op: OpPlace, TaskID: "held", Number: 1, Host: "h"})
	s.append(0, "", Cancel("settings", "held"))
	for i := range 50 {
		id := fmt.Sprintf("t%d", i)
		s.append(0, "", Submit(job(id)), Cancel(id))
	}
	if n := len(s.shard.List("", 1000)); n != 11 {
		t.Fatalf("%d tasks are kept, want 10 terminal ones and 1 that occupies a host", n)
	}
	s.now = s.now.Add(2 * time.Hour)
	s.append(0, "", Submit(job("new")))
	if got := len(s.shard.List("", 1000)); got != 3 || s.state("settings") != Canceled || s.state("held") != Canceled {
		t.Fatalf("%d tasks are left", got)
	}
	s.now = time.Unix(2_000_001, 0)
	s.append(1, "x", Op{Op: OpLose, TaskID: "held", Number: 1})
	s.append(0, "", Op{Op: OpSubmit, NewTask: new(job("settings")), FromSettings: true})
	if s.state("settings") != "" {
		t.Fatal("a job from the settings was accepted again after its deadline")
	}
}

// Guards against a shard whose memory grows without bound under overload.
func TestActiveLimit(t *testing.T) {
	s := newStream(Limits{MaxActive: 2, MaxTerminal: 10, Retention: time.Hour}, failOnViolation(t))
	s.append(0, "", Submit(job("a")), Submit(job("b")), Submit(job("c")))
	if s.state("b") != Queued || s.state("c") != "" {
		t.Fatal("the limit of active tasks is not enforced")
	}
}
