package hvslope

import (
	"encoding/json"
	"math"
	"testing"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Guards against a wrong fit, on which every row of docs/CAPACITY.md rests.
func TestFit(t *testing.T) {
	l := Fit([]float64{11, 100, 400, 790}, []float64{32, 210, 810, 1590})
	if math.Abs(l.Intercept-10) > 1e-9 || math.Abs(l.Slope-2) > 1e-9 {
		t.Fatalf("fit %+v, want 10 + 2 for each", l)
	}
	if l := Fit([]float64{5, 5}, []float64{1, 3}); l != (Line{Intercept: 2}) {
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

// Guards against a gate that believes a host to hold nothing, or stops what it
// holds, when the heartbeat leaves out unchanged lists.
func TestGateTakesUnchangedLists(t *testing.T) {
	t.Parallel()
	g := newGate(newFleet(11))
	defer g.close()
	want := map[int]bool{}
	for _, a := range g.attempts(0) {
		want[a.Shard] = true
	}
	for sequence := range uint64(3) {
		ack := g.beat(t.Context(), 0, 2+sequence)
		if len(ack.Renewals) != len(want) || !ack.AttemptsStored || ack.Grant == nil || len(ack.Grant.Slots) == 0 {
			t.Fatalf("heartbeat %d: %d renewals and grant %v, want %d and key slots", sequence, len(ack.Renewals), ack.Grant, len(want))
		}
		for _, r := range ack.Renewals {
			if len(r.Stop) > 0 || !want[r.Shard] {
				t.Fatalf("shard %d, which holds attempts of the host: %v, stops %v", r.Shard, want[r.Shard], r.Stop)
			}
		}
	}
	if b := g.next(0, 5, true); b.AttemptsChecksum == 0 || b.SlotsChecksum == 0 || b.Attempts != nil {
		t.Fatalf("heartbeat %+v is not shortened", b)
	}
}

// Guards against renewals for a list that the gate does not hold: after a
// restart it must ignore the heartbeat and not take the host for empty.
func TestGateIgnoresUnknownLists(t *testing.T) {
	t.Parallel()
	g := newGate(newFleet(11))
	defer g.close()
	b := heartbeat(0, 2, nil)
	b.AttemptsChecksum = 12345
	var ack hvwire.HeartbeatAck
	if err := json.Unmarshal(g.call(t.Context(), 0, hvwire.MethodHeartbeat, encode(b)), &ack); err != nil {
		t.Fatal(err)
	}
	if ack.AttemptsStored || len(ack.Renewals) > 0 || ack.Grant != nil {
		t.Fatalf("answer %+v renews for a list that the gate does not hold", ack)
	}
}
