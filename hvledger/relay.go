package hvledger

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// directRetry is how long a store that failed is not called directly.
	directRetry = 400 * time.Millisecond
	// maxRelays bounds the peers that are asked for one call.
	maxRelays = 2
)

// Peers returns the stores of other gates, as their direct connections reach
// the platform's store.
type Peers interface {
	Stores() []hv.KeyedStore
}

// Relay is a store that goes through another gate while the platform turns
// this one away. A repeated append is safe: owners' appends carry a sequence,
// and all others write the same value under the same key.
type Relay struct {
	direct hv.KeyedStore
	peers  Peers
	clock  hv.Clock
	logger log.Logger

	mu      sync.Mutex
	closed  time.Time
	relayed bool
}

var _ hv.KeyedStore = (*Relay)(nil)

// NewRelay returns a store that prefers direct.
func NewRelay(direct hv.KeyedStore, peers Peers, clock hv.Clock, logger log.Logger) *Relay {
	return &Relay{direct: direct, peers: peers, clock: clock, logger: logger}
}

// Append implements hibiscusvane.KeyedStore.
func (r *Relay) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (end int64, err error) {
	err = r.try(ctx, func(s hv.KeyedStore) error {
		end, err = s.Append(ctx, topic, recs, f)
		return err
	})
	return end, err
}

// Read implements hibiscusvane.KeyedStore.
func (r *Relay) Read(ctx context.Context, topic string, from int64, wait time.Duration) (page hv.KeyedPage, err error) {
	err = r.try(ctx, func(s hv.KeyedStore) error {
		page, err = s.Read(ctx, topic, from, wait)
		return err
	})
	return page, err
}

// Newest implements hibiscusvane.KeyedStore.
func (r *Relay) Newest(ctx context.Context, topic string) (page hv.KeyedPage, err error) {
	err = r.try(ctx, func(s hv.KeyedStore) error {
		page, err = s.Newest(ctx, topic)
		return err
	})
	return page, err
}

// Direct returns the store without relays, for calls on behalf of peers. It
// refuses while the store has just failed.
func (r *Relay) Direct(call func(s hv.KeyedStore) error) error {
	if !r.open() {
		return failure("direct", hv.Unavailable, "the store has just failed")
	}
	err := call(r.direct)
	r.judge(err)
	return err
}

func (r *Relay) try(ctx context.Context, call func(s hv.KeyedStore) error) error {
	err := r.Direct(call)
	if !isOutage(err) {
		return err
	}
	uncertain := hv.KindOf(err) == hv.Uncertain
	for i, s := range r.peers.Stores() {
		if i == maxRelays || ctx.Err() != nil {
			break
		}
		again := call(s)
		if !isOutage(again) {
			r.noteRelayed(true)
			return again
		}
		uncertain = uncertain || hv.KindOf(again) == hv.Uncertain
	}
	if uncertain {
		return failure("call", hv.Uncertain, "no answer: %v", err)
	}
	return err
}

// isOutage reports whether another way to the store could help.
func isOutage(err error) bool {
	if err == nil {
		return false
	}
	switch hv.KindOf(err) {
	case hv.Unavailable, hv.Uncertain:
		return true
	}
	return false
}

func (r *Relay) open() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.clock.Now().Before(r.closed)
}

func (r *Relay) judge(err error) {
	if !isOutage(err) {
		r.noteRelayed(false)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = r.clock.Now().Add(directRetry)
}

// noteRelayed logs when calls begin and stop to go through peers.
func (r *Relay) noteRelayed(relayed bool) {
	r.mu.Lock()
	changed := relayed != r.relayed
	r.relayed = relayed
	r.mu.Unlock()
	if changed {
		_ = level.Info(r.logger).Log("msg", "way to the store changed", "relayed", relayed)
	}
}
