package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// refuseStarts returns the refusal of all starts that are ordered from a host.
func (w *simCluster) refuseStarts(name string, kind hv.ErrorKind) int {
	o, _ := w.cell.Orders(name)
	e := w.hosts[name]
	r := e.report(false)
	for _, s := range o.Starts {
		r.Refused = append(r.Refused, hvorder.Refusal{Run: s.Run, Kind: kind})
	}
	r.Stopped = append(r.Stopped, o.Stops...)
	e.applyGrant(w.cell.Report(w.now, name, r))
	return len(o.Starts)
}

// Guards against an executor that refuses all starts and, as it looks idle, gets each task
// that arrives, or the same ones again and again: they wait while another host has room.
func TestHostThatRefusesStartsGetsFewTasks(t *testing.T) {
	for _, kind := range []hv.ErrorKind{hv.Full, hv.Unavailable} {
		t.Run(string(kind), func(t *testing.T) {
			w := newSimCluster(t, 2)
			w.attachAll()
			refused := 0
			for i := range 300 {
				if i%5 == 0 {
					w.submit(urgentJob(testStep(1, 1000)))
				}
				w.advance(10 * time.Millisecond)
				w.cell.Report(w.now, "host-1", w.hosts["host-1"].report(false))
				w.store()
				w.cell.Plan(w.now)
				w.deliver("host-1")
				refused += w.refuseStarts("host-0", kind)
				if i%20 == 0 {
					w.finishAll(hv.EndDone)
				}
			}
			if refused > 10 {
				t.Fatalf("%d starts were sent in 3 s to a host that refuses them, want at most 10", refused)
			}
		})
	}
}
