package hvslot

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// requestState is what the test knows about one request.
type requestState struct {
	ticket *Ticket
	ran    bool
	ended  bool
	// settledAt is the time at which settle returned not-run for the request.
	settledAt time.Time
	sentAt    time.Time
	// startNumber counts the starts of requests up to and including this one.
	startNumber int
}

type machine struct {
	t        *rapid.T
	clock    *fakeClock
	slots    *Slots
	config   Config
	requests map[string]*requestState
	ids      []string
	starts   int
	idle     <-chan struct{}
}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, clock: &fakeClock{now: time.Unix(1e9, 0)}, config: Config{Slots: 3, Connections: 7}, requests: map[string]*requestState{}}
	m.slots = New(m.config, m.clock, func(n int, s string) { t.Fatalf("invariant %d: %s", n, s) })
	// Small sets become full within one run.
	m.slots.started, m.slots.blocked = newIDSet(6), newIDSet(3)
	return m
}

func (m *machine) admit(t *rapid.T) {
	id := fmt.Sprintf("r%d", rapid.IntRange(0, 40).Draw(t, "id"))
	req := hv.Request{ID: id, Class: rapid.SampledFrom(hv.Classes).Draw(t, "class"), Remaining: hv.Duration(rapid.IntRange(0, 20).Draw(t, "left")) * hv.Duration(time.Second)}
	fail := rapid.IntRange(0, 9).Draw(t, "fail") == 0
	known := m.requests[id]
	if known != nil && (known.ran || !known.ended) {
		if m.starts-known.startNumber > 6 && known.ended {
			return
		}
		if _, err := m.slots.Admit(req, m.clock.now, nil); hv.KindOf(err) != hv.Uncertain {
			t.Fatalf("%s was admitted again: %v", id, err)
		}
		return
	}
	o := &requestState{sentAt: m.clock.now}
	ticket, err := m.slots.Admit(req, m.clock.now, func() error {
		if fail {
			return errors.New("lease expired")
		}
		if m.clock.now.Sub(o.sentAt) >= req.Remaining.Std() {
			t.Fatalf("%s starts after its deadline", id)
		}
		return nil
	})
	if err != nil {
		return
	}
	o.ticket = ticket
	if known == nil {
		m.ids = append(m.ids, id)
	} else if !known.settledAt.IsZero() && m.clock.now.Sub(known.settledAt) < settleRetention {
		t.Fatalf("invariant 5: %s was admitted after it was settled as not run", id)
	}
	m.requests[id] = o
}

func (m *machine) pickRequest(matches func(*requestState) bool) (string, *requestState) {
	var matching []string
	for _, id := range m.ids {
		if o := m.requests[id]; matches(o) {
			matching = append(matching, id)
		}
	}
	if len(matching) == 0 {
		return "", nil
	}
	id := rapid.SampledFrom(matching).Draw(m.t, "request")
	return id, m.requests[id]
}

func (m *machine) finish(*rapid.T) {
	if id, o := m.pickRequest(func(o *requestState) bool { return o.ran && !o.ended }); o != nil {
		o.ended = true
		m.slots.Finish(o.ticket, hv.Response{ID: id, Outcome: hv.Done})
	}
}

func (m *machine) settle(t *rapid.T) {
	id, o := m.pickRequest(func(*requestState) bool { return true })
	if o == nil {
		return
	}
	resp, done := m.slots.settle(id, m.clock.now.Sub(o.sentAt))
	switch {
	case done != nil && (!o.ran || o.ended):
		t.Fatalf("settle waits for %s, which does not run", id)
	case done == nil && resp.Outcome == hv.NotRun && o.ran:
		t.Fatalf("invariant 5: %s was settled as not run after it ran", id)
	case done == nil && resp.Outcome == hv.Done && !o.ended:
		t.Fatalf("%s was settled as done before it ended", id)
	}
	if done == nil && resp.Outcome == hv.NotRun {
		o.settledAt = m.clock.now
	}
}

func (m *machine) advanceClock(t *rapid.T) {
	m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 15).Draw(t, "seconds")) * time.Second)
}

func (m *machine) drain(t *rapid.T) {
	if rapid.IntRange(0, 30).Draw(t, "drain") == 0 {
		m.idle = m.slots.Drain()
	}
}

func decided(t *Ticket) bool {
	select {
	case <-t.Decided():
		return true
	default:
		return false
	}
}

func (m *machine) check(t *rapid.T) {
	running, waiting := 0, 0
	for _, id := range m.ids {
		o := m.requests[id]
		if o.ended {
			continue
		}
		switch {
		case !decided(o.ticket):
			waiting++
		case o.ticket.Err() != nil:
			o.ended = true
		default:
			if !o.ran {
				m.starts++
				o.ran, o.startNumber = true, m.starts
			}
			if !o.settledAt.IsZero() {
				t.Fatalf("invariant 5: %s runs after it was settled as not run", id)
			}
			running++
		}
	}
	reportedRunning, reportedWaiting := m.slots.Load()
	if running != reportedRunning || waiting != reportedWaiting || running > m.config.Slots || running+waiting > m.config.Connections {
		t.Fatalf("%d run and %d wait, but %d and %d are reported", running, waiting, reportedRunning, reportedWaiting)
	}
	if waiting > 0 && running < m.config.Slots {
		t.Fatalf("%d requests wait while %d of %d slots are in use", waiting, running, m.config.Slots)
	}
	m.checkIdle(running + waiting)
}

