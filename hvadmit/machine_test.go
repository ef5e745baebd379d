package hvadmit

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
)

// The seed and the number of checks are fixed so that every run is the same.
func init() {
	for name, value := range map[string]string{"rapid.seed": "5", "rapid.checks": "500", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// machine drives an admitter and keeps the tickets as its oracle.
type machine struct {
	clock   *fakeClock
	admit   *Admitter
	limit   int
	set     Settings
	queued  []*ticket
	running []*ticket
	// entered counts tickets, ended those with a final verdict or release.
	entered, ended int
}

func machineSettings() Settings {
	set := DefaultSettings()
	for name, c := range set.Classes {
		c.QueueLimit = 6
		set.Classes[name] = c
	}
	set.Callers = map[string]CallerSettings{"a": {Weight: 1, Floor: 200}, "b": {Weight: 3}}
	set.MaxCallerQueues = 3
	return set
}

// Guards the bounds, the floors and the accounting of the admitter under any
// order of events.
func TestAdmitterMachine(t *testing.T) {
	t.Logf("seed 5")
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{clock: &fakeClock{now: time.Unix(1000, 0)}, limit: 4, set: machineSettings()}
		m.admit = New(m.clock, m.set, func(n int, msg string) { t.Fatalf("invariant %d: %s", n, msg) })
		m.admit.SetLimit("labels", m.limit)
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				// Bursts, or hardly any request would wait.
				for range rapid.IntRange(1, 6).Draw(t, "burst") {
					m.enter(t)
				}
			},
			"finish":  m.finish,
			"abandon": m.abandon,
			"limit":   m.setLimit,
			"set":     m.change,
			"pass": func(t *rapid.T) {
				m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
		m.drain(t)
	})
}

func (m *machine) enter(t *rapid.T) {
	caller := fmt.Sprint(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(t, "caller"))
	tk, v := m.admit.enqueue(hv.Request{
		Service: "labels", Caller: caller, Class: rapid.SampledFrom(hv.Classes).Draw(t, "class"),
		Left: hv.Duration(time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * time.Millisecond),
	}, nil)
	if tk == nil {
		if v.err == nil || v.retry <= 0 {
			t.Fatalf("refused without an error or retry time: %+v", v)
		}
		if m.limit > 0 && len(m.running) < m.limit {
			t.Fatalf("refused while %d of %d slots are in use: %v", len(m.running), m.limit, v.err)
		}
		return
	}
	m.entered++
	m.queued = append(m.queued, tk)
	m.collect(t)
}

func (m *machine) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	tk := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.ended++
	m.admit.release(tk)
	m.collect(t)
}

func (m *machine) abandon(t *rapid.T) {
	if len(m.queued) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.queued)-1).Draw(t, "queued")
	tk := m.queued[i]
	m.queued = append(m.queued[:i], m.queued[i+1:]...)
	m.ended++
	if v := m.admit.cancel(tk, "test"); v.err == nil {
		t.Fatal("an abandoned ticket was admitted")
	}
	m.collect(t)
}

func (m *machine) setLimit(t *rapid.T) {
	m.limit = rapid.IntRange(0, 12).Draw(t, "limit")
	m.admit.SetLimit("labels", m.limit)
	m.collect(t)
}

// change replaces the settings while requests wait and run.
func (m *machine) change(t *rapid.T) {
	set := machineSettings()
	for _, name := range hv.Classes {
		c := set.Classes[name]
		c.Weight = rapid.IntRange(1, 20).Draw(t, "weight")
		c.Floor = rapid.IntRange(0, whole/3).Draw(t, "floor")
		c.QueueLimit = rapid.IntRange(1, 6).Draw(t, "queue")
		set.Classes[name] = c
	}
	set.Callers = map[string]CallerSettings{"c": {Weight: rapid.IntRange(1, 9).Draw(t, "caller weight"), Floor: 300}}
	if err := set.Check(); err != nil {
		t.Fatal(err)
	}
	m.set = set
	m.admit.UpdateSettings(set)
	m.collect(t)
	m.checkFlows(t)
}

