package hvbackfill

import (
	"testing"
	"time"
)

// busyHost returns a host on which one core is free and others become free each second.
func busyHost() *Host {
	h := &Host{Free: Amount{CPU: 1000, Unused: 1000, Memory: 10}}
	for i := range 4 {
		h.Releases = append(h.Releases, Release{After: time.Duration(4-i) * time.Second, Amount: Amount{CPU: 1000, Unused: 500, Memory: 10}})
	}
	SortReleases(h.Releases)
	return h
}

// Guards against reserved times at which one of the needed resources is not free yet.
func TestEarliestWaitsForAllResources(t *testing.T) {
	for name, c := range map[string]struct {
		need Amount
		want time.Duration
		ok   bool
	}{
		"now":             {Amount{CPU: 1000, Memory: 10}, 0, true},
		"processors":      {Amount{CPU: 3000, Memory: 10}, 2 * time.Second, true},
		"memory":          {Amount{CPU: 2000, Memory: 50}, 4 * time.Second, true},
		"best effort":     {Amount{Unused: 2000}, 2 * time.Second, true},
		"more than ends":  {Amount{CPU: 6000}, 0, false},
		"devices missing": {Amount{GPU: 1}, 0, false},
	} {
		if got, _, ok := busyHost().Earliest(c.need); got != c.want || ok != c.ok {
			t.Errorf("%s: %v, %v, want %v, %v", name, got, ok, c.want, c.ok)
		}
	}
}

// Guards against a gang of which some tasks have no host at the time of its start.
func TestGangStartsWhenItsLastSlotIsFree(t *testing.T) {
	d := Demand{Need: Amount{CPU: 2000}, Takes: Amount{CPU: 2000, Unused: 2000}, Count: 3}
	idle := &Host{Free: Amount{CPU: 2000}}
	slots := AppendSlots(AppendSlots(nil, 0, busyHost(), d, 9), 1, idle, d, 9)
	chosen, after, ok := Choose(slots, d.Count)
	if !ok || after != 3*time.Second || chosen[0].Host != 0 || chosen[1].Host != 0 || chosen[2].Host != 1 {
		t.Errorf("chosen %v after %v, %v", chosen, after, ok)
	}
	if _, _, ok := Choose(AppendSlots(nil, 0, busyHost(), d, 1), d.Count); ok {
		t.Error("a gang of 3 fits on a host that may have one of its tasks")
	}
}

// Guards against work that delays a promise, and against capacity that is kept idle
// although the promise does not need it.
func TestOnlyWorkThatFitsBesidePromiseRunsBeyondIt(t *testing.T) {
	h := busyHost()
	first := h.Promise(Demand{Need: Amount{CPU: 2500}, Takes: Amount{CPU: 2500, Unused: 2500}, Count: 1}, 1, 2*time.Second)
	for name, c := range map[string]struct {
		takes  Amount
		lasts  time.Duration
		delays bool
	}{
		"ends before":       {Amount{CPU: 1000}, 2 * time.Second, false},
		"ends after":        {Amount{CPU: 1000}, 3 * time.Second, true},
		"fits beside":       {Amount{CPU: 500}, Endless, false},
		"other processors":  {Amount{Unused: 1000}, Endless, false},
		"takes no resource": {Amount{}, Endless, false},
	} {
		if got := first.Delays(c.takes, c.lasts); got != c.delays {
			t.Errorf("%s: delays is %v", name, got)
		}
	}
	first.Use(Amount{CPU: 500}, Endless, 1)
	if !first.Delays(Amount{CPU: 500}, Endless) {
		t.Error("spare capacity is used twice")
	}
	second := h.Promise(Demand{Need: Amount{Unused: 100}, Takes: Amount{Unused: 100}, Count: 1}, 1, 4*time.Second)
	if after, _, ok := h.Earliest(Amount{CPU: 2600}); ok {
		t.Errorf("what is promised becomes free for others after %v", after)
	}
	second.Fulfil(Amount{Unused: 100}, Amount{Unused: 100}, 1)
	if second.Open() || second.Delays(Amount{Unused: 5000}, Endless) {
		t.Error("a promise binds others after its work has started")
	}
}

// Guards against small tasks that strand devices or leave a gap on an empty host.
func TestTaskFitsBestWhereLeastIsLeft(t *testing.T) {
	need, full := Amount{CPU: 1000, Memory: 10}, Amount{CPU: 8000, Memory: 100}
	tight, empty := Fit(need, Amount{CPU: 1500, Memory: 90}, full), Fit(need, full, full)
	devices := Fit(need, Amount{CPU: 1500, Memory: 90, GPU: 2}, Amount{CPU: 8000, Memory: 100, GPU: 2})
	if tight <= empty || devices >= tight || Fit(need, need, full) != 1 {
		t.Errorf("tight %v, empty %v, with devices %v", tight, empty, devices)
	}
}