func (m *machine) checkIdle(active int) {
	if m.idle == nil {
		return
	}
	select {
	case <-m.idle:
		if active > 0 {
			m.t.Fatalf("the slots are reported idle with %d requests", active)
		}
	default:
		if active == 0 {
			m.t.Fatalf("the slots are drained but not reported idle")
		}
	}
}

// TestSlots guards against more requests than slots or connections, against
// requests that run after they were settled as not run (invariant 5), and against
// requests that never end.
func TestSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "enter": m.admit, "enter more": m.admit, "finish": m.finish, "settle": m.settle,
			"advance": m.advanceClock, "drain": m.drain,
		})
		for range 100 {
			m.finish(t)
			m.check(t)
		}
		if run, wait := m.slots.Load(); run+wait > 0 {
			t.Fatalf("%d requests run and %d wait at the end", run, wait)
		}
	})
}

// TestFullMemory guards against a false not-run for a request that ran, and
// against a settled request that starts, when the sets of started and blocked
// requests are full.
func TestFullMemory(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1e9, 0)}
	s := New(Config{Slots: 1, Connections: 1}, clock, func(n int, s string) { t.Fatalf("invariant %d: %s", n, s) })
	s.started, s.blocked = newIDSet(2), newIDSet(2)
	run := func(id string) error {
		ticket, err := s.Admit(hv.Request{ID: id, Remaining: hv.Duration(time.Second)}, clock.now, nil)
		if err == nil {
			s.Finish(ticket, hv.Response{ID: id, Outcome: hv.Done})
		}
		return err
	}
	for i := range 6 {
		if err := run(fmt.Sprint("ran", i)); err != nil {
			t.Fatal(err)
		}
	}
	clock.now = clock.now.Add(settleRetention + 10*time.Second)
	if err := run("last"); err != nil {
		t.Fatal(err)
	}
	if resp, _ := s.settle("ran0", settleRetention+10*time.Second); resp.Outcome != hv.Unknown {
		t.Errorf("a request that is no longer in the set of started ones was settled as %s", resp.Outcome)
	}
	clock.now = clock.now.Add(settleRetention + 10*time.Second)
	for i := range 9 {
		id := fmt.Sprint("new", i)
		resp, _ := s.settle(id, 0)
		if want := i < 4; want != (resp.Outcome == hv.NotRun) {
			t.Errorf("%s was settled as %s", id, resp.Outcome)
		}
	}
	for i := range 4 {
		if err := run(fmt.Sprint("new", i)); hv.KindOf(err) != hv.Conflict {
			t.Errorf("new%d ran after it was settled: %v", i, err)
		}
	}
}

// TestStartOrder guards against requests that wait behind others of a less urgent
// class or, within a class, behind others with a later deadline.
func TestStartOrder(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1e9, 0)}
	s := New(Config{Slots: 1, Connections: 9}, clock, func(n int, s string) { t.Fatalf("invariant %d: %s", n, s) })
	var got []string
	tickets := map[string]*Ticket{}
	for _, r := range []hv.Request{
		{ID: "first", Class: hv.Batch, Remaining: 9},
		{ID: "batch", Class: hv.Batch, Remaining: 2},
		{ID: "late", Class: hv.Urgent, Remaining: 8},
		{ID: "soon", Class: hv.Urgent, Remaining: 3},
		{ID: "standard", Class: hv.Standard, Remaining: 1},
	} {
		r.Remaining *= hv.Duration(time.Second)
		ticket, err := s.Admit(r, clock.now, func() error { got = append(got, r.ID); return nil })
		if err != nil {
			t.Fatal(err)
		}
		tickets[r.ID] = ticket
	}
	for i := 0; i < len(got); i++ {
		s.Finish(tickets[got[i]], hv.Response{ID: got[i]})
	}
	if want := "[first soon late standard batch]"; fmt.Sprint(got) != want {
		t.Errorf("order %v, want %s", got, want)
	}
}

// TestServiceThatStandsStillIsSlow guards against batch work that gets its processors back
// beside a service that completes no request, as the slowdown is not measured then.
func TestServiceThatStandsStillIsSlow(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1e9, 0)}
	l := NewLatencyWindow(clock)
	var numbers []int64
	for range 8 {
		numbers = append(numbers, l.Begin())
	}
	clock.now = clock.now.Add(15 * time.Second)
	if got := l.Slowdown(time.Second); got != 15 {
		t.Fatalf("slowdown is %v while all requests take 15 times the target so far", got)
	}
	for _, n := range numbers {
		l.End(n)
	}
	if got := l.Slowdown(time.Second); got != 0 {
		t.Fatalf("slowdown is %v without requests", got)
	}
}

// TestSlowdownIgnoresOldSamples guards against a tail latency that stays high
// because of old samples.
func TestSlowdownIgnoresOldSamples(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1e9, 0)}
	l := NewLatencyWindow(clock)
	for range 100 {
		l.Add(40 * time.Millisecond)
	}
	if got := l.Slowdown(20 * time.Millisecond); got != 2 {
		t.Errorf("slowdown %v, want 2", got)
	}
	clock.now = clock.now.Add(windowAge + time.Second)
	for range minSamples {
		l.Add(10 * time.Millisecond)
	}
	if got := l.Slowdown(20 * time.Millisecond); got != 0.5 {
		t.Errorf("slowdown %v after the window, want 0.5", got)
	}
}

// TestMain fixes the seed and the number of checks, so that every run has the
// same result. Flags on the command line override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
