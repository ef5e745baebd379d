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

// Guards against a side that stays connected to the gates of its local file
// although the settings list gates in its region.
func TestGatesFollowSettings(t *testing.T) {
	f := newFixture(t, 1)
	listed, far := newGate(t), newGate(t)
	files := hvconf.Files{"10.json": json.RawMessage(`{
		"limits": {"beat": "100ms"}, "zones": {"a": {"region": "r1"}, "b": {"region": "r2"}},
		"gates": {"g": {"zone": "a", "address": "` + listed.address + `"}, "far": {"zone": "b", "address": "` + far.address + `"}}
	}`)}
	first := f.gates[0]
	first.update(func(g *fakeGate) { g.settings = settingsState(t, files) })
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
		t.Error("the side connected to a gate in another region")
	}
}

// Guards against a side that does not announce itself to a restarted gate, and
// against a sequence that starts again on a new connection: the gate would ignore
// the heartbeats.
func TestReconnect(t *testing.T) {
	f := newFixture(t, 1)
	f.start()
	g := f.gates[0]
	g.awaitHeartbeats(t)
	conn := get(g, func(g *fakeGate) *hvwire.Conn { return g.conn })
	sequence := get(g, func(g *fakeGate) uint64 { return g.heartbeat.Sequence })
	conn.Close()
	eventually(t, "another connection", func() bool { return get(g, func(g *fakeGate) bool { return g.conn != conn }) })
	g.awaitHeartbeats(t)
	if now := get(g, func(g *fakeGate) uint64 { return g.heartbeat.Sequence }); now <= sequence {
		t.Errorf("sequence %d after %d", now, sequence)
	}
	heartbeats := get(g, func(g *fakeGate) int { g.forgetSide = true; g.announcements = 0; return g.heartbeats })
	eventually(t, "another announcement", func() bool {
		return get(g, func(g *fakeGate) bool { return g.announcements > 0 && g.heartbeats > heartbeats })
	})
}

// Guards against a lease that begins at the receipt of a delayed start, and so
// lasts longer than its owner assumes.
func TestLeaseCountsFromHeartbeat(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	delayed := f.startRequest(a, hv.Attempt{Task: "t1", Number: 1}, "hang")
	f.clock.advance(lease + time.Second)
	if err := f.gates[0].call(hvwire.MethodStart, delayed, &hvwire.Ack{}); hv.KindOf(err) != hv.Expired {
		t.Errorf("a start that arrived after the end of its lease: %v", err)
	}
	delayed.HeartbeatSequence = 1 << 40
	if err := f.gates[0].call(hvwire.MethodStart, delayed, &hvwire.Ack{}); hv.KindOf(err) != hv.Expired {
		t.Errorf("a start that names an unknown heartbeat: %v", err)
	}
	if got := f.endReasons(); len(got) != 0 {
		t.Errorf("attempts at the worker: %q", got)
	}
}

// Guards against a handover that loses keys: the successor must respond from the
// memory of the owner, and the owner must stop serving the keys.
func TestHandover(t *testing.T) {
	owner, successor := newFixture(t, 1), newFixture(t, 1)
	var runs atomic.Int64
	for _, f := range []*fixture{owner, successor} {
		f.addUpstream(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
		f.gates[0].grantAll(owner.clock.Now())
	}
	successor.conf.Host.Name = "h2"
	successor.gates[0].update(func(g *fakeGate) { g.grant = nil })
	a, _ := owner.start()
	b, _ := successor.start()
	eventually(t, "the grant", func() bool { return len(a.service.keys.memory.ServedSlots()) == 256 })
	owner.clock.advance(5 * time.Second)
	successor.clock.advance(5 * time.Second)
	key := keyAt(owner.clock.Now())
	var first, second hv.Response
	if err := owner.gates[0].call(hvwire.MethodRun, request("r1", key), &first); err != nil || first.Outcome != hv.Done {
		t.Fatalf("%+v, error %v", first, err)
	}
	slots := a.service.keys.memory.ServedSlots()
	req := hvwire.Handover{Service: "label", Successor: b.incarnation, Slots: slots}
	var part, done hvwire.HandoverAck
	if err := owner.gates[0].call(hvwire.MethodHandover, req, &part); err != nil || part.Part.Parts != 1 {
		t.Fatalf("%+v, error %v", part, err)
	}
	if err := owner.gates[0].call(hvwire.MethodRun, request("r2", key), &second); err != nil || second.Outcome != hv.NotRun {
		t.Errorf("the owner after the handover: %+v, error %v", second, err)
	}
	if err := successor.gates[0].call(hvwire.MethodHandover, hvwire.Handover{Service: "label", Successor: b.incarnation, Part: part.Part}, &done); err != nil || !done.Done {
		t.Fatalf("%+v, error %v", done, err)
	}
	successor.gates[0].grantAll(time.UnixMilli(part.Part.Slots[0].Since))
	eventually(t, "the grant", func() bool { return len(b.service.keys.memory.ServedSlots()) == 256 })
	if err := successor.gates[0].call(hvwire.MethodRun, request("r3", key), &second); err != nil || second.Outcome != hv.Done || second.ID != "r3" {
		t.Errorf("the successor after the handover: %+v, error %v", second, err)
	}
	if runs.Load() != 1 {
		t.Errorf("the key ran %d times", runs.Load())
	}
	// A gate frees the slots that are listed as released, so they must be listed
	// only after the handover has failed.
	failed := func() int { return get(owner.gates[0], func(g *fakeGate) int { return len(g.heartbeat.Released) }) }
	owner.gates[0].awaitHeartbeats(t)
	if n := failed(); n != 0 {
		t.Errorf("%d slots are listed as released during the handover", n)
	}
	owner.clock.advance(handoverFailedAfter)
	eventually(t, "the list of released slots", func() bool { return failed() == len(slots) })
}

// Guards against a side that keeps sending the checksum of a list that its gate
// has lost: its leases would expire.
func TestGateThatLostListReceivesItAgain(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	attempt := f.startAttempt(a, "hang")
	g := f.gates[0]
	for range 2 {
		omitted := get(g, func(g *fakeGate) int { return g.omitted })
		eventually(t, "a heartbeat without the list", func() bool { return get(g, func(g *fakeGate) int { return g.omitted }) > omitted })
		g.update(func(g *fakeGate) { g.heartbeat.Attempts = nil })
		eventually(t, "the list", func() bool {
			return get(g, func(g *fakeGate) bool {
				return len(g.heartbeat.Attempts) == 1 && g.heartbeat.Attempts[0].Attempt == attempt
			})
		})
	}
}
