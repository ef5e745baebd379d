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

// maxAttempts bounds attempts and unacknowledged reports in the state machine.
const maxAttempts = 4

var capacity = hv.Resources{Processors: 16000, Memory: 60 * hv.GB, Accelerators: 2}

// stateMachine calls a ledger and keeps, as the oracle, what an ideal owner and
// the worker know: the running attempts and the latest possible end of each lease.
type stateMachine struct {
	t              *rapid.T
	clock          *manualClock
	ledger         *Ledger
	running        map[hv.Attempt]hv.RunningAttempt
	leaseEnds      map[hv.Attempt]time.Time
	expired        map[hv.Attempt]bool
	admitted       map[hv.Attempt]bool
	unacknowledged map[hv.Attempt]bool
	epochs         map[int]int64
}

func newMachine(t *rapid.T) *stateMachine {
	m := &stateMachine{
		t: t, clock: &manualClock{now: time.Unix(1e9, 0)},
		running: map[hv.Attempt]hv.RunningAttempt{}, leaseEnds: map[hv.Attempt]time.Time{}, expired: map[hv.Attempt]bool{},
		admitted: map[hv.Attempt]bool{}, unacknowledged: map[hv.Attempt]bool{}, epochs: map[int]int64{},
	}
	m.restart()
	return m
}

func (m *stateMachine) restart() {
	m.ledger = New(Config{Capacity: capacity, MaxAttempts: maxAttempts}, m.clock, func(n int, s string) { m.t.Fatalf("invariant %d: %s", n, s) })
	if _, err := m.ledger.Admit(startRequest(1, 1, 0, 9, hv.Resources{}, m.clock.now.Add(time.Hour))); hv.KindOf(err) != hv.Unavailable {
		m.t.Fatalf("admitted before Recover: %v", err)
	}
	var found []hv.RunningAttempt
	m.epochs, m.expired = map[int]int64{}, map[hv.Attempt]bool{}
	for a, r := range m.running {
		r.Lease = hv.Duration(max(0, m.leaseEnds[a].Sub(m.clock.now)))
		m.epochs[r.Shard] = max(m.epochs[r.Shard], r.Epoch)
		found = append(found, r)
	}
	// The worker lists an ended attempt until its report is acknowledged; an owner
	// that has acknowledged it never places the same attempt again.
	m.admitted = map[hv.Attempt]bool{}
	for a := range m.unacknowledged {
		m.admitted[a] = true
		found = append(found, hv.RunningAttempt{Attempt: a, Task: hv.Task{ID: a.Task}, State: hv.StateDone})
	}
	for a := range m.running {
		m.admitted[a] = true
	}
	if rejected := m.ledger.Recover(m.clock.now, found); len(rejected) > 0 {
		m.t.Fatalf("rejected %v", rejected)
	}
}

func startRequest(task, attempt, shard int, epoch int64, committed hv.Resources, leaseEnd time.Time) StartRequest {
	id := fmt.Sprintf("t%d", task)
	return StartRequest{Task: hv.Task{ID: id}, Attempt: hv.Attempt{Task: id, Number: attempt}, Shard: shard, Epoch: epoch, Committed: committed, LeaseEnd: leaseEnd}
}

func (m *stateMachine) drawResources(label string) hv.Resources {
	return hv.Resources{
		Processors:   rapid.Int64Range(0, 9000).Draw(m.t, label+" processors"),
		Memory:       hv.Size(rapid.Int64Range(0, 30).Draw(m.t, label+" memory")) * hv.GB,
		Accelerators: rapid.Int64Range(0, 1).Draw(m.t, label+" accelerators"),
	}
}

func (m *stateMachine) drawRun() (hv.RunningAttempt, bool) {
	held := m.ledger.Held()
	if len(held) == 0 {
		return hv.RunningAttempt{}, false
	}
	return rapid.SampledFrom(held).Draw(m.t, "held"), true
}

func (m *stateMachine) admit(t *rapid.T) {
	task := rapid.IntRange(0, 5).Draw(t, "task")
	epoch := rapid.Int64Range(1, 4).Draw(t, "epoch")
	leaseEnd := m.clock.now.Add(time.Duration(rapid.IntRange(-2, 10).Draw(t, "lease")) * time.Second)
	req := startRequest(task, rapid.IntRange(1, 6).Draw(t, "number"), task%2, epoch, m.drawResources("commit"), leaseEnd)
	added, err := m.ledger.Admit(req)
	if err != nil || !added {
		return
	}
	switch {
	case m.admitted[req.Attempt]:
		t.Fatalf("%s admitted twice", req.Attempt)
	case epoch < m.epochs[req.Shard]:
		t.Fatalf("epoch %d admitted after %d", epoch, m.epochs[req.Shard])
	case !m.clock.now.Before(leaseEnd):
		t.Fatalf("admitted after the end of its lease")
	}
	for a := range m.running {
		if a.Task == req.Task.ID {
			t.Fatalf("invariant 2: %s and %s run together", a, req.Attempt)
		}
	}
	m.admitted[req.Attempt], m.epochs[req.Shard], m.leaseEnds[req.Attempt] = true, epoch, leaseEnd
	m.running[req.Attempt] = req.runningAttempt()
	m.ledger.MarkStarted(req.Attempt)
}

