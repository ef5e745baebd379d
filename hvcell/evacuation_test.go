package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against starts in an evacuated zone, also by a new owner and after the end
// of a run there, against runs that an evacuation stops, and against a zone that
// stays unused after it was taken back.
func TestEvacuatedZoneStartsNothing(t *testing.T) {
	w := newRunningCluster(t, 4, testStep(8, 3000))
	if n := w.runs(); n != 8 {
		t.Fatalf("%d runs before the evacuation, want 8", n)
	}
	w.evacuate("north")
	w.exchange()
	if n := w.runs(); n != 8 {
		t.Fatalf("%d runs in an evacuation, want the 8 that had started", n)
	}
	w.finishAll(hv.EndDone)
	w.submit(urgentJob(testStep(8, 3000)))
	w.exchange()
	w.replaceOwner()
	w.attachAll()
	w.exchange()
	if north := len(w.hosts["host-0"].running) + len(w.hosts["host-2"].running); north != 0 || w.runs() != 4 {
		t.Fatalf("%d runs, %d of them in the evacuated zone; want 4 and none", w.runs(), north)
	}
	w.evacuate("north", "south")
	w.finishAll(hv.EndDone)
	w.exchange()
	if n := w.runs(); n != 0 {
		t.Fatalf("%d runs with all zones evacuated, want none", n)
	}
	w.evacuate()
	w.exchange()
	if n := w.runs(); n != 4 {
		t.Fatalf("%d runs after the zones were taken back, want the last 4", n)
	}
}

// Guards against starts that were ordered before an evacuation and are sent, or tried
// again by the node, after it.
func TestEvacuationWithdrawsStarts(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	w.submit(urgentJob(testStep(2, 8000)))
	w.cell.Plan(w.now)
	w.evacuate("north")
	if o := w.deliver("host-0"); len(o.Starts) != 0 || !o.Withdraw {
		t.Fatalf("orders after the evacuation hold %d starts, withdraw %v; want none and true", len(o.Starts), o.Withdraw)
	}
	w.exchange()
	if n := w.runs(); n != 1 {
		t.Fatalf("%d runs, want 1 in the other zone", n)
	}
	// A node that attaches may still try to start a run.
	e := w.hosts["host-0"]
	r := e.report(true)
	r.Pending = []hvorder.Run{{Task: w.cell.jobs[w.jobs[0].ID].rounds[0].steps[0].tasks[1].name, Run: 1}}
	w.cell.NodeDetached(w.now, e.name)
	w.cell.NodeAttached(w.now, e.name, r)
	if o, _ := w.cell.Orders(e.name); !o.Withdraw {
		t.Fatal("a start that is pending on attachment is not withdrawn")
	}
}

// Guards against a gang whose other members wait for one that was withdrawn.
func TestEvacuationStopsRestOfGang(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	gang := testStep(2, 8000)
	gang.Gang = true
	w.submit(urgentJob(gang))
	w.cell.Plan(w.now)
	w.deliver("host-1")
	w.evacuate("north")
	w.deliver("host-0")
	w.deliver("host-1")
	w.advance(time.Second)
	if n := w.runs(); n != 0 {
		t.Fatalf("%d members of the gang still run, want none", n)
	}
}

// Guards against work that goes to slow hosts while others are free, and against
// slow hosts that get none when nothing else is free.
func TestColdHostsAreUsedLast(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	e := w.hosts["host-0"]
	r := e.report(false)
	r.Host.ColdMillis = 2000
	w.cell.Report(w.now, e.name, r)
	w.submit(hvjob.Job{Queue: "urgent", Steps: []hvjob.Step{testStep(4, 2000)}})
	w.cell.Plan(w.now)
	if n := len(w.cell.hosts["host-0"].runs); n != 0 {
		t.Fatalf("%d runs on the cold host although the other one has room", n)
	}
	w.submit(hvjob.Job{Queue: "urgent", Steps: []hvjob.Step{testStep(2, 2000)}})
	w.cell.Plan(w.now)
	if n := len(w.cell.hosts["host-0"].runs); n != 2 {
		t.Fatalf("%d runs on the cold host, want the 2 that fit nowhere else", n)
	}
}
