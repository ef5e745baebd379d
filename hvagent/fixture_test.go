package hvagent

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvlogger"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvworker/hvworkertest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// offsetClock follows the system clock and can be set forward.
type offsetClock struct {
	mu     sync.Mutex
	offset time.Duration
}

func (c *offsetClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Add(c.offset)
}

func (c *offsetClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.offset += d
}

// fakeGate is a gate that serves a side over a real connection.
type fakeGate struct {
	address string

	mu         sync.Mutex
	conn       *hvwire.Conn
	announce   hvwire.Announce
	heartbeat  hvwire.Heartbeat
	heartbeats int
	// omitted is the number of heartbeats with a checksum instead of a list.
	omitted       int
	renewals      []hvwire.Renewal
	grant         *hvwire.KeyGrant
	reports       []hvwire.Report
	leaveReceived bool
	// forgetSide makes the gate respond to the next heartbeat as if it had been
	// restarted.
	forgetSide    bool
	announcements int
	// unacknowledgedReports is how many reports the gate does not acknowledge.
	unacknowledgedReports int
	settings              []byte
}

// newGate returns a gate whose settings make the side send heartbeats often. They
// contain no gate in the side's region, so the side keeps those of its local file.
func newGate(t *testing.T) *fakeGate {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := &fakeGate{address: l.Addr().String(), settings: settingsState(t, quickSettings)}
	mux := hvwire.Mux{}
	hvwire.Handle(mux, hvwire.MethodAnnounce, g.serveAnnounce)
	hvwire.Handle(mux, hvwire.MethodHeartbeat, g.serveHeartbeat)
	hvwire.Handle(mux, hvwire.MethodLeave, g.serveLeave)
	hvwire.Handle(mux, hvwire.MethodReport, g.serveReport)
	hvwire.Handle(mux, hvwire.MethodFetch, g.serveFetch)
	var conns []*hvwire.Conn
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			conns = append(conns, hvwire.NewConn(nc, mux))
		}
	}()
	t.Cleanup(func() {
		l.Close()
		<-done
		for _, c := range conns {
			c.Close()
		}
	})
	return g
}

var quickSettings = hvconf.Files{"10.json": json.RawMessage(`{
	"limits": {"beat": "100ms"}, "zones": {"a": {"region": "r1"}, "b": {"region": "r2"}},
	"gates": {"far": {"zone": "b", "address": "127.0.0.1:1"}}, "services": {"label": {"slots": 8, "connections": 64}}
}`)}

