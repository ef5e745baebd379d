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

// Guards against operations that take effect twice when the response to an append
// is lost. The first number counts what a reader without duplicate removal would
// apply twice. The log is slow, so that an append is often retried before its
// record can be read back.
func TestDoubleEffects(t *testing.T) {
	const ops = 400
	without, with := 0, 0
	for seed := uint64(1); seed <= 5; seed++ {
		synctest.Test(t, func(t *testing.T) {
			log := hvlogtest.New(hv.SystemClock{}, seed)
			log.SetFaults(hvlogtest.Faults{LoseBeforeWrite: 0.1, LoseAfterWrite: 0.2, Delay: 150 * time.Millisecond})
			p := startProcess(log, "a", nil)
			defer p.stop()
			for i := range ops {
				mustAppend(t, p, fmt.Sprint(i))
			}
			undeduplicated := &effectCounter{counts: map[string]int{}}
			for _, rec := range log.Records(stream) {
				undeduplicated.Apply(rec)
			}
			doubledWithout, doubledWith := duplicateEffects(undeduplicated.counts), duplicateEffects(p.state.counts)
			t.Logf("seed %d: %d of %d operations took effect twice without duplicate removal, %d with it", seed, doubledWithout, ops, doubledWith)
			without, with = without+doubledWithout, with+doubledWith
			if len(p.state.counts) != ops {
				t.Errorf("seed %d: %d of %d operations took effect", seed, len(p.state.counts), ops)
			}
		})
	}
	t.Logf("all seeds: %d of %d operations took effect twice without duplicate removal, %d with it", without, 5*ops, with)
	if without == 0 || with != 0 {
		t.Errorf("%d operations took effect twice without duplicate removal and %d with it; want some and none", without, with)
	}
}

func duplicateEffects(counts map[string]int) int {
	n := 0
	for _, c := range counts {
		n += max(0, c-1)
	}
	return n
}

// Guards against a separate append for each operation under load.
func TestGroupCommit(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		log.SetFaults(hvlogtest.Faults{Delay: 100 * time.Millisecond})
		p := startProcess(log, "a", nil)
		defer p.stop()
		time.Sleep(time.Second)
		var wg sync.WaitGroup
		for i := range 300 {
			wg.Go(func() { mustAppend(t, p, fmt.Sprint(i)) })
		}
		wg.Wait()
		if n := log.Appends(); n > 2 {
			t.Errorf("%d appends for 300 operations that were queued together, want at most 2", n)
		}
	})
}

// Guards against an append that takes effect after its caller received an error
// that excludes it.
func TestNotAppendedIsFinal(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		p := startProcess(log, "a", nil)
		defer p.stop()
		mustAppend(t, p, "before")
		log.SetFaults(hvlogtest.Faults{Down: true})
		if _, err := p.append("refused", 3*time.Second); hv.KindOf(err) != hv.Unavailable {
			t.Fatalf("got %v, want kind unavailable", err)
		}
		log.SetFaults(hvlogtest.Faults{})
		mustAppend(t, p, "after")
		if p.state.String() != `{"after":1,"before":1}` {
			t.Errorf("unexpected state %s", p.state)
		}
	})
}

// Guards against a definite outcome of an append whose record cannot be read back,
// and against a second effect when the uncertain append is retried.
func TestUncertain(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		p := startProcess(log, "a", nil)
		defer p.stop()
		mustAppend(t, p, "before")
		log.SetFaults(hvlogtest.Faults{LoseAfterWrite: 1, FailReads: true})
		time.Sleep(2 * time.Second)
		r, err := p.append("perhaps", 3*time.Second)
		if hv.KindOf(err) != hv.Uncertain || r.ID == "" {
			t.Fatalf("got %+v, %v, want kind uncertain and an identifier", r, err)
		}
		log.SetFaults(hvlogtest.Faults{})
		mustAppend(t, p, "after")
		if p.state.String() != `{"after":1,"before":1,"perhaps":1}` {
			t.Errorf("unexpected state %s", p.state)
		}
	})
}

// Guards against fail-fast operations that wait while the log is down. Another
// operation is already waiting.
func TestFailFastIsRefusedAtOnce(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		p := startProcess(log, "a", nil)
		defer p.stop()
		mustAppend(t, p, "before")
		log.SetFaults(hvlogtest.Faults{Down: true})
		go func() { _, _ = p.append("waiting", 10*time.Second) }()
		synctest.Wait()
		start := time.Now()
		for range 3 {
			failFast := newOp("x")
			failFast.FailFast = true
			if _, err := p.writer.Append(context.Background(), failFast); hv.KindOf(err) != hv.Unavailable {
				t.Fatalf("got %v, want kind unavailable", err)
			}
		}
		if d := time.Since(start); d > 100*time.Millisecond {
			t.Errorf("three refusals took %v, want at most 100 ms", d)
		}
	})
}

// Guards against operations that never finish when their writer stops.
func TestStopEndsOperations(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		log.SetFaults(hvlogtest.Faults{Delay: time.Second})
		p := startProcess(log, "a", nil)
		errs := make(chan error, 5)
		for i := range cap(errs) {
			go func() {
				_, err := p.writer.Append(context.Background(), newOp(fmt.Sprint(i)))
				errs <- err
			}()
		}
		time.Sleep(2500 * time.Millisecond)
		p.stop()
		for range cap(errs) {
			if k := hv.KindOf(<-errs); k != hv.Uncertain && k != hv.Unavailable {
				t.Errorf("got kind %s, want uncertain or unavailable", k)
			}
		}
	})
}

// Guards against several processes that write a snapshot at the same time, and
// against a stream that gets no snapshot while it is idle or busy.
func TestSnapshotSchedule(t *testing.T) {
	withVirtualTime(t, func(t *testing.T, log *hvlogtest.Log) {
		const hour = time.Hour
		retention := func() time.Duration { return hour }
		for i := range 3 {
			p := startProcess(log, fmt.Sprintf("p%d", i), nil)
			defer p.stop()
			mustAppend(t, p, "op")
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
