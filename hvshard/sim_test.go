package hvshard

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	simShards = 2
	simLease  = 10 * time.Second
	simMargin = 500 * time.Millisecond
	simTick   = 50 * time.Millisecond
	// simQuota is the part of the quota of "team" that belongs to the simulated
	// shards.
	simQuota = 1000 * simShards
)

// testingT is the part of testing.TB that the simulation uses.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

// sim runs gates, hosts and a log in virtual time.
type sim struct {
	t            testingT
	rng          *rand.Rand
	now          time.Time
	events       events
	nextOrder    int
	lastDelivery map[string]time.Time // by link, as messages of a connection arrive in order
	linkCut      map[string]time.Time // by link, until when messages are lost
	logCut       map[string]time.Time // by gate, until when the log is unreachable
	faults       bool
	streams      [simShards][]hv.Record
	gates        []*simGate
	hosts        []*simHost
	incarnations int
	tasks        map[string]*taskHistory
	nextID       int
}

type event struct {
	at    time.Time
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].order < e[j].order
	}
	return e[i].at.Before(e[j].at)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func newSim(t testingT, seed uint64, gates, hosts int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		lastDelivery: map[string]time.Time{}, linkCut: map[string]time.Time{}, logCut: map[string]time.Time{},
		tasks: map[string]*taskHistory{},
	}
	for i := range hosts {
		s.hosts = append(s.hosts, newSimHost(s, fmt.Sprintf("host%d", i)))
	}
	for i := range gates {
		s.gates = append(s.gates, newSimGate(s, fmt.Sprintf("gate%d", i)))
	}
	return s
}

// Now implements hibiscusvane.Clock.
func (s *sim) Now() time.Time { return s.now }

func (s *sim) violation(invariant int, message string) {
	s.t.Helper()
	s.t.Fatalf("%s: invariant %d: %s", s.elapsed(), invariant, message)
}

func (s *sim) elapsed() string { return s.now.Sub(time.Unix(1_000_000, 0)).String() }

func (s *sim) schedule(d time.Duration, run func()) {
	s.nextOrder++
	heap.Push(&s.events, event{s.now.Add(d), s.nextOrder, run})
}

func (s *sim) randomDuration(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *sim) chance(percent int) bool { return s.faults && s.rng.IntN(100) < percent }

// send delivers a message in the order of its link, unless the link is cut.
func (s *sim) send(from, to string, run func()) {
	link := from + ">" + to
	if s.linkCut[link].After(s.now) {
		return
	}
	delay := time.Millisecond + s.randomDuration(20*time.Millisecond)
	if s.chance(1) {
		delay += s.randomDuration(8 * time.Second)
	}
	s.lastDelivery[link] = latest(s.lastDelivery[link], s.now.Add(delay))
	s.schedule(s.lastDelivery[link].Sub(s.now), run)
}

func (s *sim) cutBoth(a, b string, d time.Duration) {
	s.linkCut[a+">"+b], s.linkCut[b+">"+a] = s.now.Add(d), s.now.Add(d)
}

// advance runs the simulation and checks the use of the quota at every tick.
func (s *sim) advance(d time.Duration) {
	end := s.now.Add(d)
	for s.now.Before(end) {
		tick := s.now.Add(simTick)
		for len(s.events) > 0 && !s.events[0].at.After(tick) {
			e := heap.Pop(&s.events).(event)
			s.now = latest(s.now, e.at)
			e.run()
		}
		s.now = tick
		for _, h := range s.hosts {
			h.tick()
		}
		for _, g := range s.gates {
			g.tick()
		}
		if used := s.used("team"); used > simQuota {
			s.t.Fatalf("%s: the team uses %d of %d processors", s.elapsed(), used, simQuota)
		}
	}
}

// used returns the sum of the processors that the running tasks of a team need.
func (s *sim) used(team string) int64 {
	sum := int64(0)
	for _, h := range s.hosts {
		for _, r := range h.runs {
			if r.task.Team == team {
				sum += r.task.Need.Processors
			}
		}
	}
	return sum
}

// simGate is one gate process.
type simGate struct {
	s           *sim
	name        string
	incarnation string
	paused      time.Time
	dead        bool
	states      []*hvtask.Shard
	appliers    []*Applier
	view        *hvquorum.Tracker
	owners      []*Owner
	inFlight    [simShards]*simAppend
	uncertain   [simShards]*hv.Record
	appended    int
	readIDs     [simShards]map[string]bool
	ticks       int
}

