package hvworker_test

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvworker"
	"hibiscusvane.example/hibiscusvane/hvworker/hvworkertest"
)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

type fixture struct {
	*testing.T
	clock  *manualClock
	worker *hvworkertest.Worker
	client *hvworker.Client
}

func newFixture(t *testing.T) *fixture {
	clock := &manualClock{now: time.Unix(1e9, 0)}
	w := hvworkertest.New(hvworkertest.Options{UsageLag: 30 * time.Second, UsageFactor: 0.5}, clock)
	server := httptest.NewServer(w.Handler())
	t.Cleanup(server.Close)
	return &fixture{t, clock, w, hvworker.New(server.URL, &http.Client{})}
}

func running(id string, number int, program string, args ...string) hv.RunningAttempt {
	return hv.RunningAttempt{
		Attempt: hv.Attempt{Task: id, Number: number}, Lease: hv.Duration(10 * time.Second), Shard: 3, Epoch: 2,
		Task: hv.Task{ID: id, Kind: hv.Job, Program: program, Args: args, Need: hv.Resources{Processors: 1000, Memory: hv.GB}},
	}
}

func (f *fixture) start(r hv.RunningAttempt, from string) {
	f.Helper()
	if err := f.client.Start(f.Context(), r, from); err != nil {
		f.Fatal(err)
	}
}

func (f *fixture) advance(d time.Duration) { f.clock.now = f.clock.now.Add(d) }

func (f *fixture) state(a hv.Attempt) hv.RunningAttempt {
	f.Helper()
	all, err := f.client.Tasks(f.Context())
	if err != nil {
		f.Fatal(err)
	}
	if i := slices.IndexFunc(all, func(r hv.RunningAttempt) bool { return r.Attempt == a }); i >= 0 {
		return all[i]
	}
	return hv.RunningAttempt{State: "absent"}
}

// TestLease guards against a fake worker that runs a task beyond its lease, and
// against overlapping attempts that are not detected.
func TestLease(t *testing.T) {
	f := newFixture(t)
	// Task identifiers may contain a slash.
	first, second := running("a/b", 1, "hang"), running("a/b", 2, "hang")
	f.start(first, "")
	f.advance(9 * time.Second)
	f.start(first, "")
	if h := f.worker.History(); len(h) != 1 || !h[0].Begin.Before(f.clock.now) {
		t.Errorf("a repeated start restarted the attempt: %+v", h)
	}
	if err := f.client.Renew(t.Context(), first.Attempt, 10*time.Second); err != nil {
		t.Fatal(err)
	}
	f.advance(9 * time.Second)
	if got := f.state(first.Attempt); got.State != hv.StateRunning || got.Shard != 3 || got.Lease.Std() != time.Second {
		t.Errorf("got %+v, want running in shard 3 with 1 s of lease", got)
	}
	f.advance(2 * time.Second)
	if err := f.client.Renew(t.Context(), first.Attempt, 10*time.Second); hv.KindOf(err) != hv.NotFound {
		t.Errorf("renewal of an attempt with an expired lease: %v, want kind not found", err)
	}
	f.start(second, "")
	if o := hvworkertest.Overlaps(f.worker.History()); len(o) != 0 {
		t.Errorf("unexpected overlaps: %v", o)
	}
	f.start(running("a/b", 3, "hang"), "")
	if o := hvworkertest.Overlaps(f.worker.History()); len(o) != 1 {
		t.Errorf("got overlaps %v, want 1", o)
	}
	if err := f.client.Stop(t.Context(), second.Attempt); err != nil || f.state(second.Attempt).State != "absent" {
		t.Errorf("attempt was not stopped: %v", err)
	}
	if err := f.client.Stop(t.Context(), second.Attempt); err != nil {
		t.Errorf("stop is not idempotent: %v", err)
	}
}

// TestProgress guards against progress that is lost or counted twice when a task is
// throttled and continued from a checkpoint.
func TestProgress(t *testing.T) {
	f := newFixture(t)
	r := running("t", 1, "sleep", "6s")
	f.start(r, "")
	f.advance(2 * time.Second)
	if err := f.client.Throttle(t.Context(), r.Attempt, 500); err != nil {
		t.Fatal(err)
	}
	f.advance(4 * time.Second)
	checkpoint, err := f.client.Checkpoint(t.Context(), r.Attempt)
	if err != nil || checkpoint != "progress=4s" {
		t.Fatalf("checkpoint %q, error %v", checkpoint, err)
	}
	if err := f.client.Stop(t.Context(), r.Attempt); err != nil {
		t.Fatal(err)
	}
	r.Attempt.Number = 2
	f.start(r, checkpoint)
	f.advance(1999 * time.Millisecond)
	if got := f.state(r.Attempt).State; got != hv.StateRunning {
		t.Errorf("state %s before its end", got)
	}
	f.advance(time.Millisecond)
	if got := f.state(r.Attempt).State; got != hv.StateDone {
		t.Errorf("state %s at its end", got)
	}
}

// TestUsage guards against usage reports without the configured lag, and against
// reports that ignore throttling.
func TestUsage(t *testing.T) {
	f := newFixture(t)
	r := running("t", 1, "spin")
	r.Lease = hv.Duration(time.Hour)
	f.start(r, "")
	for _, c := range []struct {
		pass time.Duration
		want []int64
	}{{29 * time.Second, nil}, {2 * time.Second, []int64{1000}}, {30 * time.Second, []int64{500}}} {
		f.advance(c.pass)
		usage, err := f.client.Usage(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		var got []int64
		for _, u := range usage {
			got = append(got, u.Used.Processors)
		}
		if !slices.Equal(got, c.want) {
			t.Errorf("at %v: used %v, want %v", f.clock.now, got, c.want)
		}
		if err := f.client.Throttle(t.Context(), r.Attempt, 500); err != nil {
			t.Fatal(err)
		}
	}
}

// TestFaults guards against a definite error after a lost response, and against
// injected faults without effect.
func TestFaults(t *testing.T) {
	f := newFixture(t)
	f.worker.SetFaults(hvworkertest.Faults{DropResponses: true})
	r := running("t", 1, "hang")
	if err := f.client.Start(t.Context(), r, ""); hv.KindOf(err) != hv.Uncertain {
		t.Errorf("start with a lost response: %v, want kind uncertain", err)
	}
	f.worker.SetFaults(hvworkertest.Faults{Unreachable: true})
	if _, err := f.client.Tasks(t.Context()); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("list of an unreachable worker: %v, want kind unavailable", err)
	}
	f.worker.SetFaults(hvworkertest.Faults{FailTasks: true})
	if got := f.state(r.Attempt).State; got != hv.StateRunning {
		t.Errorf("the start without a response had no effect: state %s", got)
	}
	bad := running("bad", 1, "sleep", "1h")
	f.start(bad, "")
	if got := f.state(bad.Attempt); got.State != hv.StateFailed {
		t.Errorf("a task of a failing worker has state %s, want failed", got.State)
	}
	if err := f.client.Start(t.Context(), running("x", 1, "sleep", "soon"), ""); hv.KindOf(err) != hv.Invalid {
		t.Errorf("start with an invalid argument: %v, want kind invalid", err)
	}
}
