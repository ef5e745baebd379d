package hvnode

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// kinded returns an error with a kind.
func kinded(kind hv.ErrorKind) error {
	return &hv.Error{Op: "call", Kind: kind, Err: errors.New(string(kind))}
}

// fakeExecutor answers as a test says and notes its calls.
type fakeExecutor struct {
	mu      sync.Mutex
	starts  []hv.StartRun
	stops   []hvorder.Run
	errs    []error
	holding hv.ExecutorState
	// holdErr is the answer to holds if it is set.
	holdErr error
}

func (e *fakeExecutor) Expect(string) {}

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

func (e *fakeExecutor) RenewLeases(context.Context, hv.LeaseRenewal) (hv.ExecutorState, error) {
	return e.holding, e.holdErr
}

func (e *fakeExecutor) Throttle(context.Context, string, int, int, int64) error { return nil }

func newNode(t *testing.T, e *fakeExecutor) *Node {
	t.Helper()
	e.holding.Incarnation = "1"
	n := New("side", Deps{Clock: hv.SystemClock{}, Executor: e, Logger: log.NewNopLogger()})
	n.Announce("i-1", hvorder.Host{Incarnation: "1", Capacity: hvjob.Resources{CPU: 1000}})
	if _, err := n.attach(t.Context(), nil, hvorder.Attach{Epoch: 3, Owner: "gate"}); err != nil {
		t.Fatal(err)
	}
	return n
}

var one = hvorder.Run{Task: "0000000000000001.0.0.0", Run: 4}

func startOrder(epoch int64) hvorder.Orders {
	return hvorder.Orders{Epoch: epoch, Incarnation: "1", Until: 9000, Specs: map[string]string{"0000000000000001": "work"}, Starts: []hvorder.Start{{Profile: hvorder.Profile{Run: one}}}}
}

func (n *Node) waitSettled(t *testing.T) {
	t.Helper()
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		n.mu.Lock()
		left := len(n.pending)
		n.mu.Unlock()
		if left == 0 {
			return
		}
	}
	t.Fatal("the start is pending after 2 s")
}

// Guards against a start that is repeated under another number, or given up,
// when it got no answer.
func TestStartIsRepeatedUntilAnswered(t *testing.T) {
	e := &fakeExecutor{errs: []error{kinded(hv.Uncertain), kinded(hv.Uncertain)}}
	n := newNode(t, e)
	if err := n.obey(t.Context(), startOrder(3)); err != nil {
		t.Fatal(err)
	}
	n.waitSettled(t)
	if len(e.starts) != 3 {
		t.Fatalf("%d calls, want 3", len(e.starts))
	}
	for _, s := range e.starts {
		if s.Task != one.Task || s.Run != one.Run || s.Spec != "work" || s.Epoch != 3 || s.LeaseEnd != 9000 {
			t.Fatalf("start is %+v", s)
		}
	}
	if len(n.refused) != 0 {
		t.Fatalf("refused %v", n.refused)
	}
}

// Guards against refusals that the owner does not learn of.
func TestRefusalsAreReported(t *testing.T) {
	for _, kind := range []hv.ErrorKind{hv.Full, hv.Expired, hv.Conflict, hv.Invalid} {
		e := &fakeExecutor{errs: []error{kinded(kind)}}
		n := newNode(t, e)
		if err := n.obey(t.Context(), startOrder(3)); err != nil {
			t.Fatal(err)
		}
		n.waitSettled(t)
		n.mu.Lock()
		if len(n.refused) != 1 || n.refused[0].Kind != kind || n.refused[0].Run != one {
			t.Errorf("refused %v, want kind %s", n.refused, kind)
		}
		n.mu.Unlock()
	}
}

// Guards against orders of an owner that has been replaced, and of one that
// means another life of the executor.
func TestStaleOrdersAreRefused(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	if err := n.obey(t.Context(), startOrder(2)); hv.KindOf(err) != hv.Conflict {
		t.Errorf("orders of an older epoch: %v", err)
	}
	o := startOrder(3)
	o.Incarnation = "0"
	if err := n.obey(t.Context(), o); hv.KindOf(err) != hv.NotFound {
		t.Errorf("orders for another life: %v", err)
	}
	if _, err := n.attach(t.Context(), nil, hvorder.Attach{Epoch: 2}); hv.KindOf(err) != hv.Conflict {
		t.Errorf("attach of an older epoch: %v", err)
	}
	if len(e.starts) != 0 {
		t.Fatalf("%d starts", len(e.starts))
	}
}

// Guards against starts on an executor that has said that it drains.
func TestDrainingExecutorStartsNothing(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	n.Announce("i-1", hvorder.Host{Incarnation: "1", Capacity: hvjob.Resources{CPU: 1000}, Draining: true})
	if err := n.obey(t.Context(), startOrder(3)); err != nil {
		t.Fatal(err)
	}
	if len(e.starts) != 0 || len(n.refused) != 1 {
		t.Fatalf("%d starts, refused %v", len(e.starts), n.refused)
	}
}