// simAppend is a record that is being appended.
type simAppend struct {
	rec   hv.Record
	batch *Batch
}

func newSimGate(s *sim, name string) *simGate {
	s.incarnations++
	g := &simGate{s: s, name: name, incarnation: fmt.Sprintf("%s-%d", name, s.incarnations)}
	gates := []string{"gate0", "gate1", "gate2"}
	g.view = hvquorum.New(hvquorum.Config{Gate: name, Incarnation: g.incarnation, LeaseDuration: simLease, ClockMargin: simMargin}, s, gates)
	for i := range simShards {
		state := hvtask.New(hvtask.DefaultLimits, s.violation)
		g.states = append(g.states, state)
		g.appliers = append(g.appliers, NewApplier(state, g.view, i))
		g.readIDs[i] = map[string]bool{}
	}
	for i := range simShards {
		g.owners = append(g.owners, New(Config{
			Gate: name, Incarnation: g.incarnation, Shard: i, LeaseDuration: simLease, ClockMargin: simMargin,
		}, Deps{
			Clock: s, States: g.states, Quorum: g.view, Placer: simPlacer{s}, Hosts: g,
			Rand: rand.New(rand.NewPCG(uint64(s.incarnations), uint64(i))),
		}))
	}
	for _, o := range g.owners {
		o.SetSettings(Settings{Teams: map[string]hv.Resources{"team": {Processors: simQuota / simShards * hvtask.Shards}}})
	}
	return g
}

// receive handles a message once the process is not paused, and drops it if the
// process has ended.
func (g *simGate) receive(run func()) {
	switch {
	case g.dead:
	case g.paused.After(g.s.now):
		g.s.schedule(g.paused.Sub(g.s.now), func() { g.receive(run) })
	default:
		run()
	}
}

func (g *simGate) reachesLog() bool { return !g.s.logCut[g.name].After(g.s.now) }

func (g *simGate) tick() {
	if g.dead || g.paused.After(g.s.now) {
		return
	}
	g.ticks++
	for i, o := range g.owners {
		if g.ticks%4 == 0 && g.reachesLog() {
			g.read(i)
		}
		if b := o.Step(g.s.now); b != nil {
			g.append(i, b)
		}
	}
	if g.ticks%20 == 0 {
		g.heartbeatPeers()
	}
}

// read reads the stream as it is now and applies the records a little later.
func (g *simGate) read(shard int) {
	start, n := g.s.now, len(g.s.streams[shard])
	g.s.schedule(g.s.randomDuration(40*time.Millisecond), func() {
		g.receive(func() {
			for _, rec := range g.s.streams[shard][min(int(g.states[shard].NextOffset()), n):n] {
				g.appliers[shard].Apply(rec)
				g.readIDs[shard][rec.ID] = true
			}
			g.view.RecordRead(StreamName(shard), start)
			if f := g.inFlight[shard]; f != nil && g.readIDs[shard][f.rec.ID] {
				g.inFlight[shard] = nil
				g.owners[shard].Finish(f.batch, g.s.now, nil)
			}
		})
	})
}

func (g *simGate) append(shard int, b *Batch) {
	g.appended++
	body, err := json.Marshal(b.Body)
	if err != nil {
		g.s.t.Fatalf("encode: %v", err)
	}
	a := &simAppend{hv.Record{ID: fmt.Sprintf("%s/%d", g.incarnation, g.appended), Kind: hvtask.KindOps, Body: body}, b}
	g.inFlight[shard] = a
	g.tryAppend(shard, a)
}

