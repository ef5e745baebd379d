package hvlog_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	kitlog "github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvlog"
	"hibiscusvane.example/hibiscusvane/hvlog/hvlogtest"
)

// Guards against double effects of appends whose answers were lost. The first
// figure is what a reader without duplicate removal would apply. The log is
// slow, so that a record is often repeated before it could be read back.
func TestDoubleEffects(t *testing.T) {
	const ops = 400
	off, on := 0, 0
	for seed := uint64(1); seed <= 5; seed++ {
		synctest.Test(t, func(t *testing.T) {
			log := hvlogtest.New(hv.SystemClock{}, seed)
			log.SetFaults(hvlogtest.Faults{LoseBeforeWrite: 0.1, LoseAfterWrite: 0.2, Delay: 150 * time.Millisecond})
			p := start(log, "a", nil)
			defer p.stop()
			for i := range ops {
				must(t, p, fmt.Sprint(i))
			}
			raw := &tally{counts: map[string]int{}}
			for _, rec := range log.Records(stream) {
				raw.Apply(rec)
			}
			a, b := doubles(raw.counts), doubles(p.state.counts)
			t.Logf("seed %d: %d of %d operations doubled without duplicate removal, %d with it", seed, a, ops, b)
			off, on = off+a, on+b
			if len(p.state.counts) != ops {
				t.Errorf("seed %d: %d of %d operations took effect", seed, len(p.state.counts), ops)
			}
		})
	}
	t.Logf("in total: %d of %d without, %d with", off, 5*ops, on)
	if off == 0 || on != 0 {
		t.Errorf("want doubles without duplicate removal (%d) and none with it (%d)", off, on)
	}
}

func doubles(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += max(0, c-1)
	}
	return n
}

// Guards against one append for each operation under load.
func TestGroupCommit(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		log.SetFaults(hvlogtest.Faults{Delay: 100 * time.Millisecond})
		p := start(log, "a", nil)
		defer p.stop()
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() { must(t, p, fmt.Sprint(i)) })
		}
		wg.Wait()
		if n := log.Appends(); n > 2 {
			t.Errorf("%d appends for 300 operations that were queued together", n)
		}
	})
}

// Guards against an append that takes effect after its caller was told that it
// did not.
func TestNotAppendedIsFinal(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		p := start(log, "a", nil)
		defer p.stop()
		must(t, p, "before")
		log.SetFaults(hvlogtest.Faults{Down: true})
		if _, err := p.append("refused", 3*time.Second); hv.KindOf(err) != hv.Unavailable {
			t.Fatalf("got %v, want kind unavailable", err)
		}
		log.SetFaults(hvlogtest.Faults{})
		must(t, p, "after")
		if p.state.String() != `{"after":1,"before":1}` {
			t.Errorf("state %s", p.state)
		}
	})
}

// Guards against a clear answer where none can be given, and against a second
// effect when the uncertain append is repeated.
func TestUncertain(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		p := start(log, "a", nil)
		defer p.stop()
		must(t, p, "before")
		log.SetFaults(hvlogtest.Faults{LoseAfterWrite: 1, FailReads: true})
		time.Sleep(2 * time.Second)
		r, err := p.append("perhaps", 3*time.Second)
		if hv.KindOf(err) != hv.Uncertain || r.ID == "" {
			t.Fatalf("got %+v, %v, want kind uncertain and an identifier", r, err)
		}
		log.SetFaults(hvlogtest.Faults{})
		must(t, p, "after")
		if p.state.String() != `{"after":1,"before":1,"perhaps":1}` {
			t.Errorf("state %s", p.state)
		}
	})
}

// Guards against prompt operations that wait for a log that is down.
func TestPromptIsRefusedAtOnce(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		p := start(log, "a", nil)
		defer p.stop()
		must(t, p, "before")
		log.SetFaults(hvlogtest.Faults{Down: true})
		go func() { _, _ = p.append("patient", 10*time.Second) }()
		synctest.Wait()
		began := time.Now()
		for range 3 {
			prompt := op("x")
			prompt.FailFast = true
			if _, err := p.writer.Append(context.Background(), prompt); hv.KindOf(err) != hv.Unavailable {
				t.Fatalf("got %v, want kind unavailable", err)
			}
		}
		if d := time.Since(began); d > 100*time.Millisecond {
			t.Errorf("three refusals took %v", d)
		}
	})
}

// Guards against operations without an outcome when their writer stops.
func TestStopEndsOperations(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		log.SetFaults(hvlogtest.Faults{Delay: time.Second})
		p := start(log, "a", nil)
		errs := make(chan error, 5)
		for i := range cap(errs) {
			go func() {
				_, err := p.writer.Append(context.Background(), op(fmt.Sprint(i)))
				errs <- err
			}()
		}
		time.Sleep(2500 * time.Millisecond)
		p.stop()
		for range cap(errs) {
			if k := hv.KindOf(<-errs); k != hv.Uncertain && k != hv.Unavailable {
				t.Errorf("kind %s", k)
			}
		}
	})
}

// Guards against snapshots that several processes write at once, and against a
// stream without one on an idle or a busy day.
func TestSnapshotSchedule(t *testing.T) {
	bubble(t, func(t *testing.T, log *hvlogtest.Log) {
		const hour = time.Hour
		retention := func() time.Duration { return hour }
		for i := range 3 {
			p := start(log, fmt.Sprintf("p%d", i), nil)
			defer p.stop()
			must(t, p, "op")
			s := hvlog.NewSchedule(retention, func() float64 { return float64(i) / 3 })
			go hvlog.NewSnapshotWriter(p.writer, s, hvlog.KindSnapshot, func() bool { return true }, kitlog.NewNopLogger()).Run(t.Context())
		}
		time.Sleep(hour)
		snaps := 0
		for _, rec := range log.Records(stream) {
			if rec.Kind == hvlog.KindSnapshot {
				snaps++
			}
		}
		if snaps < 4 || snaps > 6 {
			t.Errorf("%d snapshots within the retention time, want 4 to 6", snaps)
		}
		s := hvlog.NewSchedule(retention, func() float64 { return 0 })
		now := time.Now()
		st := hvlog.Status{Loaded: true, Next: 3000, SnapshotTime: now, SnapshotRead: now, RecordsSinceSnapshot: 1999}
		if s.Due(now, st) {
			t.Error("due after 1,999 records")
		}
		if st.RecordsSinceSnapshot = 2000; !s.Due(now, st) {
			t.Error("not due after 2,000 records")
		}
	})
}
