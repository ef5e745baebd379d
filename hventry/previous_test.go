package hventry

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

// pausableStore is a store whose calls wait while it is paused, as in a process that stands
// still.
type pausableStore struct {
	hv.KeyedStore
	running sync.RWMutex
}

func (s *pausableStore) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (int64, error) {
	s.running.RLock()
	defer s.running.RUnlock()
	return s.KeyedStore.Append(ctx, topic, recs, f)
}

func (s *pausableStore) Read(ctx context.Context, topic string, from int64, wait time.Duration) (hv.KeyedPage, error) {
	page, err := s.KeyedStore.Read(ctx, topic, from, wait)
	s.running.RLock()
	defer s.running.RUnlock()
	return page, err
}

// startGate runs a gate that accepts calls of other gates until the test ends.
func startGate(t *testing.T, name string, store hv.KeyedStore, logger log.Logger) *Gate {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := New(Options{
		Name: name, Zone: "north", Addr: l.Addr().String(), Process: name, Store: store, CellTopic: platform.CellTopic,
		Operators: OperatorRecords{Topic: platform.OperatorsTopic, CatalogKey: platform.CatalogKey, EvacuationPrefix: platform.EvacuationPrefix, DecodeCatalog: func([]byte) (*hvjob.Catalog, error) {
			return hvjob.NewCatalog(1, nil, nil, hvjob.Limits{}), nil
		}},
		Retention: time.Minute, Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: logger,
	})
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			hvwire.NewConn(c, g.Mux())
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	var loop sync.WaitGroup
	loop.Go(func() { g.Run(ctx, ctx) })
	t.Cleanup(func() {
		cancel()
		loop.Wait()
		_ = l.Close()
	})
	return g
}

func waitUntil(t *testing.T, what string, limit time.Duration, done func() bool) {
	t.Helper()
	for deadline := time.Now().Add(limit); !done(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%s: not within %v", what, limit)
		}
	}
}

// Guards against a new owner that counts the whole authority of one that stood still, and
// has noticed since that it was replaced: tasks of a host that is gone wait for it.
func TestReplacedOwnerIsKnownToHaveEnded(t *testing.T) {
	fake := platformtest.NewStore()
	fake.Put(platform.OperatorsTopic, platform.CatalogKey, []byte("{}"))
	addr := platformtest.Serve(t, fake)
	paused := &pausableStore{KeyedStore: platform.NewStore(addr)}
	// Nobody listens at the address of this node, so that the owners wait for its leases.
	if err := hvledger.Register(t.Context(), paused, platform.CellTopic, hvledger.Node{Name: "side", Addr: "127.0.0.1:1"}); err != nil {
		t.Fatal(err)
	}
	previous := startGate(t, "previous", paused, log.NewNopLogger())
	waitUntil(t, "first claim", 5*time.Second, previous.IsOwner)
	var told atomic.Bool
	logger := log.LoggerFunc(func(keyvals ...any) error {
		if slices.Contains(keyvals, any("previous owner has ended; its authority no longer counts")) {
			told.Store(true)
		}
		return nil
	})
	paused.running.Lock()
	// A test that fails must not wait for the gate that stands still.
	resume := sync.OnceFunc(paused.running.Unlock)
	t.Cleanup(resume)
	next := startGate(t, "next", platform.NewStore(addr), logger)
	waitUntil(t, "second claim", 5*time.Second, next.IsOwner)
	time.Sleep(3 * watchInterval)
	if told.Load() {
		t.Error("the previous owner counts as ended while it stands still")
	}
	resume()
	waitUntil(t, "end of the previous owner", hvledger.AuthorityTimeout, told.Load)
}
