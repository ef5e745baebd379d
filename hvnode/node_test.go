package hvnode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// errorOfKind returns an error of a kind.
func errorOfKind(kind hv.ErrorKind) error {
	return &hv.Error{Op: "call", Kind: kind, Err: errors.New(string(kind))}
}

// fakeExecutor returns the errors and the state that a test sets and records its
// calls.
type fakeExecutor struct {
	mu     sync.Mutex
	starts []hv.StartRun
	stops  []hvorder.Run
	errs   []error
	state  hv.ExecutorState
	// renewErr is the error of lease renewals, if it is set, and renewing is called by
	// each of them, if it is set. throttling is called by each change of a share, if it is
	// set.
	renewErr             error
	renewing, throttling func()
	renewals             []hv.LeaseRenewal
	// shares holds the changes of shares, and shareErrs the errors of the next ones.
	shares    []shareCall
	shareErrs []error
	// expectedInstance is what calls name.
	expectedInstance string
}

func (e *fakeExecutor) SetExpectedInstance(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expectedInstance = id
}

func (e *fakeExecutor) Start(_ context.Context, s hv.StartRun) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, s)
	if len(e.errs) == 0 {
		return nil
	}
	err := e.errs[0]
	e.errs = e.errs[1:]
	return err
}

func (e *fakeExecutor) Stop(_ context.Context, task string, run int, _ int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stops = append(e.stops, hvorder.Run{Task: task, Run: run})
	return nil
}

func (e *fakeExecutor) RenewLeases(_ context.Context, r hv.LeaseRenewal) (hv.ExecutorState, error) {
	e.mu.Lock()
	e.renewals = append(e.renewals, r)
	e.mu.Unlock()
	if e.renewing != nil {
		e.renewing()
	}
	return e.state, e.renewErr
}

// shareCall is a call that sets the share of a run.
type shareCall struct {
	run     hvorder.Run
	percent int
}

func (e *fakeExecutor) Throttle(_ context.Context, task string, run, percent int, _ int64) error {
	e.mu.Lock()
	e.shares = append(e.shares, shareCall{hvorder.Run{Task: task, Run: run}, percent})
	var err error
	if len(e.shareErrs) > 0 {
		err, e.shareErrs = e.shareErrs[0], e.shareErrs[1:]
	}
	e.mu.Unlock()
	if e.throttling != nil {
		e.throttling()
	}
	return err
}

func newNode(t *testing.T, e *fakeExecutor) *Node {
	t.Helper()
	e.state.Incarnation = "1"
	n := New(Deps{Clock: hv.SystemClock{}, Executor: e, Logger: log.NewNopLogger()})
	n.Announce("i-1", hvorder.Host{Incarnation: "1", Capacity: hvjob.Resources{CPU: 1000}})
	if _, err := n.attach(t.Context(), nil, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	return n
}

var testRun = hvorder.Run{Task: "0000000000000001.0.0.0", Run: 4}

func startOrder(epoch int64) hvorder.Orders {
	return hvorder.Orders{Epoch: epoch, Incarnation: "1", LeaseEnd: 9000, Specs: map[string]string{"0000000000000001": "work"}, Starts: []hvorder.Start{{Profile: hvorder.Profile{Run: testRun}}}}
}

func (n *Node) waitStarted(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		n.mu.Lock()
		pending := len(n.pendingStarts)
		n.mu.Unlock()
		if pending == 0 {
			return
		}
	}
	t.Fatal("the start is still pending after 2 s")
}

// Guards against a start without a response that is retried under another run
// number or not at all.
func TestStartIsRetriedUntilResponse(t *testing.T) {
	e := &fakeExecutor{errs: []error{errorOfKind(hv.Uncertain), errorOfKind(hv.Uncertain)}}
	n := newNode(t, e)
	if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
		t.Fatal(err)
	}
	n.waitStarted(t)
	if len(e.starts) != 3 {
		t.Fatalf("%d calls, want 3", len(e.starts))
	}
	for _, s := range e.starts {
		if s.Task != testRun.Task || s.Run != testRun.Run || s.Spec != "work" || s.Epoch != 3 || s.LeaseEnd != 9000 {
			t.Fatalf("start is %+v, want that of the order", s)
		}
	}
	if len(n.refused) != 0 {
		t.Fatalf("refused %v, want none", n.refused)
	}
}

// startsAtNextIncarnation orders a start when the executor has restarted unnoticed, and
// returns the number of calls.
func startsAtNextIncarnation(t *testing.T, n *Node, e *fakeExecutor) int {
	t.Helper()
	e.state.Incarnation = "2"
	if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
		t.Fatal(err)
	}
	time.Sleep(5 * callRetryInterval)
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.starts)
}