// Guards against a stopped run that is neither listed as ended nor reported, so
// that its task never starts again.
func TestBarredRunIsReported(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	n.stop(t.Context(), one, 3)
	if len(e.stops) != 1 || len(n.stopped) != 1 || n.stopped[0] != one {
		t.Fatalf("stops %v, reported %v", e.stops, n.stopped)
	}
	e.holding.Running = []hv.RunState{{Task: one.Task, Run: one.Run}}
	n.stop(t.Context(), one, 3)
	if len(n.stopped) != 1 {
		t.Fatal("a run that has not ended yet is reported as stopped")
	}
}

// Guards against acknowledging ends of one life in the next.
func TestNewLifeForgetsAcknowledgements(t *testing.T) {
	n := newNode(t, &fakeExecutor{})
	n.seen, n.until = 40, 9000
	n.take(hv.ExecutorState{Incarnation: "2", ClockMS: 1}, n.version())
	if h, _, _ := n.nextHold(); h.AckedEnd != 0 || h.LeaseEnd != 0 {
		t.Fatalf("next hold is %+v", h)
	}
}

// Guards against an older answer that replaces a newer one.
func TestOvertakenListIsIgnored(t *testing.T) {
	n := newNode(t, &fakeExecutor{})
	n.take(hv.ExecutorState{Incarnation: "1", ClockMS: 500, Running: []hv.RunState{{Task: "new", Run: 1}}}, n.version())
	n.take(hv.ExecutorState{Incarnation: "1", ClockMS: 400}, n.version())
	if len(n.lists.Running) != 1 {
		t.Fatal("an older list replaced a newer one")
	}
}

// Guards against a task that starts again although the run of a call without an
// answer has ended: the executor refuses the repeat, as its number is used up.
func TestEndedRunIsNotRefused(t *testing.T) {
	e := &fakeExecutor{errs: []error{kinded(hv.Uncertain), kinded(hv.Expired)}}
	n := newNode(t, e)
	e.holding.Ended = []hv.RunEnd{{Number: 1, Task: one.Task, Run: one.Run, Reason: hv.EndDone}}
	if err := n.obey(t.Context(), startOrder(3)); err != nil {
		t.Fatal(err)
	}
	n.waitSettled(t)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.refused) != 0 {
		t.Fatalf("refused %v although the run has ended", n.refused)
	}
}

// Guards against a new incarnation of the executor that is told to forget ends
// by the numbers of the one before: after a call without an answer the next
// one only looks.
func TestHoldAfterFailureOnlyLooks(t *testing.T) {
	n := newNode(t, &fakeExecutor{})
	n.seen, n.until = 20, 9000
	if h, _, _ := n.nextHold(); h.AckedEnd != 20 || h.LeaseEnd != 9000 {
		t.Fatalf("hold is %+v", h)
	}
	n.missed(kinded(hv.Uncertain), 0)
	if h, _, _ := n.nextHold(); h.AckedEnd != 0 || h.LeaseEnd != 0 || h.WaitMS != 0 {
		t.Fatalf("hold after a failure is %+v", h)
	}
	n.take(hv.ExecutorState{Incarnation: "1", ClockMS: 700}, n.version())
	if h, _, _ := n.nextHold(); h.AckedEnd != 20 {
		t.Fatalf("hold after the same life answered is %+v", h)
	}
}

// Guards against a start that is given back although an earlier call of it may
// still be carried out: it is barred first.
func TestDoubtfulStartIsBarredBeforeItIsGivenBack(t *testing.T) {
	for _, kind := range []hv.ErrorKind{hv.Full, hv.Invalid} {
		e := &fakeExecutor{errs: []error{kinded(hv.Uncertain), kinded(kind)}}
		n := newNode(t, e)
		if err := n.obey(t.Context(), startOrder(3)); err != nil {
			t.Fatal(err)
		}
		n.waitSettled(t)
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
				t.Fatalf("%s: the start is not given back", kind)
			}
		}
		if len(e.stops) != 1 || e.stops[0] != one {
			t.Errorf("%s: stops are %v", kind, e.stops)
		}
	}
}

// Guards against a task that starts twice at once: a full report that is made of
// lists from before a start tells the owner that the run is not on the host.
func TestFullReportNeedsListsOfTheEpoch(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	if err := n.obey(t.Context(), startOrder(3)); err != nil {
		t.Fatal(err)
	}
	n.waitSettled(t)
	e.holdErr = kinded(hv.Uncertain)
	for _, epoch := range []int64{3, 4} {
		r, err := n.attach(t.Context(), nil, hvorder.Attach{Epoch: epoch, Owner: "gate"})
		if err != nil {
			t.Fatal(err)
		}
		if r.Full {
			t.Errorf("epoch %d: lists from before the start are reported as full", epoch)
		}
	}
}
