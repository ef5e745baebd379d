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

// machine is a state machine test of an admitter. Its tickets serve as the test
// oracle.
type machine struct {
	clock    *fakeClock
	admitter *Admitter
	limit    int
	settings Settings
	queued   []*ticket
	running  []*ticket
	// enqueued counts all tickets, ended those that were refused, canceled or
	// released.
	enqueued, ended int
}

func machineSettings() Settings {
	settings := DefaultSettings()
	for name, c := range settings.Classes {
		c.QueueLimit = 6
		settings.Classes[name] = c
	}
	settings.Callers = map[string]CallerSettings{"a": {Weight: 1, Floor: 200}, "b": {Weight: 3}}
	settings.MaxCallerQueues = 3
	return settings
}

// Guards against an admitter that exceeds its limits, ignores floors, leaves
// slots idle or loses requests under some order of events.
func TestAdmitterMachine(t *testing.T) {
	t.Logf("seed 5")
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{clock: &fakeClock{now: time.Unix(1000, 0)}, limit: 4, settings: machineSettings()}
		m.admitter = New(m.clock, m.settings, func(n int, msg string) { t.Fatalf("invariant %d: %s", n, msg) })
		m.admitter.SetLimit("labels", m.limit)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
				// With single arrivals hardly any request would wait.
				for range rapid.IntRange(1, 6).Draw(t, "burst") {
					m.enqueue(t)
				}
			},
			"finish":   m.finish,
			"cancel":   m.cancel,
			"limit":    m.setLimit,
			"settings": m.changeSettings,
			"pass time": func(t *rapid.T) {
				m.clock.now = m.clock.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
		m.finishAll(t)
	})
}

func (m *machine) enqueue(t *rapid.T) {
	caller := fmt.Sprint(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f", "g"}).Draw(t, "caller"))
	tk, v := m.admitter.enqueue(hv.Request{
		Service: "labels", Caller: caller, Class: rapid.SampledFrom(hv.Classes).Draw(t, "class"),
		Remaining: hv.Duration(time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * time.Millisecond),
	}, nil)
	if tk == nil {
		if v.err == nil || v.retryAfter <= 0 {
			t.Fatalf("request refused without an error or retry time: %+v", v)
		}
		if m.limit > 0 && len(m.running) < m.limit {
			t.Fatalf("request refused while %d of %d slots are in use: %v", len(m.running), m.limit, v.err)
		}
		return
	}
	m.enqueued++
	m.queued = append(m.queued, tk)
	m.collectDecisions(t)
}

func (m *machine) finish(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "running")
	tk := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.ended++
	m.admitter.release(tk)
	m.collectDecisions(t)
}

func (m *machine) cancel(t *rapid.T) {
	if len(m.queued) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.queued)-1).Draw(t, "queued")
	tk := m.queued[i]
	m.queued = append(m.queued[:i], m.queued[i+1:]...)
	m.ended++
	if v := m.admitter.cancel(tk, "test"); v.err == nil {
		t.Fatal("a canceled request was admitted")
	}
	m.collectDecisions(t)
}

func (m *machine) setLimit(t *rapid.T) {
	m.limit = rapid.IntRange(0, 12).Draw(t, "limit")
	m.admitter.SetLimit("labels", m.limit)
	m.collectDecisions(t)
}

// changeSettings replaces the settings while requests wait and run.
func (m *machine) changeSettings(t *rapid.T) {
	settings := machineSettings()
	for _, name := range hv.Classes {
		c := settings.Classes[name]
		c.Weight = rapid.IntRange(1, 20).Draw(t, "weight")
		c.Floor = rapid.IntRange(0, floorDenominator/3).Draw(t, "floor")
		c.QueueLimit = rapid.IntRange(1, 6).Draw(t, "queue")
		settings.Classes[name] = c
	}
	settings.Callers = map[string]CallerSettings{"c": {Weight: rapid.IntRange(1, 9).Draw(t, "caller weight"), Floor: 300}}
	if err := settings.Check(); err != nil {
		t.Fatal(err)
	}
	m.settings = settings
	m.admitter.UpdateSettings(settings)
	m.collectDecisions(t)
	m.checkFlows(t)
}

