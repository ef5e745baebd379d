package hvcell

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against a step that starts before the steps that it depends on, and against
// a job that never becomes complete.
func TestStepsRunInOrder(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	second := testStep(3, 1000)
	second.After = []int{0}
	j := w.submit(urgentJob(testStep(4, 1000), second))
	w.exchange()
	if n := w.runs(); n != 4 {
		t.Fatalf("%d runs, want the 4 of the first step", n)
	}
	w.finishAll(hv.EndDone)
	w.exchange()
	if n := w.runs(); n != 3 {
		t.Fatalf("%d runs, want the 3 of the second step", n)
	}
	w.finishAll(hv.EndDone)
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Complete {
		t.Fatalf("stored state is %q", s)
	}
}

// Guards against runs of a cancelled job that continue or start again, also under a
// new owner.
func TestCancelStopsRuns(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	j := w.submit(urgentJob(testStep(6, 1000)))
	w.exchange()
	w.cancel(j.ID)
	w.exchange()
	w.exchange()
	if w.runs() != 0 {
		t.Fatalf("%d runs of a cancelled job", w.runs())
	}
	w.replaceOwner()
	w.attachAll()
	w.exchange()
	if w.runs() != 0 {
		t.Fatalf("%d runs of a cancelled job under a new owner", w.runs())
	}
}

// Guards against a gang of which only some tasks start, and against a job that does not
// end with its gang.
func TestGangStartsCompletelyOrNotAtAll(t *testing.T) {
	w := newSimCluster(t, 2)
	w.attachAll()
	blocker := w.submit(urgentJob(testStep(5, 2000)))
	w.exchange()
	gang := testStep(4, 2000)
	gang.Gang = true
	j := w.submit(urgentJob(gang))
	w.exchange()
	if w.runs() != 5 {
		t.Fatalf("%d runs, want none of the gang beside the 5", w.runs())
	}
	w.cancel(blocker.ID)
	w.exchange()
	w.exchange()
	if w.runs() != 4 {
		t.Fatalf("%d runs, want the 4 of the gang", w.runs())
	}
	w.finishAll(hv.EndDone)
	w.exchange()
	if s := w.stored[j.ID].State; s != hvjob.Complete {
		t.Fatalf("state of the gang's job is %q", s)
	}
}

// Guards against a scheduled round that starts early or never.
func TestRoundsStartWhenDue(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	j := urgentJob(testStep(1, 1000))
	j.Repetitions, j.FirstDue, j.Interval = 2, w.now.Add(3*time.Second).UnixMilli(), 4000
	j = w.submit(j)
	w.exchange()
	w.advance(2500 * time.Millisecond)
	w.exchange()
	if w.runs() != 0 {
		t.Fatal("the round starts before it is due")
	}
	for range 2 {
		w.advance(time.Second)
		w.exchange()
		if w.runs() != 1 {
			t.Fatal("the round that is due does not start")
		}
		w.finishAll(hv.EndDone)
		w.exchange()
		w.advance(3 * time.Second)
		w.exchange()
	}
	if s := w.stored[j.ID].State; s != hvjob.Complete {
		t.Fatalf("state after both rounds is %q", s)
	}
}

// Guards against an owner that starts tasks or renews leases while another may have
// replaced it.
func TestSuspendedOwnerStartsNothing(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	w.cell.Suspend(true)
	w.submit(urgentJob(testStep(1, 1000)))
	before := w.hosts["host-0"].leaseEnd
	w.advance(time.Second)
	w.exchange()
	if w.runs() != 0 || w.hosts["host-0"].leaseEnd.After(before) {
		t.Fatal("a suspended owner starts tasks or renews leases")
	}
}

// Guards against a job that is counted as running although no host has begun any of its
// tasks: callers are told how many jobs wait.
func TestJobIsQueuedUntilTaskBegins(t *testing.T) {
	refused := func(w *simCluster, o hvorder.Orders) {
		w.cell.Report(w.now, "host-0", hvorder.Report{Refused: []hvorder.Refusal{{Run: o.Starts[0].Run, Kind: hv.Full}}})
	}
	for name, lose := range map[string]func(w *simCluster, o hvorder.Orders){
		"ordered": func(*simCluster, hvorder.Orders) {},
		"refused": refused,
		"executor gone": func(w *simCluster, _ hvorder.Orders) {
			w.cell.Report(w.now, "host-0", hvorder.Report{ExecutorGone: true})
		},
		"owner lost": func(w *simCluster, _ hvorder.Orders) {
			w.store()
			w.replaceOwner()
			w.attachAll()
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newSimCluster(t, 1)
			w.attachAll()
			j := w.submit(urgentJob(testStep(1, 1000)))
			w.cell.Plan(w.now)
			o, ok := w.cell.Orders("host-0")
			if !ok || len(o.Starts) != 1 {
				t.Fatalf("orders are %+v, want one start", o)
			}
			lose(w, o)
			w.store()
			if s := w.stored[j.ID].State; s != "" && s != hvjob.Queued {
				t.Fatalf("job is %q although no task has begun", s)
			}
			if name == "ordered" {
				w.hosts["host-0"].applyOrders(o)
			}
			w.advance(time.Second)
			w.exchange()
			w.exchange()
			if s := w.stored[j.ID].State; w.runs() != 1 || s != hvjob.Running {
				t.Fatalf("job is %q with %d runs, want it running with one", s, w.runs())
			}
		})
	}
}
