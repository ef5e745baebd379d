package hvslope

import (
	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvplace"
)

// viewOf returns the view of a host that the gate passes to the placer.
func (f *fleet) viewOf(host int) hv.HostView {
	v := hv.HostView{
		Host: f.hosts[host], Usable: true, Programs: map[string]int{}, Groups: map[string]int{}, Services: []string{serviceOf(host)},
		Committed: hv.Resources{Processors: 3000, Memory: 6 * hv.GB},
	}
	for i := host; i < len(f.running); i += len(f.hosts) {
		t := f.running[i]
		v.Committed = v.Committed.Add(t.Need)
		if t.Kind == hv.Service {
			v.Services = append(v.Services, t.Program)
		} else {
			v.Programs[t.Program]++
		}
	}
	return v
}

func (f *fleet) placer(clock hv.Clock) *hvplace.Placer {
	p := hvplace.New(hvplace.Options{Clock: clock, Prefer: hv.Throughput, Seed: 1, Violations: violation})
	for i := range f.hosts {
		p.SetHost(f.viewOf(i))
	}
	return p
}

// PlacementCost returns the cost of one placement decision.
func (f *fleet) PlacementCost() cost {
	p := f.placer(&manualClock{startTime})
	next := 2_000_000
	place := func() {
		for range designStarts {
			t := taskOf(next)
			next++
			host, err := p.Place(t)
			if err != nil {
				panic(err)
			}
			p.Release(t, host)
		}
	}
	return measure(10*designStarts, func() {
		for range 10 {
			place()
		}
	})
}
