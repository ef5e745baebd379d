package hvledger_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
)

// storeError is an error with a kind, as stores return it.
type storeError struct{ kind hv.ErrorKind }

func (e storeError) Error() string           { return string(e.kind) }
func (e storeError) ErrorKind() hv.ErrorKind { return e.kind }

// scripted is a store that answers each call in one way.
type scripted struct {
	err   error
	calls atomic.Int64
}

func (s *scripted) Append(context.Context, string, []hv.KeyedRecord, hv.Fence) (int64, error) {
	s.calls.Add(1)
	return 1, s.err
}

func (s *scripted) Read(context.Context, string, int64, time.Duration) (hv.KeyedPage, error) {
	s.calls.Add(1)
	return hv.KeyedPage{}, s.err
}

func (s *scripted) Newest(context.Context, string) (hv.KeyedPage, error) {
	s.calls.Add(1)
	return hv.KeyedPage{}, s.err
}

type peers []hv.KeyedStore

func (p peers) Stores() []hv.KeyedStore { return p }

// clock is set by the test.
type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newRelay(direct hv.KeyedStore, c *clock, others ...hv.KeyedStore) *hvledger.Relay {
	return hvledger.NewRelay(direct, peers(others), c, log.NewNopLogger())
}

func appendOne(t *testing.T, r *hvledger.Relay) error {
	t.Helper()
	_, err := r.Append(t.Context(), topic, nil, hv.Fence{ExpectedEnd: -1})
	return err
}

// Guards against a gate that is turned away by the store and refuses jobs while
// other gates are served.
func TestRelayGoesThroughPeers(t *testing.T) {
	direct, peer := &scripted{err: storeError{hv.Unavailable}}, &scripted{}
	r := newRelay(direct, &clock{now: time.Unix(1, 0)}, peer)
	for range 3 {
		if err := appendOne(t, r); err != nil {
			t.Fatal(err)
		}
	}
	if direct.calls.Load() != 1 || peer.calls.Load() != 3 {
		t.Fatalf("%d direct calls and %d through the peer, want 1 and 3", direct.calls.Load(), peer.calls.Load())
	}
}

// Guards against calls that wait for a store that is known to be silent, and
// against a store that is never tried again.
func TestFailedStoreIsOnlyProbed(t *testing.T) {
	direct := &scripted{err: storeError{hv.Uncertain}}
	c := &clock{now: time.Unix(1, 0)}
	r := newRelay(direct, c)
	if err := appendOne(t, r); hv.KindOf(err) != hv.Uncertain {
		t.Fatalf("first append: %v", err)
	}
	if err := appendOne(t, r); hv.KindOf(err) != hv.Unavailable || direct.calls.Load() != 1 {
		t.Fatalf("second append: %v after %d calls, want a refusal without a call", err, direct.calls.Load())
	}
	c.now = c.now.Add(time.Second)
	direct.err = nil
	if _, err := r.Read(t.Context(), topic, 0, 0); err != nil {
		t.Fatalf("probe: %v", err)
	}
	if err := appendOne(t, r); err != nil {
		t.Fatalf("append after the probe: %v", err)
	}
}

// Guards against a promise that nothing was stored when one of several ways may
// have stored it.
func TestRelayKeepsDoubt(t *testing.T) {
	direct, peer := &scripted{err: storeError{hv.Uncertain}}, &scripted{err: storeError{hv.Unavailable}}
	r := newRelay(direct, &clock{now: time.Unix(1, 0)}, peer)
	if err := appendOne(t, r); hv.KindOf(err) != hv.Uncertain {
		t.Fatalf("append: %v, want it uncertain", err)
	}
}

// Guards against asking peers when the store itself has decided.
func TestRelayKeepsDecisions(t *testing.T) {
	direct, peer := &scripted{err: storeError{hv.Conflict}}, &scripted{}
	r := newRelay(direct, &clock{now: time.Unix(1, 0)}, peer)
	if err := appendOne(t, r); !errors.Is(err, storeError{hv.Conflict}) || peer.calls.Load() != 0 {
		t.Fatalf("append: %v with %d calls through the peer", err, peer.calls.Load())
	}
}

// Guards against a read that takes long at a slow store and is sent through
// peers: it takes their bandwidth and longer than a repeat. Other calls are
// answered meanwhile, so the store has not failed.
func TestOneCallWithoutAnswerIsNotAnOutage(t *testing.T) {
	direct, peer := &scripted{}, &scripted{}
	c := &clock{now: time.Unix(1, 0)}
	r := newRelay(direct, c, peer)
	if err := appendOne(t, r); err != nil {
		t.Fatal(err)
	}
	direct.err = storeError{hv.Uncertain}
	if _, err := r.Read(t.Context(), topic, 0, 0); hv.KindOf(err) != hv.Uncertain || peer.calls.Load() != 0 || r.Failed() {
		t.Fatalf("read: %v with %d calls through the peer, failed %v", err, peer.calls.Load(), r.Failed())
	}
	c.now = c.now.Add(time.Second)
	if _, err := r.Read(t.Context(), topic, 0, 0); err != nil || peer.calls.Load() != 1 || !r.Failed() {
		t.Fatalf("read while nothing is answered: %v with %d calls through the peer, failed %v", err, peer.calls.Load(), r.Failed())
	}
}