// Guards against a start without a response that is repeated at the next incarnation of the
// executor: the lease of the order ends at a time of the clock of the one before, so that
// all runs of the new one would outlast what the owner counts, and their tasks run twice.
func TestStartIsNotRepeatedAtNextIncarnation(t *testing.T) {
	e := &fakeExecutor{errs: []error{errorOfKind(hv.Uncertain)}}
	if calls := startsAtNextIncarnation(t, newNode(t, e), e); calls != 1 {
		t.Fatalf("%d start calls, want the one before the executor restarted", calls)
	}
}

// Guards against a start that is sent while it is not known whether the executor is still
// the incarnation of the order.
func TestStartWaitsForIncarnation(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	n.handleRenewError(errorOfKind(hv.Uncertain))
	if calls := startsAtNextIncarnation(t, n, e); calls != 0 {
		t.Fatalf("%d start calls at another incarnation than that of the order", calls)
	}
}

// Guards against a node that stood still while its executor restarted, and that goes on
// with an order and a lease by the clock of the incarnation before.
func TestPausedNodeConfirmsIncarnation(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	clock := &manualClock{now: time.Now()}
	n.deps.Clock = clock
	n.leaseEnd = 9000
	clock.advance(500 * time.Millisecond)
	if renewal, _, _ := n.nextRenewal(); renewal.LeaseEnd != 9000 {
		t.Fatalf("renewal is %+v after 0.5 s, want the lease", renewal)
	}
	clock.advance(2 * time.Second)
	if renewal, _, _ := n.nextRenewal(); renewal.LeaseEnd != 0 {
		t.Errorf("renewal is %+v after a pause, want no lease before the executor has responded", renewal)
	}
	if calls := startsAtNextIncarnation(t, n, e); calls != 0 {
		t.Errorf("%d start calls at another incarnation than that of the order", calls)
	}
}

// Guards against a response that waited in the connection while the node stood still, and
// that is taken for a sign of the executor's present incarnation.
func TestResponseFromBeforePauseConfirmsNothing(t *testing.T) {
	n, clock := newClockedNode(t)
	n.leaseEnd = 9000
	version := n.currentVersion()
	clock.advance(5 * time.Second)
	n.applyState(n.executorState, version)
	if renewal, _, _ := n.nextRenewal(); renewal.LeaseEnd != 0 {
		t.Fatalf("renewal is %+v after a response to a request from before the pause, want no lease", renewal)
	}
}

// Guards against a job that callers see as queued while a task of it runs, or as running
// although its start was refused.
func TestBegunJobsAreReported(t *testing.T) {
	for _, kind := range []hv.ErrorKind{"", hv.Full} {
		e := &fakeExecutor{}
		if kind != "" {
			e.errs = []error{errorOfKind(kind)}
		}
		n := newNode(t, e)
		if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
			t.Fatal(err)
		}
		n.waitStarted(t)
		if begun := slices.Contains(n.began, "0000000000000001"); begun != (kind == "") {
			t.Errorf("job is reported as begun: %v after a response of kind %q", begun, kind)
		}
	}
}

// Guards against a start whose responses are lost and which is repeated although the
// executor has listed the run: if the executor restarts, the task runs again after its
// end was acknowledged.
func TestListedStartIsNotRepeated(t *testing.T) {
	for name, state := range map[string]hv.ExecutorState{
		"running": {Incarnation: "1", ClockMS: 100, Running: []hv.RunState{{Task: testRun.Task, Run: testRun.Run}}},
		"ended":   {Incarnation: "1", ClockMS: 100, Ended: []hv.RunEnd{{Number: 1, Task: testRun.Task, Run: testRun.Run, Reason: hv.EndDone}}},
	} {
		t.Run(name, func(t *testing.T) {
			e := &fakeExecutor{}
			for range 1000 {
				e.errs = append(e.errs, errorOfKind(hv.Uncertain))
			}
			n := newNode(t, e)
			if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
				t.Fatal(err)
			}
			n.applyState(state, n.currentVersion())
			n.mu.Lock()
			pending, begun := n.pendingStarts[testRun], slices.Contains(n.began, "0000000000000001")
			n.mu.Unlock()
			if pending || !begun {
				t.Fatalf("start of a listed run is repeated: %v, reported as begun: %v", pending, begun)
			}
		})
	}
}

// Guards against refusals that are not reported to the owner.
func TestRefusalsAreReported(t *testing.T) {
	for _, kind := range []hv.ErrorKind{hv.Full, hv.Expired, hv.Conflict, hv.Invalid} {
		e := &fakeExecutor{errs: []error{errorOfKind(kind)}}
		n := newNode(t, e)
		if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
			t.Fatal(err)
		}
		n.waitStarted(t)
		n.mu.Lock()
		if len(n.refused) != 1 || n.refused[0].Kind != kind || n.refused[0].Run != testRun {
			t.Errorf("refused %v, want kind %s", n.refused, kind)
		}
		n.mu.Unlock()
	}
}

