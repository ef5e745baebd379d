package hvroute_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvroute"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

const seed = 7

// fleet is a set of upstreams in four zones under a fixed rate of requests.
type fleet struct {
	clock   *clock
	picker  hv.Picker
	targets []hv.UpstreamView
	latency func(host string) time.Duration
	result  func(host string) hv.DispatchResult
	counts  map[string]int
	zones   map[string]int
}

func newFleet(t *testing.T, hosts int, newPicker func(*clock) hv.Picker) *fleet {
	t.Logf("seed %d", seed)
	c := &clock{now: time.Unix(1_000_000, 0)}
	f := &fleet{
		clock: c, picker: newPicker(c), counts: map[string]int{}, zones: map[string]int{},
		latency: func(string) time.Duration { return 20 * time.Millisecond },
		result:  func(string) hv.DispatchResult { return hv.Succeeded },
	}
	for i := range hosts {
		f.targets = append(f.targets, hv.UpstreamView{Host: fmt.Sprint("h", i), Zone: fmt.Sprint("z", i%4), Slots: 8})
	}
	return f
}

func newRouter(c *clock) hv.Picker {
	return hvroute.New("z0", c, rand.New(rand.NewPCG(seed, seed)))
}

func roundRobin(*clock) hv.Picker { return hvroute.NewRoundRobin() }

// run sends one request per millisecond; each result arrives after the latency
// of its host.
func (f *fleet) run(d time.Duration) {
	type completion struct {
		at    time.Time
		index int
	}
	var running []completion
	clear(f.counts)
	clear(f.zones)
	for range d.Milliseconds() {
		f.clock.now = f.clock.now.Add(time.Millisecond)
		var unfinished []completion
		for _, e := range running {
			if e.at.After(f.clock.now) {
				unfinished = append(unfinished, e)
				continue
			}
			f.targets[e.index].Outstanding--
			h := f.targets[e.index].Host
			f.picker.Observe("labels", h, f.latency(h), f.result(h))
		}
		running = unfinished
		i := f.picker.Pick("labels", f.targets)
		if i < 0 {
			continue
		}
		f.targets[i].Outstanding++
		f.counts[f.targets[i].Host]++
		f.zones[f.targets[i].Zone]++
		running = append(running, completion{f.clock.now.Add(f.latency(f.targets[i].Host)), i})
	}
	for _, e := range running {
		f.targets[e.index].Outstanding--
	}
}

// Guards against an upstream that attracts traffic because it fails quickly.
func TestFastFailingUpstreamLosesTrafficWithinOneSecond(t *testing.T) {
	requests := func(newPicker func(*clock) hv.Picker) (first, later int) {
		f := newFleet(t, 11, newPicker)
		f.run(5 * time.Second)
		f.latency = func(h string) time.Duration {
			if h == "h0" {
				return 100 * time.Microsecond
			}
			return 20 * time.Millisecond
		}
		f.result = func(h string) hv.DispatchResult {
			if h == "h0" {
				return hv.Failed
			}
			return hv.Succeeded
		}
		f.run(time.Second)
		first = f.counts["h0"]
		f.run(10 * time.Second)
		return first, f.counts["h0"]
	}
	first, later := requests(newRouter)
	if first > 20 || later > 10 {
		t.Errorf("the failing upstream got %d requests in the first second and %d in the next ten, want at most 20 and 10", first, later)
	}
	if _, baseline := requests(roundRobin); baseline < 500 {
		t.Errorf("round robin sent %d requests to the failing upstream, want about 900: the baseline is not comparable", baseline)
	}
}

// Guards against ejecting the fleet when every upstream fails.
func TestAtMostHalfIsEjected(t *testing.T) {
	f := newFleet(t, 8, newRouter)
	f.result = func(string) hv.DispatchResult { return hv.Failed }
	f.run(5 * time.Second)
	used := 0
	for _, n := range f.counts {
		if n > 50 {
			used++
		}
	}
	if used < 4 {
		t.Errorf("%d upstreams stay in use, want at least 4: %v", used, f.counts)
	}
}

