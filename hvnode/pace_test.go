package hvnode

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// tail is the ratio of a serving task's latency to its target when fill work
// of a strength runs at a share.
func tail(base, strength float64, share int) float64 {
	return base * (1 + strength*float64(share)/fullPace)
}

// Guards against a share that swings between nothing and all instead of
// settling where the tail is near its goal.
func TestPacerSettles(t *testing.T) {
	var p pacer
	now := time.Unix(1000, 0)
	for i := range 40 {
		now = now.Add(paceInterval)
		share := fullPace - p.cut
		worst := tail(0.5, 3, share)
		p.share(now, worst, float64(share)/fullPace*1.4)
		if i > 15 && (worst > 1 || worst < 0.6) {
			t.Fatalf("measurement %d: ratio %.2f at a share of %d", i, worst, share)
		}
	}
}

// Guards against fill work that stays slow after the load has passed.
func TestPacerGivesBack(t *testing.T) {
	p := pacer{cut: fullPace}
	now := time.Unix(1000, 0)
	for range 12 {
		now = now.Add(paceInterval)
		p.share(now, 0.3, 0)
	}
	if p.cut != 0 {
		t.Fatalf("share is %d after the load has passed", fullPace-p.cut)
	}
}

// Guards against several cuts for one measurement.
func TestPacerWaitsForNextMeasurement(t *testing.T) {
	var p pacer
	now := time.Unix(1000, 0)
	first := p.share(now, 1.2, 1)
	if again := p.share(now.Add(paceInterval/2), 1.2, 1); again != first {
		t.Fatalf("share went from %d to %d within one measurement", first, again)
	}
	if first >= fullPace {
		t.Fatal("the share was not cut above the target")
	}
}

// Guards against stalled runs that are not noticed, and runs that are taken
// for stalled because this node slowed them.
func TestStalledRunsAreReported(t *testing.T) {
	n := New("side", Deps{Clock: hv.SystemClock{}})
	now := time.Unix(1000, 0)
	slow, hung, moving := hvorder.Run{Task: "slow", Run: 1}, hvorder.Run{Task: "hung", Run: 1}, hvorder.Run{Task: "moving", Run: 1}
	n.paces[slow] = 0
	for i := range 5 {
		now = now.Add(500 * time.Millisecond)
		n.advance(now, []hv.RunState{{Task: "slow", Run: 1, Percent: 10}, {Task: "hung", Run: 1, Percent: 20}, {Task: "moving", Run: 1, Percent: 10 + i}})
	}
	got := n.stalled(now)
	if len(got) != 1 || got[0] != hung {
		t.Fatalf("stalled runs are %v, want only %v (not %v, %v)", got, hung, slow, moving)
	}
	if again := n.stalled(now); len(again) != 0 {
		t.Fatalf("%v are reported again", again)
	}
}
