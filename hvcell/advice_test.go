package hvcell

import (
	"errors"
	"slices"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// ticketTime is the validity of the tickets.
const ticketTime = 3 * time.Second

// newAdvisedCluster returns a cluster with one job whose tasks need tickets.
func newAdvisedCluster(t *testing.T, hosts, tasks int) *simCluster {
	t.Helper()
	w := newSimCluster(t, hosts)
	w.attachAll()
	w.submit(hvjob.Job{Queue: "advised", Steps: []hvjob.Step{testStep(tasks, 4000)}})
	w.exchange()
	return w
}

// respondToAdviceRequest responds to the next advice request with tickets for the
// allowed hosts.
func (w *simCluster) respondToAdviceRequest(t *testing.T, allowed ...string) AdviceRequest {
	t.Helper()
	q, ok := w.cell.NextAdviceRequest(w.now)
	if !ok {
		t.Fatal("no advice is requested")
	}
	tickets := map[string]string{}
	for _, host := range allowed {
		if slices.Contains(q.ExecutorIDs, idOf(host)) {
			tickets[idOf(host)] = "ticket of " + host
		}
	}
	w.cell.AdviceReceived(w.now, q, tickets, ticketTime)
	return q
}

// Guards against starts without a ticket, which executors refuse, and against
// starts on hosts that must not run the step.
func TestAdvisedStepStartsOnlyWithTickets(t *testing.T) {
	w := newAdvisedCluster(t, 4, 3)
	if n := w.runs(); n != 0 {
		t.Fatalf("%d runs without a ticket", n)
	}
	if q := w.respondToAdviceRequest(t, "host-1"); q.Step != "0000000000000001.0.0" || len(q.ExecutorIDs) != 4 {
		t.Fatalf("advice request is %+v", q)
	}
	w.cell.Plan(w.now)
	for name := range w.hosts {
		for _, s := range w.deliver(name).Starts {
			if name != "host-1" || s.Ticket != "ticket of host-1" {
				t.Errorf("start on %s with ticket %q", name, s.Ticket)
			}
		}
	}
	if n := w.runs(); n != 2 {
		t.Fatalf("%d runs, want the 2 that fit on the allowed host", n)
	}
}

// Guards against repeated requests about denied hosts, whose response does not
// change until the executor restarts: they delay the requests for other steps.
func TestDeniedHostsAreNotAskedAgain(t *testing.T) {
	w := newAdvisedCluster(t, 3, 1)
	w.respondToAdviceRequest(t)
	w.exchange()
	if q, ok := w.cell.NextAdviceRequest(w.now); ok {
		t.Fatalf("advice is requested again: %+v", q)
	}
	e := w.hosts["host-2"]
	e.crash()
	e.start()
	w.exchange()
	if q := w.respondToAdviceRequest(t, "host-2"); !slices.Equal(q.Hosts, []string{"host-2"}) {
		t.Fatalf("asked about %v, want only the host with a new incarnation", q.Hosts)
	}
	w.exchange()
	if w.runs() != 1 {
		t.Fatal("the task does not run in the new incarnation")
	}
}

// Guards against tickets that are used after they have expired. Only the hosts that
// had a ticket are asked about again.
func TestExpiredTicketIsReplaced(t *testing.T) {
	w := newAdvisedCluster(t, 3, 3)
	w.respondToAdviceRequest(t, "host-0")
	w.exchange()
	w.advance(ticketTime)
	w.finishAll(hv.EndDone)
	w.exchange()
	if n := w.runs(); n != 0 {
		t.Fatalf("%d runs with an expired ticket", n)
	}
	if q := w.respondToAdviceRequest(t, "host-0"); !slices.Equal(q.Hosts, []string{"host-0"}) {
		t.Fatalf("asked about %v, want only the allowed host", q.Hosts)
	}
	w.exchange()
	if n := w.runs(); n != 1 {
		t.Fatalf("%d runs, want 1", n)
	}
}

// Guards against a start that is repeated with a ticket that the executor has
// refused.
func TestRefusedTicketIsDropped(t *testing.T) {
	w := newAdvisedCluster(t, 1, 1)
	w.respondToAdviceRequest(t, "host-0")
	w.cell.Plan(w.now)
	o, _ := w.cell.Orders("host-0")
	r := w.hosts["host-0"].report(false)
	r.Refused = []hvorder.Refusal{{Run: o.Starts[0].Profile.Run, Kind: hv.Expired}}
	w.cell.Report(w.now, "host-0", r)
	w.advance(time.Second)
	w.cell.Plan(w.now)
	if o, _ := w.cell.Orders("host-0"); len(o.Starts) > 0 {
		t.Fatalf("started again: %+v", o.Starts)
	}
	w.respondToAdviceRequest(t, "host-0")
	w.exchange()
	if w.runs() != 1 {
		t.Fatal("the task does not run with the new ticket")
	}
}

// Guards against a step whose advice request failed and blocks the requests for
// other steps.
func TestFailedAdviceRequestDoesNotBlockOthers(t *testing.T) {
	w := newAdvisedCluster(t, 2, 1)
	w.submit(hvjob.Job{Queue: "advised", Steps: []hvjob.Step{testStep(1, 1000)}})
	w.exchange()
	first, _ := w.cell.NextAdviceRequest(w.now)
	w.cell.AdviceFailed(w.now, first, errors.New("no response"))
	second, ok := w.cell.NextAdviceRequest(w.now)
	if !ok || second.Step == first.Step {
		t.Fatalf("next request is for %q after %q got no response", second.Step, first.Step)
	}
	w.advance(adviceRetryDelay)
	if again, ok := w.cell.NextAdviceRequest(w.now); !ok || again.Step != first.Step {
		t.Fatalf("advice for %q is not requested again", first.Step)
	}
}

// Guards against requests about so many hosts that the response comes after the goal of
// the job.
func TestAdviceRequestsAreBounded(t *testing.T) {
	w := newAdvisedCluster(t, maxHostsPerRequest+10, 1)
	if q := w.respondToAdviceRequest(t); len(q.ExecutorIDs) != maxHostsPerRequest || q.MaxDuration() != 350*time.Millisecond {
		t.Fatalf("%d hosts, limit %v", len(q.ExecutorIDs), q.MaxDuration())
	}
	if q := w.respondToAdviceRequest(t); len(q.ExecutorIDs) != 10 {
		t.Fatalf("then %d hosts, want the other 10", len(q.ExecutorIDs))
	}
}
