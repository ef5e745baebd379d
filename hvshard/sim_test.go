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
	// simQuota is what the shards of the simulation hold of the quota of "team".
	simQuota = 1000 * simShards
)

// failer is what the simulation needs of a test.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// sim runs gates, hosts and a log in virtual time.
type sim struct {
	t       failer
	rng     *rand.Rand
	now     time.Time
	events  events
	order   int
	last    map[string]time.Time // per link, as a connection keeps the order
	cut     map[string]time.Time // per link, until when messages are lost
	logCut  map[string]time.Time // per gate, until when the log is not reached
	faults  bool
	streams [simShards][]hv.Record
	gates   []*simGate
	hosts   []*simHost
	starts  int
	tasks   map[string]*history
	nextID  int
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

func newSim(t failer, seed uint64, gates, hosts int) *sim {
	s := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_000_000, 0),
		last: map[string]time.Time{}, cut: map[string]time.Time{}, logCut: map[string]time.Time{},
		tasks: map[string]*history{},
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
	s.t.Fatalf("%s: invariant %d: %s", s.at(), invariant, message)
}

func (s *sim) at() string { return s.now.Sub(time.Unix(1_000_000, 0)).String() }

func (s *sim) after(d time.Duration, run func()) {
	s.order++
	heap.Push(&s.events, event{s.now.Add(d), s.order, run})
}

func (s *sim) random(limit time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(limit)))
}

func (s *sim) chance(percent int) bool { return s.faults && s.rng.IntN(100) < percent }

// send delivers a message in the order of its link unless the link is cut.
func (s *sim) send(from, to string, run func()) {
	link := from + ">" + to
	if s.cut[link].After(s.now) {
		return
	}
	delay := time.Millisecond + s.random(20*time.Millisecond)
	if s.chance(1) {
		delay += s.random(8 * time.Second)
	}
	s.last[link] = latest(s.last[link], s.now.Add(delay))
	s.after(s.last[link].Sub(s.now), run)
}

func (s *sim) cutBoth(a, b string, d time.Duration) {
	s.cut[a+">"+b], s.cut[b+">"+a] = s.now.Add(d), s.now.Add(d)
}

// advance runs the simulation and checks the oracle at every tick.
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
			s.t.Fatalf("%s: the team uses %d of %d", s.at(), used, simQuota)
		}
	}
}

// used sums what the running tasks of a team need.
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
	s      *sim
	name   string
	inc    string
	paused time.Time
	dead   bool
	states []*hvtask.Shard
	apply  []*Applier
	view   *hvquorum.Tracker
	owners []*Owner
	flight [simShards]*simAppend
	stray  [simShards]*hv.Record
	count  int
	seen   [simShards]map[string]bool
	ticks  int
}

// simAppend is a record on its way to the log.
type simAppend struct {
	rec   hv.Record
	batch *Batch
}

func newSimGate(s *sim, name string) *simGate {
	s.starts++
	g := &simGate{s: s, name: name, inc: fmt.Sprintf("%s-%d", name, s.starts)}
	gates := []string{"gate0", "gate1", "gate2"}
	g.view = hvquorum.New(hvquorum.Config{Gate: name, Incarnation: g.inc, LeaseDuration: simLease, ClockMargin: simMargin}, s, gates)
	for i := range simShards {
		state := hvtask.New(hvtask.DefaultLimits, s.violation)
		g.states = append(g.states, state)
		g.apply = append(g.apply, NewApplier(state, g.view, i))
		g.seen[i] = map[string]bool{}
	}
	for i := range simShards {
		g.owners = append(g.owners, New(Config{
			Gate: name, Incarnation: g.inc, Shard: i, Lease: simLease, Margin: simMargin,
		}, Deps{
			Clock: s, States: g.states, View: g.view, Placer: simPlacer{s}, Hosts: g,
			Rand: rand.New(rand.NewPCG(uint64(s.starts), uint64(i))),
		}))
	}
	for _, o := range g.owners {
		o.SetSettings(Settings{Teams: map[string]hv.Resources{"team": {Processors: simQuota / simShards * hvtask.Shards}}})
	}
	return g
}

// receive runs a delivery when the process is not paused, and drops it when
// the process has ended.
func (g *simGate) receive(run func()) {
	switch {
	case g.dead:
	case g.paused.After(g.s.now):
		g.s.after(g.paused.Sub(g.s.now), func() { g.receive(run) })
	default:
		run()
	}
}

func (g *simGate) reaches() bool { return !g.s.logCut[g.name].After(g.s.now) }

