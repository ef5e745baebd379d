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
	return hvowner.New(hvowner.Options{Writer: claim(t), Retain: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger()})
}

// Guards against records that are stored although the caller was told that they
// are not, and against callers that wait for an owner that has ended.
func TestPutsAreAnswered(t *testing.T) {
	o := newOwner(t)
	rec := hv.KeyedRecord{Key: "job/x", Value: []byte("{}")}
	if err := o.Put(t.Context(), rec); hv.KindOf(err) != hv.NotFound {
		t.Fatalf("before the cell is owned: %v", err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		o.Run(ctx)
	}()
	var puts sync.WaitGroup
	for i := range 500 {
		puts.Go(func() {
			// The first ones may come before Run.
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
	<-ended
	if err := o.Put(t.Context(), rec); hv.KindOf(err) != hv.NotFound {
		t.Fatalf("after the cell was given up: %v", err)
	}
}

// Guards against callers that are left without an answer for the time of an
// outage, although their records were never sent: an append that the store does
// not answer is repeated, and they wait behind it.
func TestPutsBehindAnUnansweredAppendAreRefused(t *testing.T) {
	store := platformtest.NewStore()
	var failed atomic.Bool
	o := hvowner.New(hvowner.Options{
		Writer: claimOf(t, store), Retain: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger(),
		StoreFailed: failed.Load,
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		o.Run(ctx)
	}()
	defer func() {
		store.SetFaults(platformtest.Faults{})
		cancel()
		<-ended
	}()
	rec := func(key string) hv.KeyedRecord { return hv.KeyedRecord{Key: key, Value: []byte("{}")} }
	for o.Put(ctx, rec("first")) != nil {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(platformtest.Faults{Silent: true})
	sent := make(chan error, 1)
	go func() { sent <- o.Put(ctx, rec("sent")) }()
	time.Sleep(200 * time.Millisecond)
	failed.Store(true)
	began := time.Now()
	if err := o.Put(ctx, rec("waiting")); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("a record that was not sent: %v", err)
	}
	if took := time.Since(began); took > time.Second {
		t.Errorf("refused only after %v", took)
	}
	select {
	case err := <-sent:
		t.Errorf("a record that was sent is answered while the store is silent: %v", err)
	default:
	}
	failed.Store(false)
	store.SetFaults(platformtest.Faults{})
	if err := <-sent; err != nil {
		t.Errorf("a record that was sent: %v", err)
	}
	if n := store.Count(platform.CellTopic, "waiting"); n != 0 {
		t.Errorf("the refused record is stored %d times", n)
	}
}
