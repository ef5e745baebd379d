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

// bench is one owner without network: records and heartbeats are given by hand.
type bench struct {
	tb     testing.TB
	now    time.Time
	view   *hvquorum.Tracker
	apply  *Applier
	owner  *Owner
	next   hv.Offset
	starts []hvwire.Start
	sent   uint64
	cursor int
	hosts  []string
}

func (b *bench) Now() time.Time                   { return b.now }
func (b *bench) Start(_ string, m hvwire.Start)   { b.starts = append(b.starts, m) }
func (b *bench) Stop(string, hvwire.Stop)         {}
func (b *bench) Throttle(string, hvwire.Throttle) {}
func (b *bench) SetHost(hv.HostView)              {}
func (b *bench) RemoveHost(string)                {}
func (b *bench) Release(hv.Task, string)          {}
func (b *bench) Observe(hv.InterferenceSample)    {}
func (b *bench) Place(hv.Task, ...string) (string, error) {
	b.cursor++
	return b.hosts[b.cursor%len(b.hosts)], nil
}

func (b *bench) violation(invariant int, msg string) { b.tb.Fatalf("invariant %d: %s", invariant, msg) }

// newBench returns an owner that owns its shard in epoch 1.
func newBench(tb testing.TB, hosts ...string) *bench {
	b := &bench{tb: tb, now: time.Unix(1_000_000, 0), hosts: hosts}
	b.view = hvquorum.New(hvquorum.Config{Gate: "g", Incarnation: "g1", LeaseDuration: simLease, ClockMargin: simMargin}, b, []string{"g"})
	state := hvtask.New(hvtask.DefaultLimits, b.violation)
	b.apply = NewApplier(state, b.view, 0)
	b.owner = New(Config{Gate: "g", Incarnation: "g1", Lease: simLease, Margin: simMargin}, Deps{
		Clock: b, States: []*hvtask.Shard{state}, View: b.view, Placer: b, Hosts: b, Rand: rand.New(rand.NewPCG(1, 1)),
	})
	b.record(hvtask.Ops{Epoch: 1, Owner: "g1", Ops: []hvtask.Op{{Op: hvtask.OpClaim, Gate: "g"}}})
	return b
}

func (b *bench) record(ops hvtask.Ops) {
	body, err := json.Marshal(ops)
	if err != nil {
		b.tb.Fatal(err)
	}
	b.apply.Apply(hv.Record{Offset: b.next, Time: b.now, Kind: hvtask.KindOps, Body: body})
	b.next++
	b.view.RecordRead(StreamName(0), b.now)
}

// step advances the time, steps the owner and appends what it returns.
func (b *bench) step(d time.Duration) {
	b.now = b.now.Add(d)
	b.view.RecordRead(StreamName(0), b.now)
	if batch := b.owner.Step(b.now); batch != nil {
		b.record(batch.Body)
		b.owner.Finish(batch, b.now, nil)
	}
}

func (b *bench) beat(host string, attempts ...hvwire.AttemptState) *hvwire.Renewal {
	b.sent++
	return b.owner.Beat(hv.Host{Name: host}, hvwire.Heartbeat{Incarnation: host + "1", Sequence: b.sent, Attempts: attempts})
}

func (b *bench) submit(id string) {
	task := hv.Task{ID: id, Kind: hv.Watcher, Program: "p", Urgent: true}
	b.record(hvtask.Ops{Ops: []hvtask.Op{hvtask.Submit(task)}})
}

// Guards against a first lease that outlasts the confirmation of the view when
// the start travels slowly: the side counts it from its heartbeat.
func TestStartLease(t *testing.T) {
	b := newBench(t, "h")
	b.step(jitter)
	b.beat("h")
	received := b.now
	b.submit("a")
	b.step(200 * time.Millisecond)
	b.now = b.now.Add(500 * time.Millisecond)
	b.owner.Step(b.now)
	if len(b.starts) != 1 {
		t.Fatalf("%d starts", len(b.starts))
	}
	m, confirmed := b.starts[0], received.Add(200*time.Millisecond)
	if end := received.Add(m.Lease.Std()); m.HeartbeatSequence != b.sent || m.Incarnation != "h1" || !end.Equal(confirmed.Add(simLease)) {
		t.Fatalf("%+v ends at %s", m, end)
	}
}

