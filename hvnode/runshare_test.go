package hvnode

import (
	"slices"
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

var (
	serviceRun = hvorder.Run{Task: "service", Run: 1}
	loudRun    = hvorder.Run{Task: "loud", Run: 1}
)

// adjustAfter sets the shares after a measurement of a service's tail latency beside an
// interfering run, and returns the calls that this took.
func (n *Node) adjustAfter(t *testing.T, clock *manualClock, tail int) []shareCall {
	t.Helper()
	clock.advance(measureInterval)
	e := n.deps.Executor.(*fakeExecutor)
	before := len(e.shares)
	n.adjustShares(t.Context(), hv.ExecutorState{Incarnation: "1", Running: []hv.RunState{
		{Task: serviceRun.Task, Run: serviceRun.Run, Load: tail},
		{Task: loudRun.Task, Run: loudRun.Run, Load: 1000},
	}})
	return e.shares[before:]
}

// Guards against best-effort work that stands still for good after the node was restarted:
// the process before had throttled it, and the new one took it to have the full share.
func TestRestartedNodeSetsSharesOfListedRuns(t *testing.T) {
	n, clock := serviceNode(t)
	want := shareCall{loudRun, fullShare}
	if calls := n.adjustAfter(t, clock, 2); !slices.Equal(calls, []shareCall{want}) {
		t.Fatalf("calls for a run that another process has started are %v, want %v", calls, want)
	}
}
