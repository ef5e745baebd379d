package hvkey

import (
	"encoding/binary"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

const (
	lease   = 10 * time.Second
	margin  = 500 * time.Millisecond
	service = "labels"
	maxKeys = 5
)

// side is one process with a key store. It may be disconnected from the gates.
type side struct {
	name          string
	store         *Store
	heartbeatSent time.Time
	grant         *Grant
}

// pendingRequest is a request that was begun at a side and has not ended.
type pendingRequest struct {
	key   string
	entry *Entry
	side  *side
	ran   bool
}

// machine moves key slots between sides that are paused, disconnected, restarted
// or drained while callers repeat keys. It checks that no key runs twice.
type machine struct {
	t            *rapid.T
	clock        *manualClock
	table        *Table
	sides        []*side
	sidesStarted int
	leaseWaitEnd time.Time
	requests     []*pendingRequest
	keys         []string
	lastRun      map[string]time.Time
}

func newMachine(t *rapid.T) *machine {
	m := &machine{t: t, clock: &manualClock{now: time.Unix(1e9, 0)}, lastRun: map[string]time.Time{}}
	m.table = NewTable(m.violation)
	m.sides = []*side{m.newSide(), m.newSide()}
	m.record(KindMove, Moves{Service: service, Moves: m.moveSlot("", m.sides[0].name)})
	m.renewOwnerLease(t)
	m.clock.now = m.clock.now.Add(Retention)
	m.renewOwnerLease(t)
	return m
}

func (m *machine) violation(n int, s string) { m.t.Fatalf("invariant %d: %s", n, s) }

func (m *machine) newSide() *side {
	m.sidesStarted++
	return &side{name: fmt.Sprint("side-", m.sidesStarted), store: New(Config{MaxKeys: maxKeys, MaxResponseBytes: 10}, m.clock, m.violation)}
}

// moveSlot returns a move of slot 0. All keys are in this one slot, so that it
// changes owner often in each run.
func (m *machine) moveSlot(from, to string) []Move { return []Move{{Slot: 0, From: from, To: to}} }

func (m *machine) record(kind string, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		m.t.Fatal(err)
	}
	m.table.Apply(hv.Record{Offset: m.table.Next(), Time: m.clock.now, Kind: kind, Body: b})
}

func (m *machine) drawSide(t *rapid.T) *side { return rapid.SampledFrom(m.sides).Draw(t, "side") }

func (m *machine) other(s *side) *side {
	if m.sides[0] == s {
		return m.sides[1]
	}
	return m.sides[0]
}

func (m *machine) newKey(t *rapid.T) {
	if rapid.IntRange(0, 3).Draw(t, "plain") == 0 {
		m.keys = append(m.keys, findKey(func(i uint64) string { return fmt.Sprintf("plain-%03d", i) }, len(m.keys)))
		return
	}
	at := m.clock.now.Add(time.Duration(rapid.IntRange(-1999, 1999).Draw(t, "error")) * time.Millisecond)
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(at.UnixMilli())<<16|0x7000)
	m.keys = append(m.keys, findKey(func(i uint64) string {
		binary.BigEndian.PutUint64(id[8:], 1<<63|i)
		return id.String()
	}, len(m.keys)))
}

// findKey returns a key of slot 0 that differs for each index.
func findKey(key func(uint64) string, index int) string {
	for i := uint64(index) << 20; ; i++ {
		if k := key(i); SlotOf(k) == 0 {
			return k
		}
	}
}

// call sends a request with a new or recent key to the owner or to any side.
func (m *machine) call(t *rapid.T) {
	if len(m.keys) == 0 || rapid.IntRange(0, 2).Draw(t, "new") == 0 {
		m.newKey(t)
	}
	key := rapid.SampledFrom(m.keys[max(0, len(m.keys)-6):]).Draw(t, "key")
	s := m.drawSide(t)
	if owner := m.table.Slot(service, SlotOf(key)).Owner; owner == m.other(s).name && rapid.Bool().Draw(t, "to owner") {
		s = m.other(s)
	}
	e, first, err := s.store.Begin(key, 1)
	switch {
	case err != nil:
	case first:
		m.requests = append(m.requests, &pendingRequest{key: key, entry: e, side: s})
		for range rapid.IntRange(0, 2).Draw(t, "steps") {
			m.step(t)
		}
	case !e.running() && e.Response().Outcome == hv.Done && string(e.Response().Body) != responseOf(key):
		t.Fatalf("key %s got the response %q", key, e.Response().Body)
	}
}

func responseOf(key string) string { return key[len(key)-3:] }

// step starts or ends one pending request, so that any time may pass between the
// two.
func (m *machine) step(t *rapid.T) {
	if len(m.requests) == 0 {
		return
	}
	i := len(m.requests) - 1 - rapid.IntRange(0, len(m.requests)-1).Draw(t, "use")
	u := m.requests[i]
	if !u.ran && u.side.store.CheckOwnership(u.key) == nil {
		m.run(u)
		return
	}
	m.finishOrAbandon(i)
}

// finishOrAbandon finishes a request that has run and abandons one that has not.
func (m *machine) finishOrAbandon(i int) {
	u := m.requests[i]
	m.requests = slices.Delete(m.requests, i, i+1)
	if u.ran {
		m.lastRun[u.key] = m.clock.now
		u.side.store.Finish(u.entry, hv.Response{Outcome: hv.Done, Body: []byte(responseOf(u.key))})
		return
	}
	u.side.store.Abandon(u.entry, "lease expired")
}

func (m *machine) run(u *pendingRequest) {
	at, again := m.lastRun[u.key]
	_, timed := creationTime(u.key)
	// A key without a creation time is protected only for its retention.
	if again && (timed || m.clock.now.Sub(at) < Retention) {
		m.t.Fatalf("invariant 6: key %s runs again at %s, %s after its first run", u.key, u.side.name, m.clock.now.Sub(at))
	}
	u.ran, m.lastRun[u.key] = true, m.clock.now
}