// checkFlows fails if the flows are not in the heaps that the settings require.
func (m *machine) checkFlows(t *rapid.T) {
	s := m.admitter.services["labels"]
	if s == nil {
		return
	}
	for _, c := range s.classes {
		sum, longest := 0, 0.0
		for _, f := range c.flows {
			if f.queue.Len() == 0 {
				continue
			}
			settings := m.settings.caller(f.name)
			sum += settings.Weight
			longest = max(longest, float64(f.queue.Len())/float64(settings.Weight))
			if below := f.running < s.floorSlots(settings.Floor); below != (f.belowFloorIndex != notInHeap) || below != (f.atFloorIndex == notInHeap) {
				t.Fatalf("%s of %s: below its floor %v, but its indexes in the heaps below and at the floor are %d and %d", f.name, c.name, below, f.belowFloorIndex, f.atFloorIndex)
			}
		}
		if sum != c.waitingWeight {
			t.Fatalf("%s: the flows with queued requests weigh %d, but the class counts %d", c.name, sum, c.waitingWeight)
		}
		if sum > 0 && c.byQueueLength.first().weightedLength(0) != longest {
			t.Fatalf("%s: the longest queue is not first in its heap", c.name)
		}
	}
}

// collectDecisions moves the tickets that were decided and checks the floors of
// the classes at every start.
func (m *machine) collectDecisions(t *rapid.T) {
	var kept, started []*ticket
	for _, tk := range m.queued {
		select {
		case v := <-tk.decision:
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

// checkFloors fails if a class started a request above its floor while another
// class with queued requests is below its own.
func (m *machine) checkFloors(t *rapid.T, started *ticket) {
	floor := func(name hv.Class) float64 { return float64(m.limit*m.settings.Classes[name].Floor) / floorDenominator }
	startedClass := started.flow.class.name
	if float64(m.count(m.running, startedClass)) < floor(startedClass)+1 {
		return
	}
	for _, name := range hv.Classes {
		if name != startedClass && m.count(m.queued, name) > 0 && float64(m.count(m.running, name)) < floor(name) {
			t.Fatalf("%s started a request above its floor while %s has queued requests below its own", startedClass, name)
		}
	}
}

// check runs after every step and fails if a slot is idle while requests wait,
// if queues or flows exceed their limits, or if a request is lost.
func (m *machine) check(t *rapid.T) {
	_, loads := m.admitter.Load("labels")
	for _, l := range loads {
		if l.Queued != m.count(m.queued, l.Class) || l.Running != m.count(m.running, l.Class) {
			t.Fatalf("%s: reported %+v, but the test has %d queued and %d running", l.Class, l, m.count(m.queued, l.Class), m.count(m.running, l.Class))
		}
		if l.Queued > 6 {
			t.Fatalf("%s: %d requests wait, the limit is 6", l.Class, l.Queued)
		}
	}
	if len(m.queued) > 0 && len(m.running) < m.limit {
		t.Fatalf("%d requests wait while %d of %d slots are in use", len(m.queued), len(m.running), m.limit)
	}
	if m.enqueued != m.ended+len(m.queued)+len(m.running) {
		t.Fatalf("%d enqueued, %d ended, %d queued, %d running: a request is lost", m.enqueued, m.ended, len(m.queued), len(m.running))
	}
	if s := m.admitter.services["labels"]; s != nil {
		for _, c := range s.classes {
			if len(c.flows) > 4 {
				t.Fatalf("%d flows, the limit is 3 and the shared one", len(c.flows))
			}
		}
	}
}

func (m *machine) finishAll(t *rapid.T) {
	m.limit = 4
	m.admitter.SetLimit("labels", m.limit)
	m.collectDecisions(t)
	for len(m.running) > 0 {
		m.finish(t)
		m.check(t)
	}
	if m.enqueued != m.ended {
		t.Fatalf("%d requests enqueued but %d ended", m.enqueued, m.ended)
	}
}
