package hventry_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hventry"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

// Guards against refusals while an owner that no longer responds is replaced: the store
// is fast, so the requests are held or stored by the gate itself.
func TestNothingIsRefusedWhileOwnerIsReplaced(t *testing.T) {
	fakeStore := platformtest.NewStore()
	fakeStore.Put(platform.OperatorsTopic, platform.CatalogKey, []byte("{}"))
	store := platform.NewStore(platformtest.Serve(t, fakeStore))
	ownerCtx, ownerStops := context.WithCancel(t.Context())
	var paused atomic.Bool
	o := &fakeOwner{respond: func(ctx context.Context) error {
		if paused.Load() {
			<-ctx.Done()
		}
		return ctx.Err()
	}}
	o.listen(t)
	o.claimCell(ownerCtx, t, store)
	g := hventry.New(hventry.Options{
		Zone: "north", Name: "gate", Addr: "127.0.0.1:1", Process: "p", Store: store, CellTopic: platform.CellTopic,
		Operators: hventry.OperatorRecords{Topic: platform.OperatorsTopic, CatalogKey: platform.CatalogKey, EvacuationPrefix: platform.EvacuationPrefix, DecodeCatalog: decodeCatalog},
		Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	var loop, wait sync.WaitGroup
	loop.Go(func() { g.Run(ctx, ctx) })
	defer func() {
		cancel()
		loop.Wait()
	}()
	for !g.Ready() {
		time.Sleep(time.Millisecond)
	}
	submit := func(id int) {
		wait.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			if _, err := g.Submit(ctx, newJob(id)); err != nil {
				t.Errorf("job %d: %v", id, err)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	id := 1
	for ; id <= 20; id++ {
		submit(id)
	}
	paused.Store(true)
	ownerStops()
	for lost := time.Now(); !g.IsOwner() && time.Since(lost) < 4*time.Second; id++ {
		submit(id)
	}
	for last := id + 20; id < last; id++ {
		submit(id)
	}
	wait.Wait()
	if !g.IsOwner() {
		t.Error("the gate did not replace the owner")
	}
}
