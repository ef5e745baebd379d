package hvcell

import (
	"maps"
	"slices"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// maxIdle is how long a task may wait on an idle host that may run it.
const maxIdle = 3 * time.Second

// only is the label of host-0.
const only = "only"

// newLabelledCluster returns a cluster with a host that the others cannot replace.
func newLabelledCluster(t *testing.T, hosts int) *simCluster {
	w := newSimCluster(t, hosts)
	w.hosts["host-0"].labels = []string{only}
	w.attachAll()
	return w
}

// exchangeFor lets the cluster go on for a time.
func (w *simCluster) exchangeFor(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.advance(100 * time.Millisecond) {
		w.exchange()
	}
	w.exchange()
}

// Guards against a gang that never starts again after a run of it failed, or a start was
// refused, on the only host that may run it: it waited for others that may not.
func TestGangStartsAgainOnItsOnlyHost(t *testing.T) {
	gang := testStep(2, 500)
	gang.Gang = true
	for name, change := range map[string]func(s *hvjob.Step){
		"label":           func(s *hvjob.Step) { s.RequiredLabel = only },
		"size":            func(s *hvjob.Step) { s.Need.CPU = 7000 },
		"tightly coupled": func(s *hvjob.Step) { s.RequiredLabel, s.TightlyCoupled = only, true },
		"best effort":     func(s *hvjob.Step) { s.RequiredLabel, s.BestEffort = only, true },
	} {
		for _, refused := range []bool{false, true} {
			w := newSimCluster(t, 4)
			for host, e := range w.hosts {
				e.capacityCPU = 4000
				if host == "host-0" {
					e.labels, e.capacityCPU = []string{only}, 16_000
				}
			}
			w.attachAll()
			s := gang
			change(&s)
			w.submit(urgentJob(s))
			if refused {
				w.cell.Plan(w.now)
				if n := w.refuseStarts("host-0", hv.Unavailable); n != 2 {
					t.Fatalf("%s: %d starts are refused, want 2", name, n)
				}
			} else {
				w.exchange()
				e := w.hosts["host-0"]
				failed := slices.Sorted(maps.Keys(e.running))[0]
				e.end(failed, e.running[failed], hv.EndFailed)
				w.finishAll(hv.EndGangBroken)
			}
			w.exchangeFor(maxIdle)
			if w.runs() != 2 {
				t.Errorf("%s, refused %v: %d members run %v later, want 2", name, refused, w.runs(), maxIdle)
			}
		}
	}
}