// checkFlows fails if the flows are not where the settings put them.
func (m *machine) checkFlows(t *rapid.T) {
	s := m.admit.services["labels"]
	if s == nil {
		return
	}
	for _, c := range s.classes {
		sum, longest := 0, 0.0
		for _, f := range c.flows {
			if f.queue.Len() == 0 {
				continue
			}
			conf := m.set.caller(f.name)
			sum += conf.Weight
			longest = max(longest, float64(f.queue.Len())/float64(conf.Weight))
			if below := f.running < s.slots(conf.Floor); below != (f.poor != absent) || below != (f.rich == absent) {
				t.Fatalf("%s of %s: below its floor %v, but its places are %d and %d", f.name, c.name, below, f.poor, f.rich)
			}
		}
		if sum != c.weights {
			t.Fatalf("%s: the flows that wait weigh %d, the class has %d", c.name, sum, c.weights)
		}
		if sum > 0 && c.longest.first().length(0) != longest {
			t.Fatalf("%s: the longest queue is not first", c.name)
		}
	}
}

// collect moves tickets by their verdicts and checks the floors of the classes
// at every start.
func (m *machine) collect(t *rapid.T) {
	var kept, started []*ticket
	for _, tk := range m.queued {
		select {
		case v := <-tk.verdict:
			if v.err == nil {
				started = append(started, tk)
			} else {
				m.ended++
			}
		default:
			kept = append(kept, tk)
		}
	}
	m.queued, m.running = kept, append(m.running, started...)
	if len(started) > 0 && len(m.running) > m.limit {
		t.Fatalf("%d requests run with a limit of %d", len(m.running), m.limit)
	}
	for _, tk := range started {
		m.checkFloors(t, tk)
	}
}

func (m *machine) count(list []*ticket, name hv.Class) int {
	n := 0
	for _, tk := range list {
		if tk.flow.class.name == name {
			n++
		}
	}
	return n
}

// checkFloors fails if a class went above its floor while another one that
// waits is below its own.
func (m *machine) checkFloors(t *rapid.T, started *ticket) {
	floor := func(name hv.Class) float64 { return float64(m.limit*m.set.Classes[name].Floor) / whole }
	own := started.flow.class.name
	if float64(m.count(m.running, own)) < floor(own)+1 {
		return
	}
	for _, name := range hv.Classes {
		if name != own && m.count(m.queued, name) > 0 && float64(m.count(m.running, name)) < floor(name) {
			t.Fatalf("%s started above its floor while %s waits below its own", own, name)
		}
	}
}

// check holds after every step: no slot idles while work waits, queues and
// state are bounded, and no ticket is lost.
func (m *machine) check(t *rapid.T) {
	_, loads := m.admit.Load("labels")
	for _, l := range loads {
		if l.Queued != m.count(m.queued, l.Class) || l.Running != m.count(m.running, l.Class) {
			t.Fatalf("%s: %+v, but the oracle has %d queued and %d running", l.Class, l, m.count(m.queued, l.Class), m.count(m.running, l.Class))
		}
		if l.Queued > 6 {
			t.Fatalf("%s: %d requests wait, the bound is 6", l.Class, l.Queued)
		}
	}
	if len(m.queued) > 0 && len(m.running) < m.limit {
		t.Fatalf("%d requests wait while %d of %d slots are in use", len(m.queued), len(m.running), m.limit)
	}
	if m.entered != m.ended+len(m.queued)+len(m.running) {
		t.Fatalf("%d entered, %d ended, %d queued, %d running: a request is lost", m.entered, m.ended, len(m.queued), len(m.running))
	}
	if s := m.admit.services["labels"]; s != nil {
		for _, c := range s.classes {
			if len(c.flows) > 4 {
				t.Fatalf("%d flows, the bound is 3 and the shared one", len(c.flows))
			}
		}
	}
}

func (m *machine) drain(t *rapid.T) {
	m.limit = 4
	m.admit.SetLimit("labels", m.limit)
	m.collect(t)
	for len(m.running) > 0 {
		m.finish(t)
		m.check(t)
	}
	if m.entered != m.ended {
		t.Fatalf("%d entered and %d ended", m.entered, m.ended)
	}
}
