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

// storeError is an error with a kind, as stores return.
type storeError struct{ kind hv.ErrorKind }

func (e storeError) Error() string           { return string(e.kind) }
func (e storeError) ErrorKind() hv.ErrorKind { return e.kind }

// fixedStore is a store that returns the same error from every call.
type fixedStore struct {
	err   error
	calls atomic.Int64
}

func (s *fixedStore) Append(context.Context, string, []hv.KeyedRecord, hv.Fence) (int64, error) {
	s.calls.Add(1)
	return 1, s.err
}

func (s *fixedStore) Read(context.Context, string, int64, time.Duration) (hv.KeyedPage, error) {
	s.calls.Add(1)
	return hv.KeyedPage{}, s.err
}

func (s *fixedStore) Newest(context.Context, string) (hv.KeyedPage, error) {
	s.calls.Add(1)
	return hv.KeyedPage{}, s.err
}

type peers []hv.KeyedStore

func (p peers) Stores() []hv.KeyedStore { return p }

// clock is a clock that the test sets.
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

// Guards against a gate that refuses jobs because the store refuses it, while
// other gates are served.
func TestRelayUsesPeers(t *testing.T) {
	direct, peer := &fixedStore{err: storeError{hv.Unavailable}}, &fixedStore{}
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

// Guards against calls that wait for a store that is known not to respond, and
// against a failed store that is never probed again.
func TestFailedStoreIsOnlyProbed(t *testing.T) {
	direct := &fixedStore{err: storeError{hv.Uncertain}}
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

// Guards against reporting that nothing was stored when one of several attempts
// may have stored the record.
func TestRelayReportsUncertain(t *testing.T) {
	direct, peer := &fixedStore{err: storeError{hv.Uncertain}}, &fixedStore{err: storeError{hv.Unavailable}}
	r := newRelay(direct, &clock{now: time.Unix(1, 0)}, peer)
	if err := appendOne(t, r); hv.KindOf(err) != hv.Uncertain {
		t.Fatalf("append: %v, want it uncertain", err)
	}
}

// Guards against retrying through peers when the store has rejected the append.
func TestRelayDoesNotRetryDecisions(t *testing.T) {
	direct, peer := &fixedStore{err: storeError{hv.Conflict}}, &fixedStore{}
	r := newRelay(direct, &clock{now: time.Unix(1, 0)}, peer)
	if err := appendOne(t, r); !errors.Is(err, storeError{hv.Conflict}) || peer.calls.Load() != 0 {
		t.Fatalf("append: %v with %d calls through the peer", err, peer.calls.Load())
	}
}

// Guards against relaying a read that only takes long at a slow store: through a
// peer it uses the peer's bandwidth and takes longer than a retry. Other calls
// get responses meanwhile, so the store has not failed.
func TestOneCallWithoutResponseIsNotAnOutage(t *testing.T) {
	direct, peer := &fixedStore{}, &fixedStore{}
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
		t.Fatalf("read while no call gets a response: %v with %d calls through the peer, failed %v", err, peer.calls.Load(), r.Failed())
	}
}
