package hvowner_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvowner"
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
	if err := o.Put(t.Context(), rec); hv.KindOf(err) != hv.Unavailable {
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
				if hv.KindOf(err) != hv.Unavailable {
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
	if err := o.Put(t.Context(), rec); hv.KindOf(err) != hv.Unavailable {
		t.Fatalf("after the cell was given up: %v", err)
	}
}
