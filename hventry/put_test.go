package hventry_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hventry"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvwire/hvwiretest"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

// fakeOwner is another gate, which owns the cell and responds to puts as a test
// specifies.
type fakeOwner struct {
	respond func(ctx context.Context) error
	puts    atomic.Int64
	addr    string
}

const ownerProcess = "process-of-the-owner"

func (o *fakeOwner) listen(t *testing.T) {
	mux := hvwire.Mux{}
	hvwire.Handle(mux, "who", func(context.Context, *hvwire.Conn, struct{}) (map[string]string, error) {
		return map[string]string{"id": ownerProcess}, nil
	})
	hvwire.Handle(mux, "put", func(ctx context.Context, _ *hvwire.Conn, rec hv.KeyedRecord) (struct{}, error) {
		o.puts.Add(1)
		if !strings.Contains(string(rec.Value), `"zone":"north"`) {
			t.Errorf("job without the zone of its gate: %s", rec.Value)
		}
		return struct{}{}, o.respond(ctx)
	})
	o.addr = hvwiretest.Serve(t, mux)
}

// claimCell claims the cell and sends heartbeats until ctx ends.
func (o *fakeOwner) claimCell(ctx context.Context, t *testing.T, store hv.KeyedStore) {
	w := platformtest.Claim(ctx, t, store, platform.CellTopic, hvledger.Claim{Name: "owner", Addr: o.addr, Process: ownerProcess})
	go func() {
		for ctx.Err() == nil {
			_ = w.Heartbeat(ctx)
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func newJob(id int) hvjob.Job {
	return hvjob.Job{ID: fmt.Sprintf("%016x", id), Queue: "q", Submitted: 1, Steps: []hvjob.Step{{Count: 1, Need: hvjob.Resources{CPU: 100}}}}
}

// decodeCatalog returns a fixed catalog for any published value.
func decodeCatalog([]byte) (*hvjob.Catalog, error) {
	return hvjob.NewCatalog(1, []hvjob.Queue{{Name: "q", Service: "s"}}, nil, hvjob.Limits{}), nil
}

// Guards against jobs that are lost or delayed when the owner of the cell does not
// store them: the gate must store them itself. Guards also against jobs without the zone
// of their gate.
func TestGateStoresJobsIfOwnerDoesNot(t *testing.T) {
	for _, c := range []struct {
		name    string
		respond func(ctx context.Context) error
		// wantStored is how many of the three jobs the gate stores itself, wantPuts is
		// how often it asks the owner.
		wantStored, wantPuts int
		maxDuration          time.Duration
	}{
		{"stores", func(context.Context) error { return nil }, 0, 3, time.Second},
		{"is not the owner", func(context.Context) error {
			return &hv.Error{Op: "put", Kind: hv.NotFound, Err: errors.New("no owner")}
		}, 3, 3, time.Second},
		{"cannot reach the store", func(context.Context) error {
			return &hv.Error{Op: "put", Kind: hv.Unavailable, Err: errors.New("no store")}
		}, 3, 3, time.Second},
		{"does not respond", func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, 3, 1, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			fakeStore := platformtest.NewStore()
			fakeStore.Put(platform.OperatorsTopic, platform.CatalogKey, []byte("{}"))
			store := platform.NewStore(platformtest.Serve(t, fakeStore))
			ctx, cancel := context.WithCancel(t.Context())
			o := &fakeOwner{respond: c.respond}
			o.listen(t)
			o.claimCell(ctx, t, store)
			g := hventry.New(hventry.Options{
				Name: "gate", Zone: "north", Addr: "127.0.0.1:1", Process: "p", Store: store, CellTopic: platform.CellTopic,
				Operators: hventry.OperatorRecords{Topic: platform.OperatorsTopic, CatalogKey: platform.CatalogKey, EvacuationPrefix: platform.EvacuationPrefix, DecodeCatalog: decodeCatalog},
				Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger(),
			})
			var loop sync.WaitGroup
			loop.Go(func() { g.Run(ctx, ctx) })
			defer func() {
				cancel()
				loop.Wait()
			}()
			for !g.Ready() {
				time.Sleep(time.Millisecond)
			}
			began := time.Now()
			for id := 1; id <= 3; id++ {
				if _, err := g.Submit(ctx, newJob(id)); err != nil {
					t.Errorf("job %d: %v", id, err)
				}
			}
			if took := time.Since(began); took > c.maxDuration {
				t.Errorf("three jobs took %v, want at most %v", took, c.maxDuration)
			}
			stored := 0
			for id := 1; id <= 3; id++ {
				stored += fakeStore.Count(platform.CellTopic, "job/"+newJob(id).ID)
			}
			if stored != c.wantStored || int(o.puts.Load()) != c.wantPuts {
				t.Errorf("the gate stored %d itself and asked %d times, want %d and %d", stored, o.puts.Load(), c.wantStored, c.wantPuts)
			}
		})
	}
}
