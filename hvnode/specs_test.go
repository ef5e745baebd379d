package hvnode

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvwire/hvwiretest"
)

const testSpec = "work description of the stored job"

// serveSpecs listens for spec requests and returns its address.
func serveSpecs(t *testing.T, answer func() (string, error)) string {
	t.Helper()
	mux := hvwire.Mux{}
	hvwire.Handle(mux, hvorder.MethodSpec, func(context.Context, *hvwire.Conn, hvorder.SpecRequest) (hvorder.Spec, error) {
		text, err := answer()
		return hvorder.Spec{Text: text}, err
	})
	return hvwiretest.Serve(t, mux)
}

// orderWithRef orders starts of two tasks of a job whose work description is at addr.
func orderWithRef(addr string) hvorder.Orders {
	o := startOrder(3)
	o.Specs = nil
	o.Starts = append(o.Starts, hvorder.Start{Profile: hvorder.Profile{Run: hvorder.Run{Task: "0000000000000001.0.0.1", Run: 1}}})
	o.SpecRefs = map[string]hvorder.SpecRef{"0000000000000001": {Addr: addr, Checksum: hvorder.SpecChecksum(testSpec)}}
	return o
}

func checkStarts(t *testing.T, n *Node, e *fakeExecutor) {
	t.Helper()
	n.waitStarted(t)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.starts) != 2 {
		t.Fatalf("%d starts, want 2", len(e.starts))
	}
	for _, s := range e.starts {
		if s.Spec != testSpec {
			t.Errorf("task %s starts with %q", s.Task, s.Spec)
		}
	}
}

// Guards against a work description that is fetched for each task of a job.
func TestSpecIsFetchedOnce(t *testing.T) {
	var requests atomic.Int64
	addr := serveSpecs(t, func() (string, error) {
		requests.Add(1)
		time.Sleep(20 * time.Millisecond)
		return testSpec, nil
	})
	e := &fakeExecutor{}
	n := newNode(t, e)
	if err := n.handleOrders(t.Context(), nil, orderWithRef(addr)); err != nil {
		t.Fatal(err)
	}
	checkStarts(t, n, e)
	if r := requests.Load(); r != 1 {
		t.Errorf("%d requests, want 1", r)
	}
}

// Guards against a start with a description that is not that of the stored job, and
// against a task that never starts because the gate that accepted its job is gone,
// does not know it or has another text.
func TestSpecComesFromOwnerIfGateFails(t *testing.T) {
	for name, addr := range map[string]string{
		"gone":    "127.0.0.1:1",
		"unknown": serveSpecs(t, func() (string, error) { return "", errorOfKind(hv.NotFound) }),
		"other":   serveSpecs(t, func() (string, error) { return strings.ToUpper(testSpec), nil }),
	} {
		t.Run(name, func(t *testing.T) {
			e := &fakeExecutor{}
			n := newNode(t, e)
			attempts := 0
			owner, err := hvwire.Dial(t.Context(), serveSpecs(t, func() (string, error) {
				if attempts++; attempts == 1 {
					return "", errorOfKind(hv.Unavailable)
				}
				return testSpec, nil
			}), hvwire.Mux{})
			if err != nil {
				t.Fatal(err)
			}
			n.ownerConn = owner
			if err := n.handleOrders(t.Context(), owner, orderWithRef(addr)); err != nil {
				t.Fatal(err)
			}
			checkStarts(t, n, e)
		})
	}
}

// Guards against a node that goes on fetching for a start that was withdrawn, and
// starts the run.
func TestWithdrawnStartIsNotFetched(t *testing.T) {
	release := make(chan struct{})
	addr := serveSpecs(t, func() (string, error) {
		<-release
		return testSpec, nil
	})
	e := &fakeExecutor{}
	n := newNode(t, e)
	if err := n.handleOrders(t.Context(), nil, orderWithRef(addr)); err != nil {
		t.Fatal(err)
	}
	if err := n.handleOrders(t.Context(), nil, hvorder.Orders{Epoch: 3, Incarnation: "1", Withdraw: true}); err != nil {
		t.Fatal(err)
	}
	close(release)
	time.Sleep(200 * time.Millisecond)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.starts) != 0 {
		t.Errorf("%d starts after the withdrawal, want none", len(e.starts))
	}
}
