package hvplace

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
)

type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

func newPlacer(t interface{ Fatalf(string, ...any) }, prefer hv.Preference) (*Placer, *fixedClock) {
	clock := &fixedClock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	return New(Options{Clock: clock, Prefer: prefer, Seed: 1, Violations: func(n int, message string) {
		t.Fatalf("invariant %d violated: %s", n, message)
	}}), clock
}

func hostView(i, zone int, cores int64) hv.HostView {
	return hv.HostView{Usable: true, Host: hv.Host{
		Name: fmt.Sprintf("h%d", i), Zone: fmt.Sprintf("z%d", zone), Rack: fmt.Sprintf("r%d", i/3),
		Capacity: hv.Resources{Processors: cores * 1000, Memory: hv.Size(cores) * 4 * hv.GB, Accelerators: cores / 16},
	}}
}

func task(program string, cores int64) hv.Task {
	return hv.Task{ID: "t", Kind: hv.Job, Program: program, Need: hv.Resources{Processors: cores * 1000, Memory: hv.GB}}
}

// Guards against an index that diverges from the hosts: commitments beyond a
// host's capacity, a host with enough free resources that is not found, or a
// task that fits a host but is reported as too large.
func TestPlacerAgainstScan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, _ := newPlacer(t, hv.Throughput)
		oracle := map[string]*hv.HostView{}
		placed := map[string][]hv.Task{}
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				i := rapid.IntRange(0, 11).Draw(t, "host")
				v := hostView(i, i%4, rapid.SampledFrom([]int64{4, 16, 32}).Draw(t, "cores"))
				v.Usable = rapid.Float64().Draw(t, "usable") < 0.8
				if old := oracle[v.Host.Name]; old != nil {
					v.Host, v.Committed = old.Host, old.Committed
				}
				oracle[v.Host.Name] = &v
				p.SetHost(v)
			},
			"remove": func(t *rapid.T) {
				name := fmt.Sprintf("h%d", rapid.IntRange(0, 11).Draw(t, "host"))
				delete(oracle, name)
				delete(placed, name)
				p.RemoveHost(name)
			},
			"place": func(t *rapid.T) {
				x := hv.Task{ID: "t", Kind: hv.Job, Program: "p", Urgent: true, Need: hv.Resources{
					Processors:   rapid.Int64Range(0, 34000).Draw(t, "processors"),
					Memory:       hv.Size(rapid.Int64Range(0, 130).Draw(t, "memory")) * hv.GB,
					Accelerators: rapid.Int64Range(0, 2).Draw(t, "accelerators"),
				}}
				usable, largeEnough := 0, 0
				for _, v := range oracle {
					if x.Need.Fits(v.Host.Capacity) {
						largeEnough++
					}
					if v.Usable && v.Committed.Add(x.Need).Fits(v.Host.Capacity) {
						usable++
					}
				}
				name, err := p.Place(x)
				switch {
				case err == nil:
					v := oracle[name]
					v.Committed = v.Committed.Add(x.Need)
					if !v.Usable || !v.Committed.Fits(v.Host.Capacity) {
						t.Fatalf("placed on %s, which is unusable or overcommitted: %+v of %+v", name, v.Committed, v.Host.Capacity)
					}
					placed[name] = append(placed[name], x)
				case (hv.KindOf(err) == hv.NotFound) != (largeEnough == 0):
					t.Fatalf("%v, but %d hosts are large enough", err, largeEnough)
				case usable > 0:
					t.Fatalf("%v, but %d hosts have enough free resources", err, usable)
				}
			},
			"release": func(t *rapid.T) {
				name := fmt.Sprintf("h%d", rapid.IntRange(0, 11).Draw(t, "host"))
				if n := len(placed[name]); n > 0 {
					x := placed[name][n-1]
					placed[name] = placed[name][:n-1]
					v := oracle[name]
					v.Committed = v.Committed.Sub(x.Need)
					p.Release(x, name)
				}
			},
		})
	})
}

// Guards against a placement whose cost grows with the number of hosts.
func TestDecisionExaminesBoundedHosts(t *testing.T) {
	for _, hosts := range []int{11, 110, 1100} {
		p, _ := newPlacer(t, hv.Throughput)
		for i := range hosts {
			p.SetHost(hostView(i, i%4, 16))
		}
		for range 100 {
			if _, err := p.Place(task("p", 1)); err != nil {
				t.Fatal(err)
			}
		}
		if n := p.HostsExamined(); n > 100*4*(candidatesPerZone+maxBoundaryChecks) {
			t.Fatalf("100 placements examined %d hosts in a fleet of %d", n, hosts)
		}
	}
}

