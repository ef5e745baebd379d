package hvshard

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"testing"
	"time"

	"go.uber.org/goleak"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// ownerFixture is one owner without a network; records and heartbeats are
// supplied by the test.
type ownerFixture struct {
	tb         testing.TB
	now        time.Time
	view       *hvquorum.Tracker
	applier    *Applier
	owner      *Owner
	next       hv.Offset
	starts     []hvwire.Start
	sequence   uint64
	placements int
	hosts      []string
}

func (b *ownerFixture) Now() time.Time                   { return b.now }
func (b *ownerFixture) Start(_ string, m hvwire.Start)   { b.starts = append(b.starts, m) }
func (b *ownerFixture) Stop(string, hvwire.Stop)         {}
func (b *ownerFixture) Throttle(string, hvwire.Throttle) {}
func (b *ownerFixture) SetHost(hv.HostView)              {}
func (b *ownerFixture) RemoveHost(string)                {}
func (b *ownerFixture) Release(hv.Task, string)          {}
func (b *ownerFixture) Observe(hv.InterferenceSample)    {}
func (b *ownerFixture) Place(hv.Task, ...string) (string, error) {
	b.placements++
	return b.hosts[b.placements%len(b.hosts)], nil
}

func (b *ownerFixture) violation(invariant int, msg string) {
	b.tb.Fatalf("invariant %d: %s", invariant, msg)
}

