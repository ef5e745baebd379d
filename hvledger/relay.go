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
	// probeInterval separates the reads that find out whether a store that
	// failed is back. All other calls fail at once in the meantime, so that
	// nobody waits for a store that is known to be silent.
	probeInterval = 150 * time.Millisecond
	// probeTimeout bounds such a read; a slow store answers within 300 ms.
	probeTimeout = 400 * time.Millisecond
	// recentAnswer is the age up to which an answer to another call shows that the
	// store is reached: reads wait 0.4 s at most.
	recentAnswer = 500 * time.Millisecond
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

	mu sync.Mutex
	// failed is true after a call without an answer until one is answered.
	failed  bool
	probed  time.Time
	relayed bool
	// answered is when the store last answered a direct call.
	answered time.Time
}

var _ hv.KeyedStore = (*Relay)(nil)

// NewRelay returns a store that prefers direct.
func NewRelay(direct hv.KeyedStore, peers Peers, clock hv.Clock, logger log.Logger) *Relay {
	return &Relay{direct: direct, peers: peers, clock: clock, logger: logger}
}

// Append implements hibiscusvane.KeyedStore.
func (r *Relay) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (end int64, err error) {
	err = r.try(ctx, r.up, func(ctx context.Context, s hv.KeyedStore) error {
		end, err = s.Append(ctx, topic, recs, f)
		return err
	})
	return end, err
}

// Read implements hibiscusvane.KeyedStore.
func (r *Relay) Read(ctx context.Context, topic string, from int64, wait time.Duration) (page hv.KeyedPage, err error) {
	err = r.try(ctx, r.upOrProbe, func(ctx context.Context, s hv.KeyedStore) error {
		page, err = s.Read(ctx, topic, from, wait)
		return err
	})
	return page, err
}

// Newest implements hibiscusvane.KeyedStore.
func (r *Relay) Newest(ctx context.Context, topic string) (page hv.KeyedPage, err error) {
	err = r.try(ctx, r.upOrProbe, func(ctx context.Context, s hv.KeyedStore) error {
		page, err = s.Newest(ctx, topic)
		return err
	})
	return page, err
}

type storeCall func(ctx context.Context, s hv.KeyedStore) error

// Direct calls the store on behalf of another gate. It refuses while the store
// has failed.
func (r *Relay) Direct(ctx context.Context, call storeCall) error {
	return r.callDirect(ctx, r.up, call)
}

func (r *Relay) callDirect(ctx context.Context, allowed func() bool, call storeCall) error {
	if !allowed() {
		return failure("direct", hv.Unavailable, "the store has failed and is not back")
	}
	if r.Failed() {
		ctx = hv.WithResponseTimeout(ctx, probeTimeout)
	}
	err := call(ctx, r.direct)
	r.judge(err)
	return err
}

func (r *Relay) try(ctx context.Context, allowed func() bool, call storeCall) error {
	err := r.callDirect(ctx, allowed, call)
	if !isOutage(err) || r.isAlone(err) {
		return err
	}
	uncertain := hv.KindOf(err) == hv.Uncertain
	for i, s := range r.peers.Stores() {
		if i == maxRelays || ctx.Err() != nil {
			break
		}
		again := call(ctx, s)
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

// Failed reports whether the last direct call got no answer.
func (r *Relay) Failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failed
}

func (r *Relay) up() bool { return !r.Failed() }

// upOrProbe also lets one call through at an interval while the store has
// failed.
func (r *Relay) upOrProbe() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failed {
		return true
	}
	now := r.clock.Now()
	if now.Sub(r.probed) < probeInterval {
		return false
	}
	r.probed = now
	return true
}

// isAlone reports whether a call got no answer while others do: it takes long,
// as a large record does at a slow store, and takes longer through a peer.
func (r *Relay) isAlone(err error) bool {
	if hv.KindOf(err) != hv.Uncertain {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now().Sub(r.answered) < recentAnswer
}

func (r *Relay) judge(err error) {
	outage := isOutage(err)
	if outage && r.isAlone(err) {
		return
	}
	r.mu.Lock()
	if outage && !r.failed {
		r.probed = r.clock.Now()
	}
	if !outage {
		r.answered = r.clock.Now()
	}
	r.failed = outage
	r.mu.Unlock()
	if !outage {
		r.noteRelayed(false)
	}
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
