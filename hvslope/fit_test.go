package hvslope

import (
	"encoding/json"
	"math"
	"testing"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Checks the fit behind every slope in docs/CAPACITY.md.
func TestFit(t *testing.T) {
	l := Fit([]float64{11, 100, 400, 790}, []float64{32, 210, 810, 1590})
	if math.Abs(l.Intercept-10) > 1e-9 || math.Abs(l.Slope-2) > 1e-9 {
		t.Fatalf("fit %+v, want intercept 10 and slope 2", l)
	}
	if l := Fit([]float64{5, 5}, []float64{1, 3}); l != (Line{Intercept: 2}) {
		t.Fatalf("fit %+v of points with equal x, want the mean of y", l)
	}
}

// Checks that two simulations of the same fleet write the same number of bytes,
// so that the byte counts of the tables are reproducible.
func TestRecordBytesRepeat(t *testing.T) {
	a, b := newFleet(11).Simulate(designStarts, 2), newFleet(11).Simulate(designStarts, 2)
	if a.bytes != b.bytes || a.completed != b.completed || a.completed == 0 {
		t.Fatalf("%d bytes for %d tasks in the first run, %d for %d in the second, want the same and at least one task", a.bytes, a.completed, b.bytes, b.completed)
	}
}

// A gate must not take a host for empty, or stop its attempts, when a heartbeat
// omits lists that have not changed.
func TestGateAcceptsUnchangedLists(t *testing.T) {
	t.Parallel()
	g := newGate(newFleet(11))
	defer g.close()
	want := g.shardsOf(0)
	for sequence := range uint64(3) {
		ack := g.sendHeartbeat(t.Context(), 0, 2+sequence)
		if len(ack.Renewals) != len(want) || !ack.AttemptsStored || ack.Grant == nil || len(ack.Grant.Slots) == 0 {
			t.Fatalf("heartbeat %d: %d renewals and grant %v, want %d renewals and a grant with key slots", sequence, len(ack.Renewals), ack.Grant, len(want))
		}
		for _, r := range ack.Renewals {
			if len(r.Stop) > 0 || !want[r.Shard] {
				t.Fatalf("shard %d (has attempts on the host: %v) stops %v, want a shard with attempts and no stops", r.Shard, want[r.Shard], r.Stop)
			}
		}
	}
	if b := g.nextHeartbeat(0, 5, true); b.AttemptsChecksum == 0 || b.SlotsChecksum == 0 || b.Attempts != nil {
		t.Fatalf("heartbeat %+v does not replace its unchanged lists by checksums", b)
	}
}

// A gate that does not have the list behind a checksum, as after a restart, must
// ignore the heartbeat: it must neither renew leases nor take the host for
// empty.
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
		t.Fatalf("response %+v, want no renewals and no grant for a list that the gate does not have", ack)
	}
}
