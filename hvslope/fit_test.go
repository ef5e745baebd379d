package hvslope

import (
	"math"
	"testing"
)

// Guards against a wrong fit, on which every row of docs/CAPACITY.md rests.
func TestFit(t *testing.T) {
	l := Fit([]float64{11, 100, 400, 790}, []float64{32, 210, 810, 1590})
	if math.Abs(l.Fixed-10) > 1e-9 || math.Abs(l.Each-2) > 1e-9 {
		t.Fatalf("fit %+v, want 10 + 2 for each", l)
	}
	if l := Fit([]float64{5, 5}, []float64{1, 3}); l != (Line{Fixed: 2}) {
		t.Fatalf("fit %+v of one size, want the mean", l)
	}
}

// Guards against inputs that differ between runs: byte counts must repeat.
func TestRecordBytesRepeat(t *testing.T) {
	a, b := newFleet(11).Life(designStarts, 2), newFleet(11).Life(designStarts, 2)
	if a.bytes != b.bytes || a.lives != b.lives || a.lives == 0 {
		t.Fatalf("%d bytes for %d tasks, then %d for %d", a.bytes, a.lives, b.bytes, b.lives)
	}
}

// Guards against heartbeats that the fake gate does not answer like a real
// one: every shard must be owned and every host's attempts accepted.
func TestGateRenewsAllShards(t *testing.T) {
	g := newGate(newFleet(11))
	defer g.close()
	ack := g.beat(t.Context(), 0, 1)
	if len(ack.Renewals) != 16 || ack.Keys == nil || len(ack.Keys.Slots) == 0 {
		t.Fatalf("%d renewals and grant %v, want 16 and key slots", len(ack.Renewals), ack.Keys)
	}
	for _, r := range ack.Renewals {
		if len(r.Stop) > 0 {
			t.Fatalf("shard %d stops %v", r.Shard, r.Stop)
		}
	}
}
