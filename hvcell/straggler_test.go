package hvcell

import (
	"testing"
	"time"
)

// Guards against runs that are stopped, and hosts that are blamed for them, because nothing was
// heard of the host for a while: the owner or the link stood still, and the runs may be done.
func TestRunsOnSilentHostAreNoStragglers(t *testing.T) {
	step := testStep(4, 1000)
	step.Estimate = 50
	w := newRunningCluster(t, 1, step)
	w.advance(4 * time.Second)
	if n := w.cell.Counts().Stopped; n > 0 {
		t.Fatalf("%d runs were stopped as stragglers while nothing was heard of their host", n)
	}
	w.exchange()
	if n := w.cell.Counts().Stopped; n != 4 {
		t.Fatalf("%d runs were stopped that take 80 times as long as expected, want 4", n)
	}
}