// settingsState returns the response to a side that fetches the settings.
func settingsState(t *testing.T, files hvconf.Files) []byte {
	t.Helper()
	store := hvconf.NewStore(func(_ int, m string) { t.Error(m) })
	body, err := json.Marshal(hvconf.Publication{Files: files})
	if err != nil {
		t.Fatal(err)
	}
	store.Apply(hv.Record{Offset: 1, Kind: hvconf.KindPublish, Body: body})
	if v, _ := store.Outcome(1); v.Reason != "" {
		t.Fatal(v.Reason)
	}
	snapshot, err := store.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

func (g *fakeGate) serveAnnounce(_ context.Context, c *hvwire.Conn, m hvwire.Announce) (hvwire.AnnounceAck, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.announce, g.conn = m, c
	g.announcements++
	return hvwire.AnnounceAck{Gate: "g", SettingsVersion: 1}, nil
}

func (g *fakeGate) serveHeartbeat(_ context.Context, _ *hvwire.Conn, b hvwire.Heartbeat) (hvwire.HeartbeatAck, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.forgetSide {
		g.forgetSide = false
		return hvwire.HeartbeatAck{}, errorf("beat", hv.NotFound, "not announced")
	}
	if b.AttemptsChecksum != 0 {
		g.omitted++
	}
	b, ok := b.RestoreAttempts(g.heartbeat.Attempts)
	if !ok {
		return hvwire.HeartbeatAck{SettingsVersion: 1}, nil
	}
	g.heartbeat = b
	g.heartbeats++
	ack := hvwire.HeartbeatAck{SettingsVersion: 1, Renewals: g.renewals, AttemptsStored: true}
	if g.grant != nil {
		keys := *g.grant
		keys.OmitSlots(b)
		ack.Grant = &keys
	}
	return ack, nil
}

func (g *fakeGate) serveLeave(context.Context, *hvwire.Conn, hvwire.Leave) (hvwire.Ack, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaveReceived = true
	if g.grant != nil {
		// According to the log, other sides now own the slots.
		g.grant = &hvwire.KeyGrant{Offset: g.grant.Offset + 1}
	}
	return hvwire.Ack{OK: true}, nil
}

func (g *fakeGate) serveReport(_ context.Context, _ *hvwire.Conn, r hvwire.Report) (hvwire.Ack, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.reports = append(g.reports, r)
	return hvwire.Ack{OK: len(g.reports) > g.unacknowledgedReports}, nil
}

func (g *fakeGate) serveFetch(context.Context, *hvwire.Conn, hvwire.Fetch) (hvwire.StreamState, error) {
	return hvwire.StreamState{Version: 1, Body: g.settings}, nil
}

// get reads the state of the gate under its lock.
func get[T any](g *fakeGate, f func(*fakeGate) T) T {
	g.mu.Lock()
	defer g.mu.Unlock()
	return f(g)
}

func (g *fakeGate) update(f func(*fakeGate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g)
}

func (g *fakeGate) reported(event string) bool {
	return get(g, func(g *fakeGate) bool {
		return slices.ContainsFunc(g.reports, func(r hvwire.Report) bool { return r.Event == event })
	})
}

// awaitHeartbeats waits until the gate has received three more heartbeats. The
// first of them may have been sent before the call.
func (g *fakeGate) awaitHeartbeats(t *testing.T) {
	t.Helper()
	seen := get(g, func(g *fakeGate) int { return g.heartbeats })
	eventually(t, "heartbeats", func() bool { return get(g, func(g *fakeGate) int { return g.heartbeats }) >= seen+3 })
}

// grantAll makes the gate grant all key slots.
func (g *fakeGate) grantAll(since time.Time) {
	grant := &hvwire.KeyGrant{Lease: hv.Duration(10 * time.Second), Offset: 1}
	for i := range hvkey.SlotCount {
		grant.Slots = append(grant.Slots, hvwire.SlotGrant{Slot: i, Since: since.UnixMilli()})
	}
	g.update(func(g *fakeGate) { g.grant = grant })
}

func (g *fakeGate) call(method string, req, resp any) error {
	return get(g, func(g *fakeGate) *hvwire.Conn { return g.conn }).Call(context.Background(), method, req, resp)
}

// eventually waits until ok returns true. The limit of 20 s only bounds the
// duration of a failing test.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// fixture is a host with a worker, gates and an agent.
type fixture struct {
	*testing.T
	clock  *offsetClock
	worker *hvworkertest.Worker
	gates  []*fakeGate
	conf   Config
}

// newFixture returns a host. The clock of its worker is not set forward together
// with that of the agent, so that only the agent sees a lease expire early.
func newFixture(t *testing.T, gates int) *fixture {
	f := &fixture{T: t, clock: &offsetClock{}}
	capacity := hv.Resources{Processors: 4000, Memory: 8 * hv.GB}
	f.worker = hvworkertest.New(hvworkertest.Options{Capacity: capacity}, hv.SystemClock{})
	server := httptest.NewServer(f.worker.Handler())
	t.Cleanup(server.Close)
	f.conf = Config{Host: hv.Host{Name: "h1", Zone: "a"}, Worker: server.URL}.withDefaults()
	for range gates {
		g := newGate(t)
		f.gates = append(f.gates, g)
		f.conf.Gates = append(f.conf.Gates, g.address)
	}
	return f
}

// start runs an agent until stop is called. It returns when all gates have
// received its announcement and a heartbeat.
func (f *fixture) start() (a *Agent, stop func()) {
	f.Helper()
	a = New(f.conf, Deps{
		Clock: f.clock, Logs: hvlogger.New(io.Discard),
		Violations: func(i int, m string) { f.Errorf("invariant %d: %s", i, m) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	stop = sync.OnceFunc(func() {
		cancel()
		if err := <-done; err != nil {
			f.Error(err)
		}
	})
	f.Cleanup(stop)
	for _, g := range f.gates {
		eventually(f.T, "the announcement", func() bool {
			return get(g, func(g *fakeGate) bool {
				known := g.announce.Incarnation == a.incarnation && g.heartbeat.Incarnation == a.incarnation
				return known && (f.conf.Worker == "" || g.announce.Host.Capacity.Processors > 0)
			})
		})
	}
	return a, stop
}

// startAttempt starts an attempt with a lease of 10 s.
func (f *fixture) startAttempt(a *Agent, program string, args ...string) hv.Attempt {
	f.Helper()
	attempt := hv.Attempt{Task: "t1", Number: 1}
	if err := f.gates[0].call(hvwire.MethodStart, f.startRequest(a, attempt, program, args...), &hvwire.Ack{}); err != nil {
		f.Fatal(err)
	}
	return attempt
}

func (f *fixture) startRequest(a *Agent, attempt hv.Attempt, program string, args ...string) hvwire.Start {
	need := hv.Resources{Processors: 1000, Memory: hv.GB}
	return hvwire.Start{
		Task:    hv.Task{ID: attempt.Task, Kind: hv.Watcher, Program: program, Args: args, Need: need},
		Attempt: attempt, Shard: 3, Epoch: 5, Incarnation: a.incarnation, Committed: need, Lease: hv.Duration(10 * time.Second),
		HeartbeatSequence: get(f.gates[0], func(g *fakeGate) uint64 { return g.heartbeat.Sequence }),
	}
}

// endReasons returns how each attempt ended at the worker, with an empty string
// for a running one.
func (f *fixture) endReasons() []string {
	var all []string
	for _, i := range f.worker.History() {
		all = append(all, i.Reason)
	}
	return all
}
