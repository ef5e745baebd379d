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

// Guards against a side that lets a task run on after its lease.
func TestLapseStopsTask(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	f.place(a, "hang")
	f.clock.pass(lease + time.Second)
	eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventLapsed) })
	if got := f.why(); !slices.Equal(got, []string{"stopped"}) {
		t.Errorf("the attempt ended as %q", got)
	}
}

// Guards against a renewal by an owner that has been replaced.
func TestRenewalByEpoch(t *testing.T) {
	for _, c := range []struct {
		epoch int64
		want  string
	}{{4, "stopped"}, {5, ""}} {
		f := newFixture(t, 1)
		f.gates[0].set(func(g *fakeGate) {
			g.renewals = []hvwire.Renewal{{Shard: 3, Epoch: c.epoch, Lease: hv.Duration(10 * lease)}}
		})
		a, stop := f.start()
		f.place(a, "hang")
		f.gates[0].nextBeats(t)
		f.clock.pass(lease + time.Second)
		if c.want != "" {
			eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventLapsed) })
		} else {
			f.gates[0].nextBeats(t)
			f.gates[0].nextBeats(t)
		}
		if got := f.why(); !slices.Equal(got, []string{c.want}) {
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
	attempt := f.place(a, "hang")
	stop()
	b, _ := f.start()
	running := get(f.gates[0], func(g *fakeGate) []hv.RunningAttempt { return g.announce.Running })
	if len(running) != 1 || running[0].Attempt != attempt || running[0].Epoch != 5 {
		t.Errorf("the restarted side announces %+v", running)
	}
	f.place(b, "hang")
	stale := f.order(a, hv.Attempt{Task: "t2", Number: 1}, "hang")
	if err := f.gates[0].call(hvwire.MethodStart, stale, &hvwire.Ack{}); hv.KindOf(err) != hv.Conflict {
		t.Errorf("a start for the earlier process: %v", err)
	}
	if got := f.why(); !slices.Equal(got, []string{""}) {
		t.Errorf("attempts at the worker: %q", got)
	}
}

// Guards against reports that are lost while no gate owns the shard, and
// against the loss of an end that is not acknowledged yet.
func TestReportsUntilAcknowledged(t *testing.T) {
	f := newFixture(t, 2)
	const refused = 4
	f.gates[0].set(func(g *fakeGate) { g.refuse = refused })
	f.gates[1].set(func(g *fakeGate) { g.refuse = 1 << 20 })
	a, _ := f.start()
	f.place(a, "sleep", "1ms")
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

// Guards against an owner that waits for an attempt that the host refused, and
// against a refused attempt that starts after all.
func TestRefusalIsReportedAndFinal(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	big := f.order(a, hv.Attempt{Task: "t1", Number: 1}, "hang")
	big.Committed.Processors = 5000
	if err := f.gates[0].call(hvwire.MethodStart, big, &hvwire.Ack{}); hv.KindOf(err) != hv.Full {
		t.Errorf("a start beyond the capacity: %v", err)
	}
	eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventRefused) })
	big.Committed.Processors = 1000
	if err := f.gates[0].call(hvwire.MethodStart, big, &hvwire.Ack{}); hv.KindOf(err) != hv.Conflict {
		t.Errorf("a refused attempt was repeated: %v", err)
	}
	if got := f.why(); len(got) != 0 {
		t.Errorf("attempts at the worker: %q", got)
	}
}

// Guards against an owner that waits for ever for an attempt that is not here.
func TestStopOfAbsentAttempt(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	attempt := hv.Attempt{Task: "t1", Number: 1}
	if err := f.gates[0].call(hvwire.MethodStop, hvwire.Stop{Attempt: attempt, Shard: 3, Epoch: 5}, &hvwire.StopAck{}); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventStopped) })
	if err := f.gates[0].call(hvwire.MethodStart, f.order(a, attempt, "hang"), &hvwire.Ack{}); hv.KindOf(err) != hv.Conflict {
		t.Errorf("the attempt started after the report: %v", err)
	}
}

// Guards against an eviction that loses the checkpoint, and against one of a
// task that cannot write a checkpoint and must not run twice.
func TestEviction(t *testing.T) {
	for _, c := range []struct {
		program string
		once    bool
		stopped bool
	}{{"sleep", true, true}, {"once", true, false}, {"once", false, true}} {
		f := newFixture(t, 1)
		a, stop := f.start()
		m := f.order(a, hv.Attempt{Task: "t1", Number: 1}, c.program, "1h")
		m.Task.Kind, m.Task.Once = hv.Job, c.once
		if err := f.gates[0].call(hvwire.MethodStart, m, &hvwire.Ack{}); err != nil {
			t.Fatal(err)
		}
		var ack hvwire.StopAck
		err := f.gates[0].call(hvwire.MethodStop, hvwire.Stop{Attempt: m.Attempt, Shard: 3, Epoch: 5, Checkpoint: true}, &ack)
		if (err == nil) != c.stopped || c.stopped && c.once && ack.Checkpoint == "" {
			t.Errorf("%+v: answer %+v, error %v", c, ack, err)
		}
		if c.stopped {
			eventually(t, "the report", func() bool { return f.gates[0].reported(hvwire.EventEvicted) })
		}
		if got := f.why(); (got[0] == "stopped") != c.stopped {
			t.Errorf("%+v: the attempt ended as %q", c, got)
		}
		stop()
	}
}

// Guards against an end that is reported while a start may still arrive at the
// worker.
func TestUnansweredStart(t *testing.T) {
	f := newFixture(t, 1)
	a, _ := f.start()
	f.worker.SetFaults(hvworkertest.Faults{DropResponses: true})
	m := f.order(a, hv.Attempt{Task: "t1", Number: 1}, "hang")
	done := make(chan error, 1)
	go func() { done <- f.gates[0].call(hvwire.MethodStart, m, &hvwire.Ack{}) }()
	eventually(t, "the start", func() bool { return len(f.why()) == 1 })
	if f.gates[0].reported(hvwire.EventRefused) {
		t.Error("an attempt that runs was reported as refused")
	}
	f.worker.SetFaults(hvworkertest.Faults{})
	if err := <-done; err != nil || !slices.Equal(f.why(), []string{""}) {
		t.Errorf("after the fault: error %v, attempts %q", err, f.why())
	}
}
