package hvnode

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

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

// isStartKept reports whether a start that the executor leaves unanswered is still repeated
// after an announcement.
func isStartKept(t *testing.T, h hvorder.Host) bool {
	t.Helper()
	e := &fakeExecutor{}
	for range 1000 {
		e.errs = append(e.errs, errorOfKind(hv.Uncertain))
	}
	n := newNode(t, e)
	n.Announce("i-1", hvorder.Host{Incarnation: "1", Capacity: hvjob.Resources{CPU: 1000, Memory: 100, GPU: 1}})
	if err := n.handleOrders(t.Context(), nil, startOrder(3)); err != nil {
		t.Fatal(err)
	}
	n.Announce("i-1", h)
	n.withdrawIfDue(t.Context())
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pendingStarts[testRun]
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
			if kept := isStartKept(t, hvorder.Host{Incarnation: "1", Capacity: c.capacity}); kept == c.stopped {
				t.Fatalf("start is still repeated: %v, want it withdrawn: %v", kept, c.stopped)
			}
		})
	}
}

// Guards against a start that is repeated until the executor responds and begins long after
// that has announced that it drains.
func TestPendingStartsAreWithdrawnWhenExecutorDrains(t *testing.T) {
	if isStartKept(t, hvorder.Host{Incarnation: "1", Capacity: hvjob.Resources{CPU: 1000, Memory: 100, GPU: 1}, Draining: true}) {
		t.Fatal("start is still repeated at an executor that drains, want it withdrawn")
	}
}
