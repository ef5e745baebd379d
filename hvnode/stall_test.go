package hvnode

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Guards against all runs of a host that are abandoned, and a host that is blamed for them,
// because its node or its executor stood still for a while: what it missed is no stall.
func TestRunsAreNotStalledByPause(t *testing.T) {
	n, clock := newClockedNode(t)
	n.attachConn(t, &hvwire.Conn{}, 3)
	clockMS := int64(0)
	list := func(pause time.Duration, percent int) {
		clock.advance(pause)
		clockMS += pause.Milliseconds()
		n.applyState(hv.ExecutorState{Incarnation: "1", ClockMS: clockMS, Running: []hv.RunState{{Task: testRun.Task, Run: testRun.Run, Percent: percent}}}, n.currentVersion())
	}
	stalled := func() int {
		_, r, _ := n.nextReport()
		return len(r.Stalled)
	}
	list(500*time.Millisecond, 20)
	clock.advance(3 * time.Second)
	if stalled() > 0 {
		t.Fatal("a run is reported as stalled without a list since the node stood still")
	}
	clockMS += 3000
	list(0, 20)
	if stalled() > 0 {
		t.Fatal("a run is reported as stalled with the first list after the pause")
	}
	for range 4 {
		list(500*time.Millisecond, 20)
	}
	if stalled() != 1 {
		t.Fatal("a run without progress for 2 s is not reported as stalled")
	}
}

// listFor lists runs without progress for some time, as often as renewals do.
func (n *Node) listFor(clock *manualClock, d time.Duration, runs ...hvorder.Run) {
	const gap = renewWaitMS * time.Millisecond
	n.list("1", clock.now.UnixMilli(), runs...)
	for passed := time.Duration(0); passed < d; passed += gap {
		clock.advance(gap)
		n.list("1", clock.now.UnixMilli(), runs...)
	}
}
