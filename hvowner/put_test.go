package hvowner_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvowner"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

func newOwner(t *testing.T) *hvowner.Owner {
	t.Helper()
	return newOwnerIn(t, platformtest.NewStore())
}

// newOwnerIn returns an owner of the cell in the given store.
func newOwnerIn(t *testing.T, store *platformtest.Store) *hvowner.Owner {
	t.Helper()
	return hvowner.New(hvowner.Options{Writer: claimIn(t, store), Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger()})
}

// Guards against records that are stored although Put reported that they are not,
// and against callers that wait for an owner that has stopped.
func TestPutsGetResults(t *testing.T) {
	o := newOwner(t)
	rec := hv.KeyedRecord{Key: "job/x", Value: []byte("{}")}
	if err := o.Put(t.Context(), rec); hv.KindOf(err) != hv.NotFound {
		t.Fatalf("before the cell is owned: %v, want kind not-found", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		o.Run(ctx)
	}()
	var puts sync.WaitGroup
	for i := range 500 {
		puts.Go(func() {
			// The first puts may come before Run has started.
			for {
				err := o.Put(t.Context(), hv.KeyedRecord{Key: fmt.Sprint("job/", i), Value: []byte("{}")})
				if err == nil {
					return
				}
				if hv.KindOf(err) != hv.NotFound {
					t.Errorf("put %d: %v", i, err)
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
	puts.Wait()
	cancel()
	<-runEnded
	if err := o.Put(t.Context(), rec); hv.KindOf(err) != hv.NotFound {
		t.Fatalf("after the cell was released: %v, want kind not-found", err)
	}
}

// Guards against callers that wait for the whole time of an outage although their
// records were never sent: they wait behind an append that is retried until the
// store responds.
func TestPutsBehindPendingAppendAreRefused(t *testing.T) {
	store := platformtest.NewStore()
	var failed atomic.Bool
	o := hvowner.New(hvowner.Options{
		Writer: claimIn(t, store), Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger(),
		StoreFailed: failed.Load,
	})
	ctx, cancel := context.WithCancel(t.Context())
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		o.Run(ctx)
	}()
	defer func() {
		store.SetFaults(platformtest.Faults{})
		cancel()
		<-runEnded
	}()
	rec := func(key string) hv.KeyedRecord { return hv.KeyedRecord{Key: key, Value: []byte("{}")} }
	for o.Put(ctx, rec("first")) != nil {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(platformtest.Faults{Unresponsive: true})
	sent := make(chan error, 1)
	go func() { sent <- o.Put(ctx, rec("sent")) }()
	time.Sleep(200 * time.Millisecond)
	failed.Store(true)
	start := time.Now()
	if err := o.Put(ctx, rec("waiting")); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("a record that was not sent: %v, want kind unavailable", err)
	}
	if elapsed := time.Since(start); elapsed > time.Second {
		t.Errorf("refused only after %v, want at most 1 s", elapsed)
	}
	select {
	case err := <-sent:
		t.Errorf("the put of a record that was sent returned while the store does not respond: %v", err)
	default:
	}
	failed.Store(false)
	store.SetFaults(platformtest.Faults{})
	if err := <-sent; err != nil {
		t.Errorf("a record that was sent: %v", err)
	}
	if n := store.Count(platform.CellTopic, "waiting"); n != 0 {
		t.Errorf("the refused record is stored %d times, want 0", n)
	}
}