// Guards against an upstream that gets no traffic after it has recovered.
func TestRecoveredUpstreamReturns(t *testing.T) {
	f := newFleet(t, 4, newRouter)
	f.result = func(h string) hv.DispatchResult {
		if h == "h0" {
			return hv.Failed
		}
		return hv.Succeeded
	}
	f.run(2 * time.Second)
	f.result = func(string) hv.DispatchResult { return hv.Succeeded }
	f.run(10 * time.Second)
	f.run(2 * time.Second)
	if f.counts["h0"] < 200 {
		t.Errorf("recovered upstream gets %d of 2000 requests, want at least 200", f.counts["h0"])
	}
}

// Guards against needless requests to other zones, and against staying in the
// local zone when it is overloaded.
func TestLocalZonePreferredUntilOverloaded(t *testing.T) {
	f := newFleet(t, 16, newRouter)
	f.run(5 * time.Second)
	if f.zones["z0"] < 4500 {
		t.Errorf("%d of 5000 requests stay in the local zone, want at least 4500: %v", f.zones["z0"], f.zones)
	}
	// At 50 ms per request, the 32 local slots serve 640 of 1000 requests a second.
	f.latency = func(string) time.Duration { return 50 * time.Millisecond }
	f.run(5 * time.Second)
	if remote := 5000 - f.zones["z0"]; remote < 1000 {
		t.Errorf("%d of 5000 requests leave the overloaded zone, want at least 1000: %v", remote, f.zones)
	}
}

// Guards against heartbeats that hide free slots: the load that they report is
// up to 1 s old and includes the requests of this gate.
func TestStaleLoadDoesNotHideFreeSlots(t *testing.T) {
	f := newFleet(t, 11, newRouter)
	random := rand.New(rand.NewPCG(seed, seed))
	var running []int
	const picks, slots = 5000, 11 * 8
	overloaded := 0
	for n := range picks + slots {
		// A request every 0.5 ms on 88 slots takes 44 ms on average.
		f.clock.now = f.clock.now.Add(500 * time.Microsecond)
		if n%2000 == 0 {
			for i := range f.targets {
				f.targets[i].Load = f.targets[i].Outstanding
			}
		}
		if len(running) == slots {
			picked := random.IntN(slots)
			i := running[picked]
			running = append(running[:picked], running[picked+1:]...)
			f.targets[i].Outstanding--
			f.picker.Observe("labels", f.targets[i].Host, 44*time.Millisecond, hv.Succeeded)
		}
		i := f.picker.Pick("labels", f.targets)
		if f.targets[i].Outstanding >= 8 {
			overloaded++
		}
		f.targets[i].Outstanding++
		running = append(running, i)
	}
	if overloaded > picks/20 {
		t.Errorf("%d of %d requests went to an upstream without a free slot, want at most %d", overloaded, picks, picks/20)
	}
}

func ExampleRouter_Pick() {
	r := hvroute.New("north", &clock{now: time.Unix(0, 0)}, rand.New(rand.NewPCG(1, 1)))
	targets := []hv.UpstreamView{{Host: "a", Zone: "south", Slots: 8}, {Host: "b", Zone: "north", Slots: 8}}
	fmt.Println(targets[r.Pick("labels", targets)].Host)
	// Output: b
}

// Guards against an upstream that stood still for a moment and is ejected again and again,
// as the requests from before its ejection time out after the first probes.
func TestRequestsFromBeforeEjectionDoNotCount(t *testing.T) {
	const timeout, outstanding = 5 * time.Second, 8
	for name, probed := range map[string]bool{"before the probes": false, "after the probes": true} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, 11, newRouter)
			sent := f.clock.now
			for range 3 {
				f.picker.Observe("labels", "h0", time.Millisecond, hv.Failed)
			}
			f.run(900 * time.Millisecond)
			if f.counts["h0"] > 0 {
				t.Fatalf("the upstream got %d requests, want it to be ejected", f.counts["h0"])
			}
			if probed {
				f.run(timeout - time.Second)
			}
			f.clock.now = sent.Add(timeout)
			for range outstanding {
				f.picker.Observe("labels", "h0", timeout, hv.TimedOut)
			}
			f.run(time.Second)
			if f.counts["h0"] < 20 {
				t.Errorf("the upstream got %d of 1000 requests after the old ones timed out, want at least 20", f.counts["h0"])
			}
		})
	}
}
