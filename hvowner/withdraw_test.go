package hvowner_test

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvowner"
	"hibiscusvane.example/hibiscusvane/hvshed"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

// Guards against status 504 for a record that was never sent: it waited behind a slow
// append until its caller gave up. Guards also against storing such a record later.
func TestRecordThatWaitsTooLongIsNotStored(t *testing.T) {
	store := platformtest.NewStore()
	response := 300 * time.Millisecond
	o := hvowner.New(hvowner.Options{
		Writer: claimIn(t, store), Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger(),
		StoreResponse: func() time.Duration { return response },
	})
	ctx, cancel := context.WithCancel(t.Context())
	runEnded := make(chan struct{})
	go func() {
		defer close(runEnded)
		o.Run(ctx)
	}()
	defer func() {
		cancel()
		<-runEnded
	}()
	rec := func(key string) hv.KeyedRecord { return hv.KeyedRecord{Key: key, Value: []byte("{}")} }
	for o.Put(ctx, rec("first")) != nil {
		time.Sleep(time.Millisecond)
	}
	store.SetFaults(platformtest.Faults{AppendDuration: 600 * time.Millisecond})
	sent := make(chan error, 1)
	go func() { sent <- o.Put(ctx, rec("sent")) }()
	time.Sleep(200 * time.Millisecond)
	short, cancelShort := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancelShort()
	if err := o.Put(short, rec("withdrawn")); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("a record that was not sent when its caller gave up: %v, want kind unavailable", err)
	}
	late := hvshed.Order{Deadline: time.Now().Add(500 * time.Millisecond)}
	if err := o.PutInOrder(ctx, rec("late"), late); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("a record that the next append cannot store in time: %v, want kind unavailable", err)
	}
	if err := <-sent; err != nil {
		t.Errorf("a record that was sent: %v", err)
	}
	store.SetFaults(platformtest.Faults{})
	if err := o.Put(ctx, rec("last")); err != nil {
		t.Error(err)
	}
	for _, key := range []string{"withdrawn", "late"} {
		if n := store.Count(platform.CellTopic, key); n != 0 {
			t.Errorf("record %q is stored %d times, want 0", key, n)
		}
	}
}