func (g *simGate) tick() {
	if g.dead || g.paused.After(g.s.now) {
		return
	}
	g.ticks++
	for i, o := range g.owners {
		if g.ticks%4 == 0 && g.reaches() {
			g.read(i)
		}
		if b := o.Step(g.s.now); b != nil {
			g.append(i, b)
		}
	}
	if g.ticks%20 == 0 {
		g.beatPeers()
	}
}

// read takes a copy of the stream now and applies it a little later.
func (g *simGate) read(shard int) {
	start, n := g.s.now, len(g.s.streams[shard])
	g.s.after(g.s.random(40*time.Millisecond), func() {
		g.receive(func() {
			for _, rec := range g.s.streams[shard][min(int(g.states[shard].Next()), n):n] {
				g.apply[shard].Apply(rec)
				g.seen[shard][rec.ID] = true
			}
			g.view.RecordRead(StreamName(shard), start)
			if f := g.flight[shard]; f != nil && g.seen[shard][f.rec.ID] {
				g.flight[shard] = nil
				g.owners[shard].Finish(f.batch, g.s.now, nil)
			}
		})
	})
}

func (g *simGate) append(shard int, b *Batch) {
	g.count++
	body, err := json.Marshal(b.Body)
	if err != nil {
		g.s.t.Fatalf("encode: %v", err)
	}
	a := &simAppend{hv.Record{ID: fmt.Sprintf("%s/%d", g.inc, g.count), Kind: hvtask.KindOps, Body: body}, b}
	g.flight[shard] = a
	g.try(shard, a)
}

// try sends a record until the log takes it, or gives up with one of the errors.
func (g *simGate) try(shard int, a *simAppend) {
	s := g.s
	delay := s.random(60 * time.Millisecond)
	if s.chance(2) {
		delay += s.random(5 * time.Second) // in a queue on the way to the log
	}
	give := func(kind hv.ErrorKind) {
		s.after(delay, func() {
			g.receive(func() {
				if g.flight[shard] != a {
					return // it was read back after all
				}
				g.flight[shard] = nil
				g.owners[shard].Finish(a.batch, s.now, errorf("append", kind, "injected"))
			})
		})
	}
	switch {
	case s.chance(4):
		give(hv.Unavailable)
	case !g.reaches():
		s.after(500*time.Millisecond, func() { g.receive(func() { g.try(shard, a) }) })
	case s.chance(4):
		stray := a.rec
		g.stray[shard] = &stray
		s.after(s.random(2*time.Second), func() { g.landStray(shard, &stray) })
		give(hv.Uncertain)
	default:
		s.after(delay, func() {
			if s.rng.IntN(2) == 0 {
				g.landStray(shard, g.stray[shard])
			}
			g.stray[shard] = nil
			s.land(shard, a.rec)
		})
	}
}

// landStray adds a record of unknown fate, unless a later one of the gate is
// in the log already.
func (g *simGate) landStray(shard int, rec *hv.Record) {
	if rec != nil && g.stray[shard] == rec {
		g.stray[shard] = nil
		g.s.land(shard, *rec)
	}
}

func (s *sim) land(shard int, rec hv.Record) {
	rec.Offset, rec.Time = hv.Offset(len(s.streams[shard])), s.now
	s.streams[shard] = append(s.streams[shard], rec)
}

// beatPeers sends heartbeats to the other gates and begins majority rounds
// while the log is not reached.
func (g *simGate) beatPeers() {
	first := g.owners[0]
	first.mu.Lock()
	m := hvwire.PeerHeartbeat{Name: g.name, Incarnation: g.inc, NextKeysOffset: -1, NoSides: first.blind(first.Clock.Now())}
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
			side := h.side
			g.s.send(g.name, name, func() {
				// A connection ends with its process.
				if h.side == side {
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

// simPlacer places at random, also on hosts that are gone.
type simPlacer struct{ s *sim }

func (p simPlacer) SetHost(hv.HostView)           {}
func (p simPlacer) RemoveHost(string)             {}
func (p simPlacer) Release(hv.Task, string)       {}
func (p simPlacer) Observe(hv.InterferenceSample) {}

func (p simPlacer) Place(t hv.Task, _ ...string) (string, error) {
	switch {
	case t.Need.Accelerators > 0:
		return "", errorf("place", hv.NotFound, "none fits")
	case p.s.chance(5):
		return "", errorf("place", hv.Full, "injected")
	}
	return p.s.hosts[p.s.rng.IntN(len(p.s.hosts))].name, nil
}
