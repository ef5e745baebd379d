package hvagent

import (
	"encoding/json"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Guards against a side that stays with the gates of its file: it follows the
// gates of its own region in the settings.
func TestGatesFollowSettings(t *testing.T) {
	f := newFixture(t, 1)
	listed, far := newGate(t), newGate(t)
	files := hvconf.Files{"10.json": json.RawMessage(`{
		"limits": {"beat": "100ms"}, "zones": {"a": {"region": "r1"}, "b": {"region": "r2"}},
		"gates": {"g": {"zone": "a", "address": "` + listed.address + `"}, "far": {"zone": "b", "address": "` + far.address + `"}}
	}`)}
	first := f.gates[0]
	first.set(func(g *fakeGate) { g.settings = state(t, files) })
	f.gates[0] = listed
	f.start()
	eventually(t, "the end of the connection to the other gate", func() bool {
		select {
		case <-get(first, func(g *fakeGate) *hvwire.Conn { return g.conn }).Done():
			return true
		default:
			return false
		}
	})
	if get(far, func(g *fakeGate) bool { return g.conn != nil }) {
		t.Error("the side dialed a gate of another region")
	}
}

// Guards against a side that a restarted gate does not know, and against a
// sequence that starts again on a new connection, which the gate would ignore.
func TestReconnect(t *testing.T) {
	f := newFixture(t, 1)
	f.start()
	g := f.gates[0]
	g.nextBeats(t)
	first := get(g, func(g *fakeGate) *hvwire.Conn { return g.conn })
	sequence := get(g, func(g *fakeGate) uint64 { return g.beat.Sequence })
	first.Close()
	eventually(t, "another connection", func() bool { return get(g, func(g *fakeGate) bool { return g.conn != first }) })
	g.nextBeats(t)
	if now := get(g, func(g *fakeGate) uint64 { return g.beat.Sequence }); now <= sequence {
		t.Errorf("sequence %d after %d", now, sequence)
	}
	again := get(g, func(g *fakeGate) int { g.forgot = true; g.announced = 0; return g.beats })
	eventually(t, "another announcement", func() bool {
		return get(g, func(g *fakeGate) bool { return g.announced > 0 && g.beats > again })
	})
}

// Guards against a lease that counts from the receipt of a delayed start.
func TestLeaseCountsFromHeartbeat(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	late := f.order(a, hv.Attempt{Task: "t1", Number: 1}, "hang")
	f.clock.pass(lease + time.Second)
	if err := f.gates[0].call(hvwire.MethodStart, late, &hvwire.Ack{}); hv.KindOf(err) != hv.Expired {
		t.Errorf("a start that came after its lease: %v", err)
	}
	late.HeartbeatSequence = 1 << 40
	if err := f.gates[0].call(hvwire.MethodStart, late, &hvwire.Ack{}); hv.KindOf(err) != hv.Expired {
		t.Errorf("a start by an unknown heartbeat: %v", err)
	}
	if got := f.why(); len(got) != 0 {
		t.Errorf("attempts at the worker: %q", got)
	}
}

// Guards against a handover that loses keys: the heir answers from the memory
// of the owner, and the owner serves no more.
func TestHandover(t *testing.T) {
	owner, heir := newFixture(t, 1), newFixture(t, 1)
	var runs atomic.Int64
	for _, f := range []*fixture{owner, heir} {
		f.serve(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		f.gates[0].grantAll(owner.clock.Now())
	}
	heir.conf.Host.Name = "h2"
	heir.gates[0].set(func(g *fakeGate) { g.keys = nil })
	a, _ := owner.start()
	b, _ := heir.start()
	eventually(t, "the grant", func() bool { return len(a.service.keys.memory.ServedSlots()) == 256 })
	owner.clock.pass(5 * time.Second)
	heir.clock.pass(5 * time.Second)
	key := keyAt(owner.clock.Now())
	var first, second hv.Response
	if err := owner.gates[0].call(hvwire.MethodRun, request("r1", key), &first); err != nil || first.Outcome != hv.Done {
		t.Fatalf("%+v, error %v", first, err)
	}
	slots := a.service.keys.memory.ServedSlots()
	ask := hvwire.Handover{Service: "label", Successor: b.incarnation, Slots: slots}
	var part, done hvwire.HandoverAck
	if err := owner.gates[0].call(hvwire.MethodHandover, ask, &part); err != nil || part.Part.Parts != 1 {
		t.Fatalf("%+v, error %v", part, err)
	}
	if err := owner.gates[0].call(hvwire.MethodRun, request("r2", key), &second); err != nil || second.Outcome != hv.NotRun {
		t.Errorf("the owner after the handover: %+v, error %v", second, err)
	}
	if err := heir.gates[0].call(hvwire.MethodHandover, hvwire.Handover{Service: "label", Successor: b.incarnation, Part: part.Part}, &done); err != nil || !done.Done {
		t.Fatalf("%+v, error %v", done, err)
	}
	heir.gates[0].grantAll(time.UnixMilli(part.Part.Slots[0].Since))
	eventually(t, "the grant", func() bool { return len(b.service.keys.memory.ServedSlots()) == 256 })
	if err := heir.gates[0].call(hvwire.MethodRun, request("r3", key), &second); err != nil || second.Outcome != hv.Done || second.ID != "r3" {
		t.Errorf("the heir: %+v, error %v", second, err)
	}
	if runs.Load() != 1 {
		t.Errorf("the key ran %d times", runs.Load())
	}
	// A gate frees slots that are listed, so they are listed only when the
	// handover has failed.
	stranded := func() int { return get(owner.gates[0], func(g *fakeGate) int { return len(g.beat.Released) }) }
	owner.gates[0].nextBeats(t)
	if n := stranded(); n != 0 {
		t.Errorf("%d slots are listed during the handover", n)
	}
	owner.clock.pass(strandedAfter)
	eventually(t, "the list of released slots", func() bool { return stranded() == len(slots) })
}

// Guards against a side that goes on to name a list that its gate has lost:
// its leases would lapse.
func TestGateThatLostTheListGetsIt(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	attempt := f.place(a, "hang")
	g := f.gates[0]
	for range 2 {
		short := get(g, func(g *fakeGate) int { return g.short })
		eventually(t, "a short heartbeat", func() bool { return get(g, func(g *fakeGate) int { return g.short }) > short })
		g.set(func(g *fakeGate) { g.beat.Attempts = nil })
		eventually(t, "the list", func() bool {
			return get(g, func(g *fakeGate) bool { return len(g.beat.Attempts) == 1 && g.beat.Attempts[0].Attempt == attempt })
		})
	}
}