// tryAppend sends a record until the log accepts it, or fails with one of the
// injected errors.
func (g *simGate) tryAppend(shard int, a *simAppend) {
	s := g.s
	delay := s.randomDuration(60 * time.Millisecond)
	if s.chance(2) {
		delay += s.randomDuration(5 * time.Second) // delayed in a queue before the log
	}
	fail := func(kind hv.ErrorKind) {
		s.schedule(delay, func() {
			g.receive(func() {
				if g.inFlight[shard] != a {
					return // the record has been read back in the meantime
				}
				g.inFlight[shard] = nil
				g.owners[shard].Finish(a.batch, s.now, errorf("append", kind, "injected"))
			})
		})
	}
	switch {
	case s.chance(4):
		fail(hv.Unavailable)
	case !g.reachesLog():
		s.schedule(500*time.Millisecond, func() { g.receive(func() { g.tryAppend(shard, a) }) })
	case s.chance(4):
		uncertain := a.rec
		g.uncertain[shard] = &uncertain
		s.schedule(s.randomDuration(2*time.Second), func() { g.appendUncertain(shard, &uncertain) })
		fail(hv.Uncertain)
	default:
		s.schedule(delay, func() {
			if s.rng.IntN(2) == 0 {
				g.appendUncertain(shard, g.uncertain[shard])
			}
			g.uncertain[shard] = nil
			s.appendRecord(shard, a.rec)
		})
	}
}

// appendUncertain appends a record of unknown outcome, unless a later record of
// the gate is already in the log.
func (g *simGate) appendUncertain(shard int, rec *hv.Record) {
	if rec != nil && g.uncertain[shard] == rec {
		g.uncertain[shard] = nil
		g.s.appendRecord(shard, *rec)
	}
}

func (s *sim) appendRecord(shard int, rec hv.Record) {
	rec.Offset, rec.Time = hv.Offset(len(s.streams[shard])), s.now
	s.streams[shard] = append(s.streams[shard], rec)
}

// heartbeatPeers sends heartbeats to the other gates, and starts majority
// rounds while the log is unreachable.
func (g *simGate) heartbeatPeers() {
	first := g.owners[0]
	first.mu.Lock()
	m := hvwire.PeerHeartbeat{Name: g.name, Incarnation: g.incarnation, NextKeysOffset: -1, NoSides: first.noSides(first.Clock.Now())}
	first.mu.Unlock()
	for i := range simShards {
		epoch, ok := g.view.Epoch(StreamName(i))
		if !ok {
			m.Epochs = nil
			break
		}
		m.Epochs = append(m.Epochs, epoch)
	}
	for _, other := range g.s.gates {
		if other != g {
			g.s.send(g.name, other.name, func() { other.receive(func() { other.view.RecordHeartbeat(m, StreamName) }) })
		}
	}
	for i, o := range g.owners {
		if _, owns := o.Owns(); owns && !g.view.LogReachable() {
			g.confirm(StreamName(i))
		}
	}
}

func (g *simGate) confirm(stream string) {
	q := g.view.BeginRound(stream)
	for _, other := range g.s.gates {
		if other == g {
			continue
		}
		g.s.send(g.name, other.name, func() {
			other.receive(func() {
				ack := other.view.Confirm(q)
				g.s.send(other.name, g.name, func() { g.receive(func() { g.view.RecordResponse(stream, other.name, ack) }) })
			})
		})
	}
}

func (g *simGate) toHost(name string, run func(h *simHost)) {
	for _, h := range g.s.hosts {
		if h.name == name {
			side := h.sideIncarnation
			g.s.send(g.name, name, func() {
				// A connection closes when its process ends.
				if h.sideIncarnation == side {
					h.receive(func() { run(h) })
				}
			})
		}
	}
}

// Start implements Hosts.
func (g *simGate) Start(host string, m hvwire.Start) {
	g.toHost(host, func(h *simHost) { h.start(g, m) })
}

// Stop implements Hosts.
func (g *simGate) Stop(host string, m hvwire.Stop) {
	g.toHost(host, func(h *simHost) { h.stop(m) })
}

// Throttle implements Hosts.
func (g *simGate) Throttle(string, hvwire.Throttle) {}

// simPlacer places tasks on random hosts, including hosts that are down.
type simPlacer struct{ s *sim }

func (p simPlacer) SetHost(hv.HostView)           {}
func (p simPlacer) RemoveHost(string)             {}
func (p simPlacer) Release(hv.Task, string)       {}
func (p simPlacer) Observe(hv.InterferenceSample) {}

func (p simPlacer) Place(t hv.Task, _ ...string) (string, error) {
	switch {
	case t.Need.Accelerators > 0:
		return "", errorf("place", hv.NotFound, "no host fits")
	case p.s.chance(5):
		return "", errorf("place", hv.Full, "injected")
	}
	return p.s.hosts[p.s.rng.IntN(len(p.s.hosts))].name, nil
}
