package hvhost

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// limit bounds attempts and unacknowledged ends in the state machine.
const limit = 4

var capacity = hv.Resources{Processors: 16000, Memory: 60 * hv.GB, Accelerators: 2}

// machine drives a ledger and keeps, as an oracle, what an ideal owner and the
// worker know: the attempts that run and the latest time a lease may end.
type machine struct {
	t        *rapid.T
	clock    *manualClock
	ledger   *Ledger
	runs     map[hv.Attempt]hv.RunningAttempt
	ends     map[hv.Attempt]time.Time
	lapsed   map[hv.Attempt]bool
	admitted map[hv.Attempt]bool
	pending  map[hv.Attempt]bool
	epochs   map[int]int64
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		t: t, clock: &manualClock{now: time.Unix(1e9, 0)},
		runs: map[hv.Attempt]hv.RunningAttempt{}, ends: map[hv.Attempt]time.Time{}, lapsed: map[hv.Attempt]bool{},
		admitted: map[hv.Attempt]bool{}, pending: map[hv.Attempt]bool{}, epochs: map[int]int64{},
	}
	m.restart()
	return m
}

func (m *machine) restart() {
	m.ledger = New(Config{Capacity: capacity, MaxAttempts: limit}, m.clock, func(n int, s string) { m.t.Fatalf("invariant %d: %s", n, s) })
	if _, err := m.ledger.Admit(order(1, 1, 0, 9, hv.Resources{}, m.clock.now.Add(time.Hour))); hv.KindOf(err) != hv.Unavailable {
		m.t.Fatalf("admitted before the worker was read: %v", err)
	}
	var found []hv.RunningAttempt
	m.epochs, m.lapsed = map[int]int64{}, map[hv.Attempt]bool{}
	for a, r := range m.runs {
		r.Lease = hv.Duration(max(0, m.ends[a].Sub(m.clock.now)))
		m.epochs[r.Shard] = max(m.epochs[r.Shard], r.Epoch)
		found = append(found, r)
	}
	// The worker lists an ended attempt until its report is acknowledged; an
	// owner that acknowledged it does not place that attempt again.
	m.admitted = map[hv.Attempt]bool{}
	for a := range m.pending {
		m.admitted[a] = true
		found = append(found, hv.RunningAttempt{Attempt: a, Task: hv.Task{ID: a.Task}, State: hv.StateDone})
	}
	for a := range m.runs {
		m.admitted[a] = true
	}
	if reject := m.ledger.Recover(m.clock.now, found); len(reject) > 0 {
		m.t.Fatalf("rejected %v", reject)
	}
}

func order(task, attempt, shard int, epoch int64, commit hv.Resources, end time.Time) StartRequest {
	id := fmt.Sprintf("t%d", task)
	return StartRequest{Task: hv.Task{ID: id}, Attempt: hv.Attempt{Task: id, Number: attempt}, Shard: shard, Epoch: epoch, Committed: commit, LeaseEnd: end}
}

func (m *machine) drawResources(label string) hv.Resources {
	return hv.Resources{
		Processors:   rapid.Int64Range(0, 9000).Draw(m.t, label+" processors"),
		Memory:       hv.Size(rapid.Int64Range(0, 30).Draw(m.t, label+" memory")) * hv.GB,
		Accelerators: rapid.Int64Range(0, 1).Draw(m.t, label+" accelerators"),
	}
}

func (m *machine) drawRun() (hv.RunningAttempt, bool) {
	held := m.ledger.Held()
	if len(held) == 0 {
		return hv.RunningAttempt{}, false
	}
	return rapid.SampledFrom(held).Draw(m.t, "held"), true
}

func (m *machine) admit(t *rapid.T) {
	task := rapid.IntRange(0, 5).Draw(t, "task")
	epoch := rapid.Int64Range(1, 4).Draw(t, "epoch")
	end := m.clock.now.Add(time.Duration(rapid.IntRange(-2, 10).Draw(t, "lease")) * time.Second)
	o := order(task, rapid.IntRange(1, 6).Draw(t, "number"), task%2, epoch, m.drawResources("commit"), end)
	fresh, err := m.ledger.Admit(o)
	if err != nil || !fresh {
		return
	}
	switch {
	case m.admitted[o.Attempt]:
		t.Fatalf("%s admitted twice", o.Attempt)
	case epoch < m.epochs[o.Shard]:
		t.Fatalf("epoch %d admitted after %d", epoch, m.epochs[o.Shard])
	case !m.clock.now.Before(end):
		t.Fatalf("admitted without a lease")
	}
	for a := range m.runs {
		if a.Task == o.Task.ID {
			t.Fatalf("invariant 2: %s and %s run together", a, o.Attempt)
		}
	}
	m.admitted[o.Attempt], m.epochs[o.Shard], m.ends[o.Attempt] = true, epoch, end
	m.runs[o.Attempt] = o.running()
	m.ledger.MarkStarted(o.Attempt)
}

