package hvnode

import (
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against an executor that ends soon after its announcement, before it has listed
// anything, and whose end is not noticed because an earlier one was: the owner counts the
// runs of both until another one is announced.
func TestSecondEndOfExecutorIsNoticed(t *testing.T) {
	n := newNode(t, &fakeExecutor{})
	for _, incarnation := range []string{"1", "2"} {
		n.Announce("i-"+incarnation, hvorder.Host{Incarnation: incarnation})
		n.refuse()
		if !n.executorGone {
			t.Fatalf("incarnation %s counts as alive after %d refused connections", incarnation, maxRefusedConnections)
		}
	}
}

// Guards against a connection that is refused while an executor starts and that ends the
// new one, because connections to the one before were refused too.
func TestRefusalsOfEarlierExecutorDoNotCount(t *testing.T) {
	n := newNode(t, &fakeExecutor{})
	n.refuse()
	n.Announce("i-2", hvorder.Host{Incarnation: "2"})
	n.handleRenewError(errorOfKind(hv.NotFound))
	if n.executorGone {
		t.Fatal("the new executor counts as ended after one refused connection")
	}
}

// Guards against calls that name no incarnation for the rest of an executor's life, because
// one to the executor before was refused after it had been announced: the incarnation after
// it would carry out those that are late, with leases beyond what the owner counts.
func TestCallsNameIncarnationAfterRefusal(t *testing.T) {
	e := &fakeExecutor{}
	n := newNode(t, e)
	n.handleRenewError(errorOfKind(hv.NotFound))
	if e.expectedInstance != "" {
		t.Fatalf("calls name %q after a refused connection", e.expectedInstance)
	}
	n.applyState(hv.ExecutorState{Incarnation: "2", ClockMS: 100}, n.currentVersion())
	if e.expectedInstance != "" {
		t.Fatalf("calls name %q while an executor responds that is not announced", e.expectedInstance)
	}
	n.applyState(hv.ExecutorState{Incarnation: "1", ClockMS: 100}, n.currentVersion())
	if e.expectedInstance != "i-1" {
		t.Fatalf("calls name %q while the announced executor responds", e.expectedInstance)
	}
}