// Guards against carrying out orders of an owner that has been replaced, or orders
// for another incarnation of the executor.
func TestStaleOrdersAreRefused(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	if err := n.handleOrders(t.Context(), nil, startOrder(2)); hv.KindOf(err) != hv.Conflict {
		t.Errorf("orders of an older epoch: %v, want a conflict", err)
	}
	o := startOrder(3)
	o.Incarnation = "0"
	if err := n.handleOrders(t.Context(), nil, o); hv.KindOf(err) != hv.NotFound {
		t.Errorf("orders for another incarnation: %v, want kind not-found", err)
	}
	if _, err := n.attach(t.Context(), nil, hvorder.Attach{Epoch: 2}); hv.KindOf(err) != hv.Conflict {
		t.Errorf("attach of an older epoch: %v, want a conflict", err)
	}
	if len(e.starts) != 0 {
		t.Fatalf("%d starts, want 0", len(e.starts))
	}
}

// Guards against starts on an executor that has announced that it drains.
func TestDrainingExecutorStartsNothing(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	n.Announce("i-1", hvorder.Host{Incarnation: "1", Capacity: hvjob.Resources{CPU: 1000}, Draining: true})
	if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
		t.Fatal(err)
	}
	if len(e.starts) != 0 || len(n.refused) != 1 {
		t.Fatalf("%d starts, want 0; refused %v, want 1", len(e.starts), n.refused)
	}
}

// Guards against a stopped run that is neither listed as ended by the executor nor
// reported as stopped, so that its task never starts again.
func TestStoppedRunThatNeverStartedIsReported(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	n.stop(t.Context(), testRun, 3)
	if len(e.stops) != 1 || len(n.stopped) != 1 || n.stopped[0] != testRun {
		t.Fatalf("stops are %v and reported stops %v, want one of each", e.stops, n.stopped)
	}
	e.state.Running = []hv.RunState{{Task: testRun.Task, Run: testRun.Run}}
	n.stop(t.Context(), testRun, 3)
	if len(n.stopped) != 1 {
		t.Fatal("a run that has not ended yet is reported as stopped")
	}
}

// Guards against acknowledging ends of a new incarnation of the executor by the
// numbers of the previous one.
func TestNewIncarnationResetsAcknowledgements(t *testing.T) {
	n := newNode(t, &fakeExecutor{})
	n.ackedEnd, n.leaseEnd = 40, 9000
	n.applyState(hv.ExecutorState{Incarnation: "2", ClockMS: 1}, n.currentVersion())
	if h, _, _ := n.nextRenewal(); h.AckedEnd != 0 || h.LeaseEnd != 0 {
		t.Fatalf("next renewal is %+v, want no acknowledgement and no lease", h)
	}
}

// Guards against an older response of the executor that replaces a newer one.
func TestOlderStateIsIgnored(t *testing.T) {
	n := newNode(t, &fakeExecutor{})
	n.applyState(hv.ExecutorState{Incarnation: "1", ClockMS: 500, Running: []hv.RunState{{Task: "new", Run: 1}}}, n.currentVersion())
	n.applyState(hv.ExecutorState{Incarnation: "1", ClockMS: 400}, n.currentVersion())
	if len(n.executorState.Running) != 1 {
		t.Fatal("an older state replaced a newer one")
	}
}

// Guards against a task that starts again although its run has ended. If the start
// call got no response, the executor refuses the retry because the run number is used
// up.
func TestEndedRunIsNotRefused(t *testing.T) {
	e := &fakeExecutor{errs: []error{errorOfKind(hv.Uncertain), errorOfKind(hv.Expired)}}
	n := newNode(t, e)
	e.state.Ended = []hv.RunEnd{{Number: 1, Task: testRun.Task, Run: testRun.Run, Reason: hv.EndDone}}
	if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
		t.Fatal(err)
	}
	n.waitStarted(t)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.refused) != 0 {
		t.Fatalf("refused %v although the run has ended", n.refused)
	}
}

// Guards against acknowledging ends of a new incarnation of the executor by the
// numbers of the previous one: the renewal after a failed call only reads the
// state.
func TestRenewalAfterFailureExtendsNothing(t *testing.T) {
	n := newNode(t, &fakeExecutor{})
	n.ackedEnd, n.leaseEnd = 20, 9000
	if h, _, _ := n.nextRenewal(); h.AckedEnd != 20 || h.LeaseEnd != 9000 {
		t.Fatalf("renewal is %+v", h)
	}
	n.handleRenewError(errorOfKind(hv.Uncertain))
	if h, _, _ := n.nextRenewal(); h.AckedEnd != 0 || h.LeaseEnd != 0 || h.WaitMS != 0 {
		t.Fatalf("renewal after a failure is %+v", h)
	}
	n.applyState(hv.ExecutorState{Incarnation: "1", ClockMS: 700}, n.currentVersion())
	if h, _, _ := n.nextRenewal(); h.AckedEnd != 20 {
		t.Fatalf("renewal after a response of the same incarnation is %+v", h)
	}
}