// sendHeartbeat, createGrant and deliverGrant are the steps of a heartbeat.
func (m *machine) sendHeartbeat(t *rapid.T) { m.drawSide(t).heartbeatSent = m.clock.now }

func (m *machine) createGrant(t *rapid.T) {
	s := m.drawSide(t)
	if s.heartbeatSent.IsZero() {
		return
	}
	g := &Grant{Offset: m.table.Next(), HeartbeatSent: s.heartbeatSent, LeaseDuration: lease}
	for i, state := range m.table.Slots(service) {
		if state.Owner == s.name && (state.PreviousOwnerStopped || !m.clock.now.Before(m.leaseWaitEnd)) {
			g.Slots = append(g.Slots, SlotGrant{Slot: i, Since: state.Since, FirstOwner: state.FirstOwner})
		}
	}
	s.grant = g
}

func (m *machine) deliverGrant(t *rapid.T) {
	if s := m.drawSide(t); s.grant != nil {
		s.store.ApplyGrant(*s.grant)
	}
}

// move makes a side the owner of the slot without a release by the old owner.
func (m *machine) move(t *rapid.T) {
	to, from := m.drawSide(t), m.table.Slot(service, 0).Owner
	if from != to.name {
		m.record(KindMove, Moves{Service: service, Moves: m.moveSlot(from, to.name)})
		m.leaseWaitEnd = m.clock.now.Add(lease + margin)
	}
}

// handover changes the owner through release and import. Steps after the release
// may be lost.
func (m *machine) handover(t *rapid.T) {
	from := m.drawSide(t)
	to := m.other(from)
	if m.table.Slot(service, 0).Owner != from.name {
		return
	}
	lost := rapid.IntRange(0, 3).Draw(t, "lost step")
	all := []int{0}
	release := Release{Service: service, From: from.name, Slots: all}
	for _, p := range from.store.Release(from.name, all) {
		if done, err := to.store.Import(p); err != nil || lost == 1 {
			break
		} else if done {
			release.Successor = to.name
		}
	}
	if lost == 2 {
		return
	}
	m.record(KindRelease, release)
	if lost != 3 {
		m.record(KindMove, Moves{Service: service, Moves: m.moveSlot("", to.name)})
	}
}

func (m *machine) crash(t *rapid.T) {
	i := rapid.IntRange(0, len(m.sides)-1).Draw(t, "side")
	dead := m.sides[i]
	m.requests = slices.DeleteFunc(m.requests, func(u *pendingRequest) bool { return u.side == dead })
	m.sides[i] = m.newSide()
}

func (m *machine) restore(t *rapid.T) {
	b, err := m.table.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := NewTable(m.violation)
	if err := fresh.Restore(b, m.table.Next()); err != nil || fresh.Slots(service) != m.table.Slots(service) {
		t.Fatalf("restored table differs from the original (error %v)", err)
	}
	m.table = fresh
}

// renewOwnerLease waits until an old lease has expired and grants the slot to its
// owner, so that most requests run.
func (m *machine) renewOwnerLease(*rapid.T) {
	m.clock.now = m.clock.now.Add(lease + margin)
	for _, s := range m.sides {
		s.heartbeatSent = m.clock.now
		g := Grant{Offset: m.table.Next(), HeartbeatSent: s.heartbeatSent, LeaseDuration: lease}
		for i, state := range m.table.Slots(service) {
			if state.Owner == s.name {
				g.Slots = append(g.Slots, SlotGrant{Slot: i, Since: state.Since, FirstOwner: state.FirstOwner})
			}
		}
		s.store.ApplyGrant(g)
	}
}

// changeOwner makes another side the owner and in most cases grants it the slot.
func (m *machine) changeOwner(t *rapid.T) {
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		m.crash(t)
		m.move(t)
	case 1:
		m.handover(t)
	default:
		m.move(t)
	}
	if rapid.IntRange(0, 3).Draw(t, "heal") > 0 {
		m.renewOwnerLease(t)
	}
}

// heartbeat performs the steps of a heartbeat, each for any side, and skips some.
func (m *machine) heartbeat(t *rapid.T) {
	for _, step := range []func(*rapid.T){m.sendHeartbeat, m.createGrant, m.deliverGrant} {
		if rapid.IntRange(0, 3).Draw(t, "step") > 0 {
			step(t)
		}
	}
}

func (m *machine) check(t *rapid.T) {
	for _, s := range m.sides {
		if n, _ := s.store.Size(); n > maxKeys {
			t.Fatalf("%s stores %d keys, more than its limit", s.name, n)
		}
	}
}

// TestKeys guards against a key that runs twice (invariant 6) across repeats,
// sides, moves, handovers, pauses and restarts, and against a full store that
// removes a key before its retention has passed.
func TestKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check, "call": m.call, "call 2": m.call, "call 3": m.call, "step": m.step,
			"heartbeat": m.heartbeat, "change": m.changeOwner, "restore": m.restore, "heal": m.renewOwnerLease,
			"pause": func(t *rapid.T) {
				m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 15000).Draw(t, "ms")) * time.Millisecond)
			},
			"wait": func(t *rapid.T) {
				// All pending requests end within the longest deadline.
				m.clock.now = m.clock.now.Add(MaxRequestDuration)
				for len(m.requests) > 0 {
					m.finishOrAbandon(0)
				}
				m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(0, 10).Draw(t, "minutes")) * time.Minute)
			},
		})
	})
}

// TestMain fixes the seed and the number of checks, so that every run has the
// same result. Command-line flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400", "rapid.steps": "60", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
