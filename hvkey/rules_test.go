package hvkey

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	hv "hibiscusvane.example/hibiscusvane"
)

// keyAt returns a key with the given creation time.
func keyAt(at time.Time) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000)
	id[8] = 0x80
	return id.String()
}

func grantAll(offset hv.Offset, sent, since time.Time) Grant {
	g := Grant{Offset: offset, HeartbeatSent: sent, LeaseDuration: lease}
	for i := range SlotCount {
		g.Slots = append(g.Slots, SlotGrant{Slot: i, Since: since.UnixMilli()})
	}
	return g
}

// markFirstOwner marks all slots of a grant as not owned before.
func markFirstOwner(g Grant) Grant {
	for i := range g.Slots {
		g.Slots[i].FirstOwner = true
	}
	return g
}

func beginErrorKind(m *Store, key string) hv.ErrorKind {
	if _, _, err := m.Begin(key, 1); err != nil {
		return hv.KindOf(err)
	}
	return ""
}

// TestGrantRules guards against running a key that another owner may have run.
// Each case is one way in which a side can misjudge its ownership.
func TestGrantRules(t *testing.T) {
	zero := time.Unix(1e9, 0)
	at := func(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }
	part := func(number, parts int) HandoverPart {
		return HandoverPart{From: "old", Index: number, Parts: parts, Slots: []HandoverSlot{{Slot: SlotOf(keyAt(at(5))), Since: zero.UnixMilli(), CompleteSince: zero.UnixMilli()}}}
	}
	for name, c := range map[string]struct {
		prepare func(*Store)
		now     time.Time
		key     string
		want    hv.ErrorKind
	}{
		"key after the start":                 {func(m *Store) { m.ApplyGrant(grantAll(1, zero, zero)) }, at(5), keyAt(at(3)), ""},
		"key within the clock skew":           {func(m *Store) { m.ApplyGrant(grantAll(1, zero, zero)) }, at(5), keyAt(at(1)), hv.Uncertain},
		"first owner":                         {func(m *Store) { m.ApplyGrant(markFirstOwner(grantAll(1, zero, zero))) }, at(5), keyAt(at(-3)), ""},
		"first owner, no time in key":         {func(m *Store) { m.ApplyGrant(markFirstOwner(grantAll(1, zero, zero))) }, at(5), "label-7", ""},
		"second owner, no time":               {func(m *Store) { m.ApplyGrant(grantAll(1, zero, zero)) }, at(5), "label-7", hv.Uncertain},
		"key from the future":                 {func(m *Store) { m.ApplyGrant(grantAll(1, zero, zero)) }, at(5), keyAt(at(9)), hv.Invalid},
		"old owner ran until its lease ended": {func(m *Store) { m.ApplyGrant(grantAll(1, zero, at(-11))) }, at(5), keyAt(at(-3)), hv.Uncertain},
		"lease counts from the heartbeat":     {func(m *Store) { m.ApplyGrant(grantAll(1, at(-9), zero)) }, at(5), keyAt(at(3)), hv.Expired},
		"older offset":                        {func(m *Store) { m.ApplyGrant(Grant{Offset: 2}); m.ApplyGrant(grantAll(1, zero, zero)) }, at(5), keyAt(at(3)), hv.NotFound},
		"not in the newer grant":              {func(m *Store) { m.ApplyGrant(grantAll(1, zero, zero)); m.ApplyGrant(Grant{Offset: 2}) }, at(5), keyAt(at(3)), hv.NotFound},
		"released": {func(m *Store) {
			m.ApplyGrant(grantAll(1, zero, zero))
			m.Release("me", allSlots())
			m.ApplyGrant(grantAll(2, zero, zero))
		}, at(5), keyAt(at(3)), hv.NotFound},
		"handover with all parts":      {func(m *Store) { importParts(m, part(0, 2), part(1, 2)) }, at(20), keyAt(at(5)), ""},
		"handover with a missing part": {func(m *Store) { importParts(m, part(0, 2)) }, at(20), keyAt(at(5)), hv.Uncertain},
		"handover of older ownership": {func(m *Store) {
			importParts(m, HandoverPart{From: "old", Parts: 1, Slots: []HandoverSlot{{Slot: SlotOf(keyAt(at(5))), Since: 1, CompleteSince: 1}}})
		}, at(20), keyAt(at(5)), hv.Uncertain},
		"other request with a running key": {func(m *Store) { m.ApplyGrant(grantAll(1, zero, zero)); _, _, _ = m.Begin(keyAt(at(2)), 2) }, at(5), keyAt(at(2)), hv.Conflict},
	} {
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: zero}
			m := New(Config{}, clock, func(int, string) {})
			c.prepare(m)
			clock.now = c.now
			if c.now == at(20) {
				m.ApplyGrant(grantAll(3, at(20), zero))
			}
			if got := beginErrorKind(m, c.key); got != c.want {
				t.Errorf("got %q, want %q", got, c.want)
			}
		})
	}
}

func importParts(m *Store, parts ...HandoverPart) {
	for _, p := range parts {
		if _, err := m.Import(p); err != nil {
			panic(err)
		}
	}
}

func allSlots() []int {
	all := make([]int, SlotCount)
	for i := range all {
		all[i] = i
	}
	return all
}

