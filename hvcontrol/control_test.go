package hvcontrol

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvhttp"
	"hibiscusvane.example/hibiscusvane/hvlog/hvlogtest"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvplace"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const testSettings = `{"zones":{"a":{"region":"r"}},"gates":{"g":{"zone":"a","address":"127.0.0.1:1"}},"teams":{"stock":{}}}`

// startControl runs the control plane of a single gate in virtual time.
func startControl(t *testing.T, platform *hvlogtest.Log) *Control {
	t.Helper()
	clock := hv.SystemClock{}
	violation := func(n int, m string) { t.Errorf("invariant %d: %s", n, m) }
	c := New(Config{Name: "g", Incarnation: "g1", Region: "r"}, Deps{
		Log: platform, Clock: clock, Members: hvmember.New(clock),
		Placer: hvplace.New(hvplace.Options{Clock: clock, Prefer: hv.Throughput, Violations: violation}),
		Health: hvhealth.New(hvhealth.Options{HostCount: func() int { return 1 }}),
		Logger: log.NewNopLogger(), Mux: hvwire.Mux{}, Violations: violation,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	time.Sleep(time.Second)
	return c
}

func job(id string) hv.Task {
	return hv.Task{ID: id, Kind: hv.Job, Program: "report", Deadline: time.Now().Add(time.Hour)}
}

// Guards against a gate that owns shards before the settings name it, and
// against submissions that are lost, duplicated, or accepted although they are
// invalid or the log is unreachable.
func TestSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		platform := hvlogtest.New(hv.SystemClock{}, 1)
		c := startControl(t, platform)
		time.Sleep(10 * time.Second)
		if n := c.OwnedShards(); n != 0 {
			t.Fatalf("%d shards are owned before the first publication", n)
		}
		files := hvconf.Files{"10.json": json.RawMessage(testSettings)}
		if _, err := c.publish(t.Context(), hvconf.Publication{Files: files}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Second)
		if n := c.OwnedShards(); n != hvtask.Shards {
			t.Fatalf("%d shards are owned, want all", n)
		}
		late, unknownTeam := job("late"), job("stray")
		late.Deadline, unknownTeam.Team = time.Now().Add(-time.Second), "none"
		checkInvalidField(t, c, late, "deadline")
		checkInvalidField(t, c, unknownTeam, "team")
		checkResubmission(t, c)
		platform.SetFaults(hvlogtest.Faults{Down: true})
		time.Sleep(15 * time.Second)
		begin := time.Now()
		_, err := c.Submit(t.Context(), "ann", job("outage"))
		if kind := hv.KindOf(err); kind != hv.Unavailable || time.Since(begin) > time.Second {
			t.Errorf("error %v after %s, want immediate refusal with kind unavailable", err, time.Since(begin))
		}
		platform.SetFaults(hvlogtest.Faults{})
		time.Sleep(time.Minute)
	})
}

func checkInvalidField(t *testing.T, c *Control, task hv.Task, field string) {
	t.Helper()
	_, err := c.Submit(t.Context(), "ann", task)
	var e *hvhttp.Error
	if !errors.As(err, &e) || e.Field != field {
		t.Errorf("error %v, want an error for field %s", err, field)
	}
}

// checkResubmission submits a job twice with the same body and once with another
// one, and then cancels it.
func checkResubmission(t *testing.T, c *Control) {
	t.Helper()
	task := job("report-1")
	for range 2 {
		if got, err := c.Submit(t.Context(), "ann", task); err != nil || got.State != string(hvtask.Queued) {
			t.Fatalf("job %+v, error %v", got, err)
		}
	}
	other := task
	other.Program = "labels"
	if _, err := c.Submit(t.Context(), "ann", other); hv.KindOf(err) != hv.Conflict {
		t.Errorf("another body: error %v, want a conflict", err)
	}
	for caller, want := range map[string]int{"ben": 0, "ann": 1} {
		if n, err := c.Cancel(t.Context(), caller, hvhttp.Selection{IDs: []string{"report-1"}}); n != want || err != nil {
			t.Errorf("%s canceled %d tasks (error %v), want %d", caller, n, err, want)
		}
	}
	if got, err := c.Wait(t.Context(), "ann", hv.Job, "report-1"); err != nil || got.State != string(hvtask.Canceled) {
		t.Errorf("job %+v, error %v; want it canceled", got, err)
	}
}
