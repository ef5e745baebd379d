package main

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"

	"hibiscusvane.example/hibiscusvane/hvlogger"
	"hibiscusvane.example/hibiscusvane/hvprocess/hvprocesstest"
	"hibiscusvane.example/hibiscusvane/platform"
	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := hvprocesstest.FreeAddr()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// Guards against gates that are still running at the end of the grace period and are
// killed: the store does not respond, requests with long deadlines are held, and a
// connection is open on which no request arrives.
func TestStopsWhileStoreDoesNotRespond(t *testing.T) {
	for name, faults := range map[string]platformtest.Faults{
		"no response":   {Unresponsive: true},
		"slow response": {AppendDuration: 700 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkStop(t, faults)
		})
	}
}

func checkStop(t *testing.T, faults platformtest.Faults) {
	store := platformtest.NewStore()
	store.Put(platform.OperatorsTopic, platform.CatalogKey, []byte(platformtest.Catalog))
	front := freeAddr(t)
	d := newPlatformGate(platform.Settings{
		Node: "gate", Zone: "north", CallerAddr: front, ReadyAddr: freeAddr(t), PeerAddr: freeAddr(t),
		StoreAddr: platformtest.Serve(t, store), GracePeriod: 6 * time.Second, Retention: time.Minute,
	}, hvlogger.New(t.Output()))
	ctx, terminate := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- d.Run(ctx) }()
	for deadline := time.Now().Add(10 * time.Second); !d.gate.Ready() || !d.gate.IsOwner(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the gate is not ready after 10 s")
		}
	}
	unused, err := net.Dial("tcp", front)
	if err != nil {
		t.Fatal(err)
	}
	defer unused.Close()
	store.SetFaults(faults)
	statuses := make(chan int, 5)
	for i := range cap(statuses) {
		go func() {
			status, _ := platformtest.Submit(t.Context(), front, i, 30*time.Second)
			statuses <- status
		}()
	}
	time.Sleep(100 * time.Millisecond)
	began := time.Now()
	terminate()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
		t.Logf("ended after %v", time.Since(began))
	case <-time.After(6 * time.Second):
		t.Fatal("the gate still runs 6 s after it was told to stop")
	}
	for range cap(statuses) {
		if <-statuses == 0 {
			t.Error("a held request got no response")
		}
	}
}

// Guards against a loop that does not end, such as one that writes to a frozen peer, and
// then delays the exit beyond the grace period.
func TestExitDoesNotWaitForBlockedLoop(t *testing.T) {
	var loops sync.WaitGroup
	release := make(chan struct{})
	loops.Go(func() { <-release })
	defer close(release)
	began := time.Now()
	(&platformGate{logger: log.NewNopLogger()}).waitForLoops(&loops)
	if took := time.Since(began); took > exitReserve {
		t.Errorf("waited %v, want at most %v", took, exitReserve)
	}
}