// Guards against placing all tasks of one program in one rack or zone.
func TestSpread(t *testing.T) {
	p, _ := newPlacer(t, hv.Throughput)
	for i := range 12 {
		p.SetHost(hostView(i, i/3, 16))
	}
	zones := map[byte]int{}
	for range 4 {
		x := task("api", 1)
		x.Kind = hv.Service
		name, err := p.Place(x)
		if err != nil {
			t.Fatal(err)
		}
		zones[p.hosts[name].view.Host.Zone[1]]++
	}
	if len(zones) != 4 {
		t.Fatalf("four tasks are in zones %v, want 4 zones", zones)
	}
}

// Guards against interference that is not learned from lagging samples: the
// noisy program must be placed beside the service that it does not slow down.
func TestInterferenceIsLearned(t *testing.T) {
	p, clock := newPlacer(t, hv.Latency)
	for i := range 2 {
		v := hostView(i, 0, 16)
		v.Services = []string{fmt.Sprintf("s%d", i)}
		p.SetHost(v)
	}
	for n := range 400 {
		clock.now = clock.now.Add(5 * time.Second)
		for i := range 2 {
			v := hostView(i, 0, 16)
			v.Services = []string{fmt.Sprintf("s%d", i)}
			v.Programs = map[string]int{"noisy": n / 10 % 3}
			p.SetHost(v)
			slowdown := 0.6
			if past := (n - 6) / 10 % 3; i == 0 && n >= 6 {
				slowdown += 0.2 * float64(past)
			}
			noise := []float64{0.9, 1.1}[n%2]
			p.Observe(hv.InterferenceSample{Host: v.Host.Name, Service: v.Services[0], Slowdown: slowdown * noise, Time: clock.now.Add(-30 * time.Second)})
		}
	}
	affected, unaffected := p.interference.Service("s0").Pair("noisy"), p.interference.Service("s1").Pair("noisy")
	if affected.Mean < 0.15 || unaffected.Mean > 0.05 || affected.Variance > prior.Pair.Variance/4 {
		t.Fatalf("effects are %+v and %+v, want the first high and certain and the second near 0", affected, unaffected)
	}
	for i := range 2 {
		v := hostView(i, 0, 16)
		v.Services = []string{fmt.Sprintf("s%d", i)}
		p.SetHost(v)
	}
	if name, err := p.Place(task("noisy", 1)); err != nil || name != "h1" {
		t.Fatalf("placed on %q, %v, want h1", name, err)
	}
}

// Guards against a suspect host that fails every task immediately and so always
// has free resources: it must not drain the queue, nor get the same task again.
func TestSuspectHostIsRateLimited(t *testing.T) {
	p, clock := newPlacer(t, hv.Throughput)
	v := hostView(0, 0, 16)
	v.Suspect = true
	p.SetHost(v)
	starts := 0
	for range 100 {
		clock.now = clock.now.Add(time.Second)
		if name, err := p.Place(task("p", 1)); err == nil {
			starts++
			p.Release(task("p", 1), name)
		}
	}
	if starts != 10 {
		t.Fatalf("%d starts on a suspect host in 100 s, want 10", starts)
	}
	clock.now = clock.now.Add(time.Minute)
	if _, err := p.Place(task("p", 1), "h0"); hv.KindOf(err) != hv.Full {
		t.Fatalf("placement on the host where the task failed: error is %v, want kind Full", err)
	}
}

func ExamplePlacer() {
	p := New(Options{Clock: hv.SystemClock{}, Prefer: hv.Latency, Violations: func(int, string) {}})
	p.SetHost(hv.HostView{Host: hv.Host{Name: "h1", Zone: "z1", Capacity: hv.Resources{Processors: 16000, Memory: 60 * hv.GB}}, Usable: true})
	fmt.Println(p.Place(hv.Task{ID: "a", Kind: hv.Job, Program: "report", Need: hv.Resources{Processors: 2000}}))
	fmt.Println(p.Place(hv.Task{ID: "b", Kind: hv.Job, Program: "report", Need: hv.Resources{Processors: 20000}}))
	// Output:
	// h1 <nil>
	//  place place: no host in the fleet is large enough
}