// Guards against a start that is returned to the owner although an earlier call of
// it may still be carried out: the run must be stopped first.
func TestUncertainStartIsStoppedBeforeItIsReturned(t *testing.T) {
	for _, kind := range []hv.ErrorKind{hv.Full, hv.Invalid} {
		e := &fakeExecutor{errs: []error{errorOfKind(hv.Uncertain), errorOfKind(kind)}}
		n := newNode(t, e)
		if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
			t.Fatal(err)
		}
		n.waitStarted(t)
		for deadline := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			n.mu.Lock()
			stopped, refused := len(n.stopped), len(n.refused)
			n.mu.Unlock()
			if refused > 0 {
				t.Fatalf("%s: the start is refused without a stop", kind)
			}
			if stopped == 1 {
				break
			}
			if time.Now().After(deadline) {
				t.Fatalf("%s: the run is not reported as stopped within 2 s", kind)
			}
		}
		if len(e.stops) != 1 || e.stops[0] != testRun {
			t.Errorf("%s: stops are %v, want one of the run", kind, e.stops)
		}
	}
}

// Guards against a task that runs twice at the same time: a full report made of a
// state from before a start tells the owner that the run is not on the host.
func TestFullReportNeedsStateOfTheEpoch(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
		t.Fatal(err)
	}
	n.waitStarted(t)
	e.renewErr = errorOfKind(hv.Uncertain)
	for _, epoch := range []int64{3, 4} {
		r, err := n.attach(t.Context(), nil, hvorder.Attach{Epoch: epoch, Owner: "gate"})
		if err != nil {
			t.Fatal(err)
		}
		if r.Full {
			t.Errorf("epoch %d: the state from before the start is reported as full", epoch)
		}
	}
}

// Guards against a start without a response that the node goes on trying after the
// owner has withdrawn it, and against one that is carried out late.
func TestWithdrawnStartIsStopped(t *testing.T) {
	e := &fakeExecutor{}
	for range 1000 {
		e.errs = append(e.errs, errorOfKind(hv.Uncertain))
	}
	n := newNode(t, e)
	if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
		t.Fatal(err)
	}
	if err := n.handleOrders(t.Context(), nil, hvorder.Orders{Epoch: 3, Incarnation: "1", Withdraw: true}); err != nil {
		t.Fatal(err)
	}
	n.waitStarted(t)
	stopped := func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return len(e.stops) == 1 && e.stops[0] == testRun
	}
	for deadline := time.Now().Add(2 * time.Second); !stopped(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the withdrawn run was not stopped within 2 s")
		}
	}
	e.mu.Lock()
	calls := len(e.starts)
	e.mu.Unlock()
	time.Sleep(3 * callRetryInterval)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.starts) > calls+1 {
		t.Fatalf("%d start calls after the withdrawal", len(e.starts)-calls)
	}
}

// Guards against a start that is repeated until the executor responds and exceeds a
// capacity that has shrunk meanwhile, on a host that does not check it itself.
func TestPendingStartsAreWithdrawnWhenCapacityShrinks(t *testing.T) {
	for name, c := range map[string]struct {
		capacity hvjob.Resources
		stopped  bool
	}{
		"less processors": {hvjob.Resources{CPU: 900, Memory: 100, GPU: 1}, true},
		"less memory":     {hvjob.Resources{CPU: 1000, Memory: 99, GPU: 1}, true},
		"no accelerator":  {hvjob.Resources{CPU: 1000, Memory: 100}, true},
		"more":            {hvjob.Resources{CPU: 2000, Memory: 100, GPU: 1}, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := &fakeExecutor{}
			for range 1000 {
				e.errs = append(e.errs, errorOfKind(hv.Uncertain))
			}
			n := newNode(t, e)
			n.Announce("i-1", hvorder.Host{Incarnation: "1", Capacity: hvjob.Resources{CPU: 1000, Memory: 100, GPU: 1}})
			if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
				t.Fatal(err)
			}
			n.Announce("i-1", hvorder.Host{Incarnation: "1", Capacity: c.capacity})
			n.withdrawAfterShrink(t.Context())
			n.mu.Lock()
			defer n.mu.Unlock()
			if pending := n.pendingStarts[testRun]; pending == c.stopped {
				t.Fatalf("start is still repeated: %v, want it withdrawn: %v", pending, c.stopped)
			}
		})
	}
}