// TestTableRules guards against two owners of a slot and against a new owner that
// continues an earlier ownership although it did not receive its key records.
func TestTableRules(t *testing.T) {
	table := NewTable(func(n int, s string) { t.Fatalf("invariant %d: %s", n, s) })
	move := func(from, to string) any {
		return Moves{Service: service, Moves: []Move{{Slot: 7, From: from, To: to}}}
	}
	release := func(from, successor string) any {
		return Release{Service: service, From: from, Successor: successor, Slots: []int{7}}
	}
	for i, c := range []struct {
		kind string
		body any
		at   int64
		want SlotState
	}{
		{KindMove, move("", "a"), 100, SlotState{Owner: "a", Since: 100, Offset: 0, PreviousOwnerStopped: true, FirstOwner: true}},
		{KindMove, move("", "b"), 200, SlotState{Owner: "a", Since: 100, Offset: 0, PreviousOwnerStopped: true, FirstOwner: true}},
		{KindMove, move("a", "b"), 100, SlotState{Owner: "b", Since: 101, Offset: 2}},
		{KindRelease, release("a", "c"), 300, SlotState{Owner: "b", Since: 101, Offset: 2}},
		{KindRelease, release("b", "c"), 300, SlotState{Successor: "c", Since: 101, Offset: 2}},
		{KindMove, move("", "c"), 400, SlotState{Owner: "c", Since: 101, Offset: 5, PreviousOwnerStopped: true}},
		{KindRelease, release("c", "d"), 500, SlotState{Successor: "d", Since: 101, Offset: 5, PreviousOwnerStopped: true}},
		{KindMove, move("", "e"), 600, SlotState{Owner: "e", Since: 600, Offset: 7, PreviousOwnerStopped: true}},
		{"other", move("e", "f"), 700, SlotState{Owner: "e", Since: 600, Offset: 7, PreviousOwnerStopped: true}},
	} {
		body, err := json.Marshal(c.body)
		if err != nil {
			t.Fatal(err)
		}
		// A record is appended again if the response to its append is lost.
		rec := hv.Record{Offset: hv.Offset(i), Time: time.UnixMilli(c.at), Kind: c.kind, Body: body}
		table.Apply(rec)
		table.Apply(rec)
		if got := table.Slot(service, 7); got != c.want {
			t.Errorf("record %d: got %+v, want %+v", i, got, c.want)
		}
	}
}

// TestAssign guards against an uneven assignment and against unnecessary moves.
func TestAssign(t *testing.T) {
	var slots [SlotCount]SlotState
	expectMoves := func(want int, live ...string) {
		t.Helper()
		moves := Assign(slots, live, nil)
		owned := map[string]int{}
		for _, m := range moves {
			slots[m.Slot] = SlotState{Owner: m.To}
		}
		for _, s := range slots {
			owned[s.Owner]++
		}
		for _, name := range live {
			if n := owned[name]; n < SlotCount/len(live) || n > SlotCount/len(live)+1 {
				t.Errorf("%s has %d of %d slots among %d", name, n, SlotCount, len(live))
			}
		}
		if len(moves) != want {
			t.Errorf("%d moves for %v, want %d", len(moves), live, want)
		}
	}
	expectMoves(256, "a", "b")
	expectMoves(0, "b", "a")
	expectMoves(85, "a", "b", "c")
	expectMoves(85, "b", "c")
	expectMoves(128, "d", "b")
}

// Guards against assigning a released slot to a side without its key records
// because its successor is leaving: the new owner would answer recent keys as
// unknown.
func TestAssignGivesReleasedSlotsToTheirSuccessor(t *testing.T) {
	var slots [SlotCount]SlotState
	for i := range slots {
		slots[i] = SlotState{Owner: "a"}
	}
	slots[3] = SlotState{Successor: "b"}
	for _, sides := range []struct{ live, leaving []string }{
		{[]string{"a"}, []string{"b"}},
		{[]string{"a", "b"}, nil},
	} {
		moves := Assign(slots, sides.live, sides.leaving)
		if !slices.Contains(moves, Move{Slot: 3, To: "b"}) {
			t.Errorf("live %v, leaving %v: slot 3 is not assigned to its successor: %v", sides.live, sides.leaving, moves[:min(3, len(moves))])
		}
	}
	if moves := Assign(slots, []string{"a"}, nil); !slices.Contains(moves, Move{Slot: 3, To: "a"}) {
		t.Errorf("slot 3 gets no owner although its successor is gone: %v", moves)
	}
}

// Guards against a successor that hands a slot over before the slot was granted to
// it: the part would lack the slot, and the next owner would answer its keys as
// unknown.
func TestSuccessorAwaitsGrant(t *testing.T) {
	c := &manualClock{now: time.Unix(1000, 0)}
	m := New(Config{}, c, func(n int, s string) { t.Fatalf("invariant %d: %s", n, s) })
	importParts(m, HandoverPart{From: "a", Parts: 1, Slots: []HandoverSlot{{Slot: 3, Since: 500, CompleteSince: 500}}})
	if !m.AwaitsGrant(3) || m.AwaitsGrant(4) || m.ImportedCount() != 1 {
		t.Fatalf("slot 3 awaits its grant: %v, slot 4: %v, %d imported; want true, false, 1", m.AwaitsGrant(3), m.AwaitsGrant(4), m.ImportedCount())
	}
	m.ApplyGrant(Grant{Slots: []SlotGrant{{Slot: 3, Since: 500}}, Offset: 9, HeartbeatSent: c.now, LeaseDuration: time.Minute})
	if m.AwaitsGrant(3) || m.ImportedCount() != 0 {
		t.Fatal("slot 3 still awaits its grant after it was granted")
	}
}