func (m *machine) renew(t *rapid.T) {
	r := Renewal{
		Shard: rapid.IntRange(0, 1).Draw(t, "shard"),
		Epoch: rapid.Int64Range(1, 4).Draw(t, "epoch"),
		Sent:  m.clock.now.Add(-time.Duration(rapid.IntRange(0, 12000).Draw(t, "age")) * time.Millisecond),
		Lease: 10 * time.Second,
	}
	m.ledger.Renew(r)
	if r.Epoch < m.epochs[r.Shard] {
		return
	}
	m.epochs[r.Shard] = r.Epoch
	for a, run := range m.runs {
		if run.Shard == r.Shard && m.ends[a].After(m.clock.now) && r.Sent.Add(r.Lease).After(m.ends[a]) {
			m.ends[a], run.Epoch = r.Sent.Add(r.Lease), r.Epoch
			m.runs[a] = run
		}
	}
}

func (m *machine) observe(*rapid.T) {
	if r, ok := m.drawRun(); ok {
		m.ledger.Observe([]hv.Usage{{Attempt: r.Attempt, Used: m.drawResources("used"), Age: hv.Duration(30 * time.Second)}})
	}
}

func (m *machine) end(*rapid.T) {
	r, ok := m.drawRun()
	if !ok {
		return
	}
	delete(m.runs, r.Attempt)
	m.pending[r.Attempt] = true
	m.ledger.ReportEnd(Report{Attempt: r.Attempt, Event: "done"})
}

func (m *machine) acknowledge(*rapid.T) {
	for _, e := range m.ledger.Reports(1) {
		m.ledger.Acknowledge(e.Attempt)
		delete(m.pending, e.Attempt)
	}
}

func (m *machine) lapse(*rapid.T) {
	for _, r := range m.ledger.ExpireLeases() {
		m.lapsed[r.Attempt] = true
	}
}

// check compares the ledger with the oracle after each action.
func (m *machine) check(t *rapid.T) {
	var sum hv.Resources
	for _, r := range m.ledger.Held() {
		sum = sum.Add(r.Committed)
		if _, err := m.ledger.Lease(r.Attempt); err == nil && !m.clock.now.Before(m.ends[r.Attempt]) {
			t.Fatalf("%s has a lease after its end", r.Attempt)
		}
		run := m.runs[r.Attempt]
		run.Committed = r.Committed
		m.runs[r.Attempt] = run
	}
	if sum != m.ledger.Committed() || !sum.Fits(capacity) {
		t.Fatalf("invariant 1: %+v committed, the sum is %+v", m.ledger.Committed(), sum)
	}
	for _, r := range m.ledger.Live() {
		left, err := m.ledger.Lease(r.Attempt)
		if err != nil || m.lapsed[r.Attempt] || left > m.ends[r.Attempt].Sub(m.clock.now) {
			t.Fatalf("%s is live for %v (%v), its lease ends at %v, now %v", r.Attempt, left, err, m.ends[r.Attempt], m.clock.now)
		}
	}
	if got := len(m.ledger.Reports(100)); got != len(m.pending) || got+len(m.runs) > limit {
		t.Fatalf("%d reports for %d unacknowledged ends and %d attempts", got, len(m.pending), len(m.runs))
	}
}

// TestLedger guards against commitments beyond capacity (invariant 1), two
// attempts of one task on a host (invariant 2), leases that outlast what their
// owner granted, and lost reports, across pauses and restarts.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "admit": m.admit, "admit again": m.admit, "renew": m.renew, "observe": m.observe,
			"end": m.end, "acknowledge": m.acknowledge, "lapse": m.lapse,
			"restart": func(*rapid.T) { m.restart() },
			"pause": func(t *rapid.T) {
				m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 90000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestCommitmentsFollowUse guards against commitments that stay at a declared
// size which is wrong by a factor of four in either direction.
func TestCommitmentsFollowUse(t *testing.T) {
	for _, factor := range []float64{0.25, 4} {
		clock := &manualClock{now: time.Unix(1e9, 0)}
		l := New(Config{Capacity: capacity}, clock, func(n int, s string) { t.Fatalf("invariant %d: %s", n, s) })
		l.Recover(clock.now, nil)
		o := order(1, 1, 0, 1, hv.Resources{Processors: 2000, Memory: 8 * hv.GB}, clock.now.Add(time.Hour))
		if _, err := l.Admit(o); err != nil {
			t.Fatal(err)
		}
		used := hv.Resources{Processors: int64(2000 * factor), Memory: hv.Size(8 * factor * float64(hv.GB))}
		for range 60 {
			clock.now = clock.now.Add(30 * time.Second)
			l.Observe([]hv.Usage{{Attempt: o.Attempt, Used: used, Age: hv.Duration(30 * time.Second)}})
		}
		got := l.Committed()
		if !used.Fits(got) || got.Processors > scale(used.Processors, highMargin) || int64(got.Memory) > scale(int64(used.Memory), highMargin+100) {
			t.Errorf("factor %v: committed %+v for a use of %+v", factor, got, used)
		}
	}
}

// TestMain fixes the seed and the number of checks, so that every run has the
// same verdict; flags of the command line replace them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
