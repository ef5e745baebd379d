package hvshard

import (
	"math/rand/v2"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// Owner manages one shard on a gate, whether or not the gate currently owns the
// shard. Its methods are safe for concurrent use.
type Owner struct {
	mu     sync.Mutex
	config Config
	Deps
	state  *hvtask.Shard
	stream string

	started time.Time
	// epoch is the epoch under which this process owns the shard, or 0 while it
	// does not.
	epoch        int64
	steppingDown bool
	// lastEpoch is the epoch at the last check of the ownership, and
	// epochChanged is when that epoch was first seen. missingSince is when the
	// owner was first found missing.
	lastEpoch    int64
	epochChanged time.Time
	missingSince time.Time
	// outrankedSince is when another gate became the desired owner.
	outrankedSince time.Time
	// losses counts takeovers by gates that this one receives no heartbeats
	// from.
	losses int

	settings        *Settings
	settingsChecked time.Time

	queue      []*Ticket
	queuedKeys map[string]bool
	inFlight   *Batch
	nextFlush  time.Time
	nextCheck  time.Time
	// uncertain is set while an append of unknown outcome may still take
	// effect. No decision that depends on exact totals is made until a later
	// record has been read back.
	uncertain    bool
	appendFailed bool

	attempts map[string]*attempt
	hosts    map[string]*host
	waits    map[string]*wait
	// placeAfter is when placements may begin after a takeover or a log outage;
	// placeUrgentAfter is the same for urgent tasks.
	placeAfter       time.Time
	placeUrgentAfter time.Time
}

// attempt is the owner's state, beyond what the log has, of an attempt that
// occupies a host.
type attempt struct {
	number int
	// firstSeen is when this owner first saw the attempt.
	firstSeen time.Time
	// startSent is when the start was last sent; lastListed is when a heartbeat
	// of the host last listed the attempt.
	startSent  time.Time
	lastListed time.Time
	// leaseEnd is the latest lease end sent with a start of the attempt.
	leaseEnd time.Time
	// evictReason is the reason of an eviction requested at evictRequested.
	evictReason    string
	evictRequested time.Time
	// ending is set while the operation that ends the attempt is queued or
	// being appended. No start may be sent then: a host that reconnects at that
	// moment would run the attempt alongside the next one.
	ending bool
}

// host is the state from the last heartbeat of a host.
type host struct {
	sideIncarnation string
	rack            string
	sequence        uint64
	received        time.Time
	leaving         bool
	// leaseEnd is the latest lease end that this owner has sent in a renewal.
	leaseEnd time.Time
}

// wait records why a queued task has not been placed and when to try again.
type wait struct {
	attempt int
	next    time.Time
	delay   time.Duration
	reason  string
	// unplaceableSince is when the task was first found to fit on no host.
	unplaceableSince time.Time
	// forQuota is set while the task waits for its team's quota.
	forQuota bool
}

// New returns the Owner of a shard, which does not own the shard yet.
func New(config Config, deps Deps) *Owner {
	o := &Owner{
		config: config, Deps: deps,
		state: deps.States[config.Shard], stream: StreamName(config.Shard),
		started:    deps.Clock.Now(),
		queuedKeys: make(map[string]bool), hosts: make(map[string]*host),
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.resetOwnership()
	return o
}

// SetSettings replaces the settings.
func (o *Owner) SetSettings(s Settings) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settings, o.settingsChecked = &s, time.Time{}
}

// Owns returns the epoch under which this gate owns the shard, and whether it
// owns it.
func (o *Owner) Owns() (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncOwnership(o.Clock.Now())
	return o.epoch, o.epoch != 0
}

// Step performs the work that is due and returns the next record to append, if
// any. The caller appends it and calls Finish; until then Step returns no other
// record.
func (o *Owner) Step(now time.Time) *Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.syncOwnership(now)
	if o.epoch != 0 {
		o.sendStarts(now)
		if !now.Before(o.nextCheck) {
			o.nextCheck = now.Add(checkInterval)
			o.checkAttempts(now)
		}
	}
	if o.inFlight != nil || now.Before(o.nextFlush) {
		return nil
	}
	if o.epoch != 0 && !o.steppingDown && !o.uncertain {
		o.queuePlacements(now)
	}
	return o.nextBatch(now)
}

// syncOwnership updates the local view of the ownership from the log.
func (o *Owner) syncOwnership(now time.Time) {
	current := o.state.Owner()
	o.Quorum.RecordEpoch(o.stream, current.Epoch)
	owned := current.Incarnation == o.config.Incarnation && !current.Released
	if current.Epoch != o.lastEpoch {
		o.lastEpoch, o.epochChanged, o.missingSince = current.Epoch, now, time.Time{}
		if o.epoch != 0 && !owned {
			o.losses = min(o.losses+1, maxLosses)
		}
	}
	switch {
	case !owned && o.epoch != 0:
		o.epoch = 0
		o.resetOwnership()
	case owned && current.Epoch != o.epoch:
		o.epoch = current.Epoch
		o.resetOwnership()
		o.delayPlacements(now)
	}
}

// resetOwnership drops all state that belongs to one period of ownership.
func (o *Owner) resetOwnership() {
	o.attempts = make(map[string]*attempt)
	o.waits = make(map[string]*wait)
	o.settingsChecked = time.Time{}
	kept := o.queue[:0]
	for _, t := range o.queue {
		if t.key == "" {
			kept = append(kept, t)
		} else {
			delete(o.queuedKeys, t.key)
		}
	}
	o.queue = kept
}

// delayPlacements delays the next placements by a random time, so that not all
// owners start at the same instant.
func (o *Owner) delayPlacements(now time.Time) {
	delay := time.Duration(o.Rand.Int64N(int64(maxPlacementJitter)))
	o.placeAfter, o.placeUrgentAfter = now.Add(delay), now.Add(delay/10)
}

// attemptOf returns the owner's state of the attempt that occupies a host, and
// creates it if necessary.
func (o *Owner) attemptOf(e *hvtask.Entry, now time.Time) *attempt {
	a := o.attempts[e.Task.ID]
	if a == nil || a.number != e.Placement.Number {
		a = &attempt{number: e.Placement.Number, firstSeen: now}
		o.attempts[e.Task.ID] = a
	}
	return a
}

// silent reports whether a host has sent no heartbeat for missingTimeout.
func (o *Owner) silent(name string, now time.Time) bool {
	h := o.hosts[name]
	return h == nil || now.Sub(h.received) >= missingTimeout
}

// Explain describes the state of a task and, for a queued task of an owned
// shard, why it has not been placed.
func (o *Owner) Explain(id string) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.state.Lookup(id)
	if !ok {
		return "", errorf("explain", hv.NotFound, "task %q not found", id)
	}
	text := e.Explain()
	if w := o.waits[id]; e.State == hvtask.Queued && w != nil && w.reason != "" {
		text += "; waits: " + w.reason
	}
	return text, nil
}
