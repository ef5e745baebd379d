package hvagent

import (
	"slices"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvworker/hvworkertest"
)

const lease = 10 * time.Second

// Guards against a side that lets a task run after its lease has expired.
func TestLapseStopsTask(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	f.startAttempt(a, "hang")
	f.clock.advance(lease + time.Second)
	eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventLapsed) })
	if got := f.endReasons(); !slices.Equal(got, []string{"stopped"}) {
		t.Errorf("the attempt ended as %q", got)
	}
}

// Guards against a lease that is renewed by an owner that has been replaced.
func TestRenewalByEpoch(t *testing.T) {
	for _, c := range []struct {
		epoch int64
		want  string
	}{{4, "stopped"}, {5, ""}} {
		f := newFixture(t, 1)
		f.gates[0].update(func(g *fakeGate) {
			g.renewals = []hvwire.Renewal{{Shard: 3, Epoch: c.epoch, Lease: hv.Duration(10 * lease)}}
		})
		a, stop := f.start()
		f.startAttempt(a, "hang")
		f.gates[0].awaitHeartbeats(t)
		f.clock.advance(lease + time.Second)
		if c.want != "" {
			eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventLapsed) })
		} else {
			f.gates[0].awaitHeartbeats(t)
			f.gates[0].awaitHeartbeats(t)
		}
		if got := f.endReasons(); !slices.Equal(got, []string{c.want}) {
			t.Errorf("epoch %d: the attempt ended as %q, want %q", c.epoch, got, c.want)
		}
		stop()
	}
}

// Guards against a restarted side that forgets a running task or starts it
// again.
func TestRestart(t *testing.T) {
	f := newFixture(t, 1)
	a, stop := f.start()
	attempt := f.startAttempt(a, "hang")
	stop()
	b, _ := f.start()
	running := get(f.gates[0], func(g *fakeGate) []hv.RunningAttempt { return g.announce.Running })
	if len(running) != 1 || running[0].Attempt != attempt || running[0].Epoch != 5 {
		t.Errorf("the restarted side announced %+v", running)
	}
	f.startAttempt(b, "hang")
	stale := f.startRequest(a, hv.Attempt{Task: "t2", Number: 1}, "hang")
	if err := f.gates[0].call(hvwire.MethodStart, stale, &hvwire.Ack{}); hv.KindOf(err) != hv.Conflict {
		t.Errorf("a start for the previous incarnation: %v", err)
	}
	if got := f.endReasons(); !slices.Equal(got, []string{""}) {
		t.Errorf("attempts at the worker: %q", got)
	}
}

// Guards against reports that are lost while no gate owns the shard, and against
// an ended attempt that is removed from the worker before its report is
// acknowledged.
func TestReportsUntilAcknowledged(t *testing.T) {
	f := newFixture(t, 2)
	const refused = 4
	f.gates[0].update(func(g *fakeGate) { g.unacknowledgedReports = refused })
	f.gates[1].update(func(g *fakeGate) { g.unacknowledgedReports = 1 << 20 })
	a, _ := f.start()
	f.startAttempt(a, "sleep", "1ms")
	eventually(t, "the removal at the worker", func() bool {
		tasks, err := a.tasks.worker.Tasks(t.Context())
		return err == nil && len(tasks) == 0
	})
	if n := get(f.gates[0], func(g *fakeGate) int { return len(g.reports) }); n <= refused {
		t.Errorf("the end was removed from the worker after %d reports, none of them acknowledged", n)
	}
	if !f.gates[0].reported(hvwire.EventDone) || !f.gates[1].reported(hvwire.EventDone) {
		t.Error("the end was not reported to all gates")
	}
}

// Guards against a refusal that is not reported, so that the owner waits for the
// attempt, and against an attempt that starts after it was refused.
func TestRefusalIsReportedAndFinal(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	oversized := f.startRequest(a, hv.Attempt{Task: "t1", Number: 1}, "hang")
	oversized.Committed.Processors = 5000
	if err := f.gates[0].call(hvwire.MethodStart, oversized, &hvwire.Ack{}); hv.KindOf(err) != hv.Full {
		t.Errorf("a start beyond the capacity: %v", err)
	}
	eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventRefused) })
	oversized.Committed.Processors = 1000
	if err := f.gates[0].call(hvwire.MethodStart, oversized, &hvwire.Ack{}); hv.KindOf(err) != hv.Conflict {
		t.Errorf("a second start of the refused attempt: %v", err)
	}
	if got := f.endReasons(); len(got) != 0 {
		t.Errorf("attempts at the worker: %q", got)
	}
}

// Guards against an owner that waits forever for the end of an attempt that is
// not on this host.
func TestStopOfAbsentAttempt(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	attempt := hv.Attempt{Task: "t1", Number: 1}
	if err := f.gates[0].call(hvwire.MethodStop, hvwire.Stop{Attempt: attempt, Shard: 3, Epoch: 5}, &hvwire.StopAck{}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventStopped) })
	if err := f.gates[0].call(hvwire.MethodStart, f.startRequest(a, attempt, "hang"), &hvwire.Ack{}); hv.KindOf(err) != hv.Conflict {
		t.Errorf("a start after the attempt was reported as stopped: %v", err)
	}
}

// Guards against an eviction that loses the checkpoint, and against the eviction
// of a task that can't write a checkpoint and must not run twice.
func TestEviction(t *testing.T) {
	for _, c := range []struct {
		program string
		once    bool
		stopped bool
	}{{"sleep", true, true}, {"once", true, false}, {"once", false, true}} {
		f := newFixture(t, 1)
		a, stop := f.start()
		req := f.startRequest(a, hv.Attempt{Task: "t1", Number: 1}, c.program, "1h")
		req.Task.Kind, req.Task.Once = hv.Job, c.once
		if err := f.gates[0].call(hvwire.MethodStart, req, &hvwire.Ack{}); err != nil {
			t.Fatal(err)
		}
		var ack hvwire.StopAck
		err := f.gates[0].call(hvwire.MethodStop, hvwire.Stop{Attempt: req.Attempt, Shard: 3, Epoch: 5, Checkpoint: true}, &ack)
		if (err == nil) != c.stopped || c.stopped && c.once && ack.Checkpoint == "" {
			t.Errorf("%+v: response %+v, error %v", c, ack, err)
		}
		if c.stopped {
			eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventEvicted) })
		}
		if got := f.endReasons(); (got[0] == "stopped") != c.stopped {
			t.Errorf("%+v: the attempt ended as %q", c, got)
		}
		stop()
	}
}

// Guards against an attempt that is reported as refused although the worker may
// still start it, because it did not respond to the start.
func TestUnansweredStart(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	f.worker.SetFaults(hvworkertest.Faults{DropResponses: true})
	req := f.startRequest(a, hv.Attempt{Task: "t1", Number: 1}, "hang")
	done := make(chan error, 1)
	go func() { done <- f.gates[0].call(hvwire.MethodStart, req, &hvwire.Ack{}) }()
	eventually(t, "the start", func() bool { return len(f.endReasons()) == 1 })
	if f.gates[0].reported(hvwire.EventRefused) {
		t.Error("an attempt that runs was reported as refused")
	}
	f.worker.SetFaults(hvworkertest.Faults{})
	if err := <-done; err != nil || !slices.Equal(f.endReasons(), []string{""}) {
		t.Errorf("after the fault: error %v, attempts %q", err, f.endReasons())
	}
}
