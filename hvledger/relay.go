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
	// probeInterval is the time between the reads that check whether a failed
	// store responds again. All other calls fail at once in the meantime, so that
	// none of them waits for a store that is known not to respond.
	probeInterval = 150 * time.Millisecond
	// probeTimeout limits such a read; a slow store responds within 300 ms.
	probeTimeout = 400 * time.Millisecond
	// recentResponseAge is the maximum age of a response to another call for the store
	// to count as reachable: reads wait at most 0.4 s.
	recentResponseAge = 500 * time.Millisecond
	// maxRelays limits the peers that one call is sent to.
	maxRelays = 2
)

// Peers provides access to the platform's store through other gates, each of
// which uses its own direct connection.
type Peers interface {
	Stores() []hv.KeyedStore
}

// Relay is a store that sends calls through other gates while the platform's
// store refuses this gate or does not respond to it. Repeating an append is safe:
// owners' appends carry a sequence number, and all others write the same value
// under the same key.
type Relay struct {
	direct hv.KeyedStore
	peers  Peers
	clock  hv.Clock
	logger log.Logger

	mu sync.Mutex
	// down is true from a direct call without a response to the next one with a
	// response.
	down      bool
	lastProbe time.Time
	relayed   bool
	// lastResponse is when the store last responded to a direct call.
	lastResponse time.Time
}

var _ hv.KeyedStore = (*Relay)(nil)

// NewRelay returns a store that calls direct first.
func NewRelay(direct hv.KeyedStore, peers Peers, clock hv.Clock, logger log.Logger) *Relay {
	return &Relay{direct: direct, peers: peers, clock: clock, logger: logger}
}

// Append implements hibiscusvane.KeyedStore.
func (r *Relay) Append(ctx context.Context, topic string, recs []hv.KeyedRecord, f hv.Fence) (end int64, err error) {
	err = r.callWithRelay(ctx, r.isUp, func(ctx context.Context, s hv.KeyedStore) error {
		end, err = s.Append(ctx, topic, recs, f)
		return err
	})
	return end, err
}

// Read implements hibiscusvane.KeyedStore.
func (r *Relay) Read(ctx context.Context, topic string, from int64, wait time.Duration) (page hv.KeyedPage, err error) {
	err = r.callWithRelay(ctx, r.isUpOrProbeDue, func(ctx context.Context, s hv.KeyedStore) error {
		page, err = s.Read(ctx, topic, from, wait)
		return err
	})
	return page, err
}

// Newest implements hibiscusvane.KeyedStore.
func (r *Relay) Newest(ctx context.Context, topic string) (page hv.KeyedPage, err error) {
	err = r.callWithRelay(ctx, r.isUpOrProbeDue, func(ctx context.Context, s hv.KeyedStore) error {
		page, err = s.Newest(ctx, topic)
		return err
	})
	return page, err
}

// Probe checks with a read whether the store responds to this gate, also while another
// call without a response is in progress.
func (r *Relay) Probe(ctx context.Context, topic string, from int64) error {
	_, err := r.direct.Read(hv.WithResponseTimeout(ctx, probeTimeout), topic, from, 0)
	r.recordResult(err)
	return err
}

type storeCall func(ctx context.Context, s hv.KeyedStore) error

// Direct calls the store on behalf of another gate. It returns an error of kind
// Unavailable without a call while the store does not respond to this gate.
func (r *Relay) Direct(ctx context.Context, call storeCall) error {
	return r.callDirect(ctx, r.isUp, call)
}

func (r *Relay) callDirect(ctx context.Context, allowed func() bool, call storeCall) error {
	if !allowed() {
		return failure("direct", hv.Unavailable, "the store has failed and does not respond yet")
	}
	if r.Failed() {
		ctx = hv.WithResponseTimeout(ctx, probeTimeout)
	}
	err := call(ctx, r.direct)
	r.recordResult(err)
	return err
}

func (r *Relay) callWithRelay(ctx context.Context, allowed func() bool, call storeCall) error {
	err := r.callDirect(ctx, allowed, call)
	if !isOutage(err) || r.isSingleTimeout(err) {
		return err
	}
	uncertain := hv.KindOf(err) == hv.Uncertain
	for i, s := range r.peers.Stores() {
		if i == maxRelays || ctx.Err() != nil {
			break
		}
		relayErr := call(ctx, s)
		if !isOutage(relayErr) {
			r.setRelayed(true)
			return relayErr
		}
		uncertain = uncertain || hv.KindOf(relayErr) == hv.Uncertain
	}
	if uncertain {
		return failure("call", hv.Uncertain, "the store did not respond: %v", err)
	}
	return err
}

// isOutage reports whether a call that failed with err may succeed through
// another gate.
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

// Failed reports whether the last direct call got no response.
func (r *Relay) Failed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down
}

func (r *Relay) isUp() bool { return !r.Failed() }

// isUpOrProbeDue reports whether a read may be sent: always while the store
// responds, and once every probeInterval while it does not.
func (r *Relay) isUpOrProbeDue() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.down {
		return true
	}
	now := r.clock.Now()
	if now.Sub(r.lastProbe) < probeInterval {
		return false
	}
	r.lastProbe = now
	return true
}

// isSingleTimeout reports whether a call got no response while others do. Such a
// call only takes long, as one with a large record does at a slow store, and
// would take longer through a peer.
func (r *Relay) isSingleTimeout(err error) bool {
	if hv.KindOf(err) != hv.Uncertain {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.clock.Now().Sub(r.lastResponse) < recentResponseAge
}

// recordResult updates the state of the direct store after a call.
func (r *Relay) recordResult(err error) {
	outage := isOutage(err)
	if outage && r.isSingleTimeout(err) {
		return
	}
	r.mu.Lock()
	if outage && !r.down {
		r.lastProbe = r.clock.Now()
	}
	if !outage {
		r.lastResponse = r.clock.Now()
	}
	r.down = outage
	r.mu.Unlock()
	if !outage {
		r.setRelayed(false)
	}
}

// setRelayed records whether calls go through peers and logs a change.
func (r *Relay) setRelayed(relayed bool) {
	r.mu.Lock()
	changed := relayed != r.relayed
	r.relayed = relayed
	r.mu.Unlock()
	if changed {
		_ = level.Info(r.logger).Log("msg", "relaying of store calls through other gates started or stopped", "relayed", relayed)
	}
}