// newOwnerFixture returns an owner that owns its shard in epoch 1.
func newOwnerFixture(tb testing.TB, hosts ...string) *ownerFixture {
	b := &ownerFixture{tb: tb, now: time.Unix(1_000_000, 0), hosts: hosts}
	b.view = hvquorum.New(hvquorum.Config{Gate: "g", Incarnation: "g1", LeaseDuration: simLease, ClockMargin: simMargin}, b, []string{"g"})
	state := hvtask.New(hvtask.DefaultLimits, b.violation)
	b.applier = NewApplier(state, b.view, 0)
	b.owner = New(Config{Gate: "g", Incarnation: "g1", LeaseDuration: simLease, ClockMargin: simMargin}, Deps{
		Clock: b, States: []*hvtask.Shard{state}, Quorum: b.view, Placer: b, Hosts: b, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	b.record(hvtask.Ops{Epoch: 1, OwnerIncarnation: "g1", Ops: []hvtask.Op{{Op: hvtask.OpClaim, Gate: "g"}}})
	return b
}

func (b *ownerFixture) record(ops hvtask.Ops) {
	body, err := json.Marshal(ops)
	if err != nil {
		b.tb.Fatal(err)
	}
	b.applier.Apply(hv.Record{Offset: b.next, Time: b.now, Kind: hvtask.KindOps, Body: body})
	b.next++
	b.view.RecordRead(StreamName(0), b.now)
}

// step advances the time, steps the owner and appends the resulting record.
func (b *ownerFixture) step(d time.Duration) {
	b.now = b.now.Add(d)
	b.view.RecordRead(StreamName(0), b.now)
	if batch := b.owner.Step(b.now); batch != nil {
		b.record(batch.Body)
		b.owner.Finish(batch, b.now, nil)
	}
}

func (b *ownerFixture) heartbeat(host string, attempts ...hvwire.AttemptState) *hvwire.Renewal {
	b.sequence++
	return b.owner.Heartbeat(hv.Host{Name: host}, hvwire.Heartbeat{Incarnation: host + "1", Sequence: b.sequence, Attempts: attempts})
}

func (b *ownerFixture) submit(id string) {
	task := hv.Task{ID: id, Kind: hv.Watcher, Program: "p", Urgent: true}
	b.record(hvtask.Ops{Ops: []hvtask.Op{hvtask.Submit(task)}})
}

// Guards against a first lease that ends after the ownership confirmation does
// when the start message is delayed: the side counts the lease from its
// heartbeat.
func TestStartLease(t *testing.T) {
	b := newOwnerFixture(t, "h")
	b.step(maxPlacementJitter)
	b.heartbeat("h")
	received := b.now
	b.submit("a")
	b.step(200 * time.Millisecond)
	b.now = b.now.Add(500 * time.Millisecond)
	b.owner.Step(b.now)
	if len(b.starts) != 1 {
		t.Fatalf("%d starts", len(b.starts))
	}
	m, confirmed := b.starts[0], received.Add(200*time.Millisecond)
	if end := received.Add(m.Lease.Std()); m.HeartbeatSequence != b.sequence || m.Incarnation != "h1" || !end.Equal(confirmed.Add(simLease)) {
		t.Fatalf("%+v ends at %s", m, end)
	}
}

// Guards against a start that is sent while the refusal of the same attempt is
// being appended to the log; the attempt would run alongside the next one.
func TestNoStartAfterRefusal(t *testing.T) {
	b := newOwnerFixture(t, "h")
	b.step(maxPlacementJitter)
	b.heartbeat("h")
	b.submit("a")
	b.now = b.now.Add(missingTimeout - time.Millisecond)
	b.step(0)
	b.now = b.now.Add(flushInterval)
	b.view.RecordRead(StreamName(0), b.now)
	refusal := b.owner.Step(b.now)
	if refusal == nil || refusal.Body.Ops[0].Op != hvtask.OpRefuse {
		t.Fatalf("%+v", refusal)
	}
	b.heartbeat("h")
	b.owner.Step(b.now.Add(flushInterval))
	if len(b.starts) != 0 {
		t.Fatalf("started after the refusal: %+v", b.starts)
	}
}

// Guards against a report that is acknowledged before the log has it: the side
// would drop it, and if the owner failed, the end of the attempt would be lost.
func TestReportAcknowledged(t *testing.T) {
	b := newOwnerFixture(t, "h")
	b.step(maxPlacementJitter)
	b.heartbeat("h")
	b.submit("a")
	b.step(200 * time.Millisecond)
	b.step(200 * time.Millisecond)
	for _, event := range []string{hvwire.EventStarted, hvwire.EventFailed} {
		r := hvwire.Report{Host: "h", Attempt: hv.Attempt{Task: "a", Number: 1}, Event: event}
		if b.owner.Report(r).OK {
			t.Fatalf("%s is acknowledged at once", event)
		}
		b.step(200 * time.Millisecond)
		if !b.owner.Report(r).OK {
			t.Fatalf("%s is not acknowledged although the log has it", event)
		}
	}
}

// Guards against a host that keeps running an attempt that is not current.
func TestHeartbeatStopsUnknownAttempts(t *testing.T) {
	b := newOwnerFixture(t, "h")
	b.step(maxPlacementJitter)
	unknown := hv.Attempt{Task: "stray", Number: 3}
	r := b.heartbeat("h", hvwire.AttemptState{Attempt: unknown, Epoch: 1, State: hv.StateRunning})
	if r == nil || len(r.Stop) != 1 || r.Stop[0] != unknown {
		t.Fatalf("%+v", r)
	}
	if r := b.heartbeat("h", hvwire.AttemptState{Attempt: unknown, Epoch: 2, State: hv.StateRunning}); r != nil {
		t.Fatalf("an owner with an outdated epoch renews leases: %+v", r)
	}
	b.now = b.now.Add(simLease)
	if r := b.heartbeat("h"); r != nil {
		t.Fatalf("renews leases without a confirmed ownership: %+v", r)
	}
}

// Guards against a watcher that fails at once and is restarted at once, and
// against a backoff that exceeds 30 s.
func TestFailureBackoff(t *testing.T) {
	for failures, want := range map[int]time.Duration{0: 0, 1: time.Second, 3: 4 * time.Second, 6: 30 * time.Second, 1000: 30 * time.Second} {
		if got := failureBackoff(failures); got != want {
			t.Errorf("after %d failures: %s, want %s", failures, got, want)
		}
	}
}

// Guards against decisions based on totals that an append of unknown outcome
// may still change: the record can contain a placement that the quota does not
// allow twice.
func TestUncertainAppend(t *testing.T) {
	b := newOwnerFixture(t, "h")
	b.step(maxPlacementJitter)
	b.heartbeat("h")
	b.submit("a")
	next := func() *Batch {
		b.now = b.now.Add(flushInterval)
		b.view.RecordRead(StreamName(0), b.now)
		return b.owner.Step(b.now)
	}
	placement := next()
	if placement == nil || placement.Body.Ops[0].Op != hvtask.OpPlace {
		t.Fatalf("%+v", placement)
	}
	b.owner.Finish(placement, b.now, errorf("append", hv.Uncertain, "no response"))
	empty := next()
	if empty == nil || len(empty.Body.Ops) != 0 {
		t.Fatalf("decided before the outcome of the append is known: %+v", empty)
	}
	b.record(empty.Body)
	b.owner.Finish(empty, b.now, nil)
	b.now = b.now.Add(maxPlacementJitter)
	b.heartbeat("h")
	if again := next(); again == nil || again.Body.Ops[0].Op != hvtask.OpPlace {
		t.Fatalf("not placed again: %+v", again)
	}
}

type blockingLog chan struct{}

func (l blockingLog) Append(ctx context.Context, _ string, _ any) error {
	close(l)
	<-ctx.Done()
	return ctx.Err()
}

// Guards against goroutines that outlive the context of an owner.
func TestRunEnds(t *testing.T) {
	defer goleak.VerifyNone(t)
	b := newOwnerFixture(t, "h")
	appending := make(blockingLog)
	b.owner.Log = appending
	ticket, err := b.owner.Add(hvtask.Cancel("a"))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.owner.Run(ctx)
	}()
	<-appending
	if ticket.Cancel() {
		t.Fatal("canceled although it may be in the log")
	}
	cancel()
	<-ended
	if err := <-ticket.Done(); err == nil {
		t.Fatal("the append succeeded")
	}
}
