package hvnode

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// latencyRatio returns the ratio of a serving task's latency to its target when
// best-effort work with an effect runs at a share.
func latencyRatio(base, effect float64, share int) float64 {
	return base * (1 + effect*float64(share)/fullShare)
}

// Guards against a share that oscillates between 0 and 100 instead of settling
// where the latency is near its goal.
func TestShareControllerSettles(t *testing.T) {
	var c shareController
	now := time.Unix(1000, 0)
	for i := range 40 {
		now = now.Add(measureInterval)
		share := fullShare - c.reduction
		worst := latencyRatio(0.5, 3, share)
		c.update(now, worst, float64(share)/fullShare*1.4)
		if i > 15 && (worst > 1 || worst < 0.6) {
			t.Fatalf("measurement %d: ratio %.2f at a share of %d", i, worst, share)
		}
	}
}

// Guards against best-effort work that stays throttled after the load has passed.
func TestShareControllerRestoresShare(t *testing.T) {
	c := shareController{reduction: fullShare}
	now := time.Unix(1000, 0)
	for range 12 {
		now = now.Add(measureInterval)
		c.update(now, 0.3, 0)
	}
	if c.reduction != 0 {
		t.Fatalf("share is %d after the load has passed, want 100", fullShare-c.reduction)
	}
}

// Guards against several reductions of the share for one measurement.
func TestShareControllerWaitsForNextMeasurement(t *testing.T) {
	var c shareController
	now := time.Unix(1000, 0)
	first := c.update(now, 1.2, 1)
	if again := c.update(now.Add(measureInterval/2), 1.2, 1); again != first {
		t.Fatalf("share went from %d to %d within one measurement", first, again)
	}
	if first >= fullShare {
		t.Fatal("the share was not reduced although the latency exceeds the target")
	}
}

// Guards against stalled runs that are not detected, and against runs that count
// as stalled because this node throttled them.
func TestStalledRunsAreReported(t *testing.T) {
	n := New("side", Deps{Clock: hv.SystemClock{}})
	now := time.Unix(1000, 0)
	slow, hung, moving := hvorder.Run{Task: "slow", Run: 1}, hvorder.Run{Task: "hung", Run: 1}, hvorder.Run{Task: "moving", Run: 1}
	n.shares[slow] = 0
	for i := range 5 {
		now = now.Add(500 * time.Millisecond)
		n.recordProgress(now, []hv.RunState{{Task: "slow", Run: 1, Percent: 10}, {Task: "hung", Run: 1, Percent: 20}, {Task: "moving", Run: 1, Percent: 10 + i}})
	}
	got := n.newlyStalled(now)
	if len(got) != 1 || got[0] != hung {
		t.Fatalf("stalled runs are %v, want only %v (not %v, %v)", got, hung, slow, moving)
	}
	if again := n.newlyStalled(now); len(again) != 0 {
		t.Fatalf("%v are reported again", again)
	}
}

// Guards against an owner that cannot tell how near a service is to its target.
func TestTailsAreReportedRelativeToTarget(t *testing.T) {
	n := New("side", Deps{Clock: hv.SystemClock{}})
	run := hvorder.Run{Task: "service", Run: 1}
	n.profiles[run] = hvorder.Profile{Run: run, LatencyTarget: 50, Image: "image"}
	n.recordChanges(map[hvorder.Run]int{run: 50}, nil)
	n.recordChanges(map[hvorder.Run]int{run: 25}, nil)
	want := hvorder.TailChange{Image: "image", LogChange: -693, LogRatio: -693}
	if len(n.tailChanges) != 1 || n.tailChanges[0] != want {
		t.Fatalf("changes are %v, want %v", n.tailChanges, want)
	}
	n.recordChanges(map[hvorder.Run]int{run: 50}, nil)
	if got := n.tailChanges[0].LogRatio; got != 1 {
		t.Fatalf("ratio of a tail at its target is %d, want 1, as 0 counts as not measured", got)
	}
}