func (m *stateMachine) renew(t *rapid.T) {
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
	for a, run := range m.running {
		if run.Shard == r.Shard && m.leaseEnds[a].After(m.clock.now) && r.Sent.Add(r.Lease).After(m.leaseEnds[a]) {
			m.leaseEnds[a], run.Epoch = r.Sent.Add(r.Lease), r.Epoch
			m.running[a] = run
		}
	}
}

func (m *stateMachine) observe(*rapid.T) {
	if r, ok := m.drawRun(); ok {
		m.ledger.Observe([]hv.Usage{{Attempt: r.Attempt, Used: m.drawResources("used"), Age: hv.Duration(30 * time.Second)}})
	}
}

func (m *stateMachine) end(*rapid.T) {
	r, ok := m.drawRun()
	if !ok {
		return
	}
	delete(m.running, r.Attempt)
	m.unacknowledged[r.Attempt] = true
	m.ledger.ReportEnd(Report{Attempt: r.Attempt, Event: "done"})
}

func (m *stateMachine) acknowledge(*rapid.T) {
	for _, e := range m.ledger.Reports(1) {
		m.ledger.Acknowledge(e.Attempt)
		delete(m.unacknowledged, e.Attempt)
	}
}

func (m *stateMachine) expireLeases(*rapid.T) {
	for _, r := range m.ledger.ExpireLeases() {
		m.expired[r.Attempt] = true
	}
}

// check compares the ledger with the oracle after each action.
func (m *stateMachine) check(t *rapid.T) {
	var total hv.Resources
	for _, r := range m.ledger.Held() {
		total = total.Add(r.Committed)
		if _, err := m.ledger.Lease(r.Attempt); err == nil && !m.clock.now.Before(m.leaseEnds[r.Attempt]) {
			t.Fatalf("%s has a lease that should have expired", r.Attempt)
		}
		run := m.running[r.Attempt]
		run.Committed = r.Committed
		m.running[r.Attempt] = run
	}
	if total != m.ledger.Committed() || !total.Fits(capacity) {
		t.Fatalf("invariant 1: %+v committed, the sum is %+v", m.ledger.Committed(), total)
	}
	for _, r := range m.ledger.Live() {
		remaining, err := m.ledger.Lease(r.Attempt)
		if err != nil || m.expired[r.Attempt] || remaining > m.leaseEnds[r.Attempt].Sub(m.clock.now) {
			t.Fatalf("%s is live for %v (error %v), its lease ends at %v, now %v", r.Attempt, remaining, err, m.leaseEnds[r.Attempt], m.clock.now)
		}
	}
	if got := len(m.ledger.Reports(100)); got != len(m.unacknowledged) || got+len(m.running) > maxAttempts {
		t.Fatalf("%d reports, want %d; %d attempts", got, len(m.unacknowledged), len(m.running))
	}
}

// TestLedger guards against commitments beyond the capacity (invariant 1), two
// attempts of one task on a host (invariant 2), leases that last longer than
// their owner granted, and lost reports, also across pauses and restarts.
func TestLedger(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "admit": m.admit, "admit again": m.admit, "renew": m.renew, "observe": m.observe,
			"end": m.end, "acknowledge": m.acknowledge, "expire": m.expireLeases,
			"restart": func(*rapid.T) { m.restart() },
			"pause": func(t *rapid.T) {
				m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 90000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestCommitmentsFollowUse guards against commitments that stay at the declared
// resources when these are wrong by a factor of four in either direction.
func TestCommitmentsFollowUse(t *testing.T) {
	for _, factor := range []float64{0.25, 4} {
		clock := &manualClock{now: time.Unix(1e9, 0)}
		l := New(Config{Capacity: capacity}, clock, func(n int, s string) { t.Fatalf("invariant %d: %s", n, s) })
		l.Recover(clock.now, nil)
		req := startRequest(1, 1, 0, 1, hv.Resources{Processors: 2000, Memory: 8 * hv.GB}, clock.now.Add(time.Hour))
		if _, err := l.Admit(req); err != nil {
			t.Fatal(err)
		}
		used := hv.Resources{Processors: int64(2000 * factor), Memory: hv.Size(8 * factor * float64(hv.GB))}
		for range 60 {
			clock.now = clock.now.Add(30 * time.Second)
			l.Observe([]hv.Usage{{Attempt: req.Attempt, Used: used, Age: hv.Duration(30 * time.Second)}})
		}
		got := l.Committed()
		if !used.Fits(got) || got.Processors > scale(used.Processors, highMargin) || int64(got.Memory) > scale(int64(used.Memory), highMargin+100) {
			t.Errorf("factor %v: committed %+v for a use of %+v", factor, got, used)
		}
	}
}

// TestMain sets the seed and the number of checks, so that every run has the same
// result; flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