// Guards against a start that is sent while the refusal of the same attempt is
// on its way to the log; the attempt would run beside the next one.
func TestNoStartAfterRefusal(t *testing.T) {
	b := newBench(t, "h")
	b.step(jitter)
	b.beat("h")
	b.submit("a")
	b.now = b.now.Add(missingAfter - time.Millisecond)
	b.step(0)
	b.now = b.now.Add(flushEvery)
	b.view.RecordRead(StreamName(0), b.now)
	refusal := b.owner.Step(b.now)
	if refusal == nil || refusal.Body.Ops[0].Op != hvtask.OpRefuse {
		t.Fatalf("%+v", refusal)
	}
	b.beat("h")
	b.owner.Step(b.now.Add(flushEvery))
	if len(b.starts) != 0 {
		t.Fatalf("started after the refusal: %+v", b.starts)
	}
}

// Guards against a report that is acknowledged before the log has it: the side
// would forget it, and with the owner the end of the attempt would be lost.
func TestReportAcknowledged(t *testing.T) {
	b := newBench(t, "h")
	b.step(jitter)
	b.beat("h")
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
func TestBeatStopsOthers(t *testing.T) {
	b := newBench(t, "h")
	b.step(jitter)
	stray := hv.Attempt{Task: "stray", Number: 3}
	r := b.beat("h", hvwire.AttemptState{Attempt: stray, Epoch: 1, State: hv.StateRunning})
	if r == nil || len(r.Stop) != 1 || r.Stop[0] != stray {
		t.Fatalf("%+v", r)
	}
	if r := b.beat("h", hvwire.AttemptState{Attempt: stray, Epoch: 2, State: hv.StateRunning}); r != nil {
		t.Fatalf("an owner that the host knows to be old renews: %+v", r)
	}
	b.now = b.now.Add(simLease)
	if r := b.beat("h"); r != nil {
		t.Fatalf("renews without a confirmed view: %+v", r)
	}
}

// Guards against a watcher that fails at once and is started again at once,
// and against a pause that grows beyond 30 s.
func TestPause(t *testing.T) {
	for failures, want := range map[int]time.Duration{0: 0, 1: time.Second, 3: 4 * time.Second, 6: 30 * time.Second, 1000: 30 * time.Second} {
		if got := pauseAfter(failures); got != want {
			t.Errorf("after %d failures: %s, want %s", failures, got, want)
		}
	}
}

// Guards against decisions on sums that an uncertain record may still change:
// it can carry a placement that the quota does not allow twice.
func TestUncertainAppend(t *testing.T) {
	b := newBench(t, "h")
	b.step(jitter)
	b.beat("h")
	b.submit("a")
	next := func() *Batch {
		b.now = b.now.Add(flushEvery)
		b.view.RecordRead(StreamName(0), b.now)
		return b.owner.Step(b.now)
	}
	placement := next()
	if placement == nil || placement.Body.Ops[0].Op != hvtask.OpPlace {
		t.Fatalf("%+v", placement)
	}
	b.owner.Finish(placement, b.now, errorf("append", hv.Uncertain, "no answer"))
	settle := next()
	if settle == nil || len(settle.Body.Ops) != 0 {
		t.Fatalf("decided before the fate of the record is known: %+v", settle)
	}
	b.record(settle.Body)
	b.owner.Finish(settle, b.now, nil)
	b.now = b.now.Add(jitter)
	b.beat("h")
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
	b := newBench(t, "h")
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
	if ticket.Withdraw() {
		t.Fatal("withdrawn although it may be in the log")
	}
	cancel()
	<-ended
	if err := <-ticket.Done(); err == nil {
		t.Fatal("the append succeeded")
	}
}
