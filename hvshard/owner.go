package hvshard

import (
	"math/rand/v2"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// Owner is a gate's part in one shard, whether the gate owns it at present or
// not. Its methods may be called from several goroutines.
type Owner struct {
	mu     sync.Mutex
	config Config
	Deps
	state  *hvtask.Shard
	stream string

	started time.Time
	// epoch is the epoch of this process, or 0 while it does not own the shard.
	epoch   int64
	leaving bool
	// seen is the epoch of the last look at the ownership and changed when it
	// last rose. Missing is when the owner was first found missing.
	seen    int64
	changed time.Time
	missing time.Time
	// outranked is since when another gate is the desired owner.
	outranked time.Time
	// losses counts takeovers by gates that this one does not hear.
	losses int

	settings *Settings
	compared time.Time

	waiting   []*Ticket
	pending   map[string]bool
	flight    *Batch
	nextFlush time.Time
	nextSweep time.Time
	// doubt is set while a record of unknown fate may still appear. Nothing
	// that depends on exact sums is decided until a later record was read back.
	doubt  bool
	failed bool

	attempts map[string]*attempt
	hosts    map[string]*host
	waits    map[string]*wait
	// calm is when placements may begin after a takeover or an outage.
	calm       time.Time
	calmUrgent time.Time
}

// attempt is what the owner knows beyond the log of an attempt that holds a host.
type attempt struct {
	number int
	// since is when this owner first saw the attempt.
	since time.Time
	// sent is when the last start was sent, listed when a heartbeat of the
	// host last listed the attempt.
	sent   time.Time
	listed time.Time
	// until is the end of the first lease that this owner has permitted.
	until time.Time
	// evict is the reason of a requested eviction, asked at evictAt.
	evict   string
	evictAt time.Time
	// closed is set when the end of the attempt is on its way to the log. No
	// start may follow: a host that returns at that moment would run the
	// attempt beside the next one.
	closed bool
}

// host is the last heartbeat of a host.
type host struct {
	side     string
	rack     string
	sequence uint64
	received time.Time
	leaving  bool
	// until is the latest end of the leases that this owner has renewed.
	until time.Time
}

// wait says why a queued task is not placed and when it is tried again.
type wait struct {
	number int
	next   time.Time
	delay  time.Duration
	reason string
	// misfit is when the task was first found to fit no host.
	misfit time.Time
	// quota is set while the task waits for its team's quota.
	quota bool
}

// New returns the gate's part in a shard.
func New(config Config, deps Deps) *Owner {
	o := &Owner{
		config: config, Deps: deps,
		state: deps.States[config.Shard], stream: StreamName(config.Shard),
		started: deps.Clock.Now(),
		pending: make(map[string]bool), hosts: make(map[string]*host),
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	o.resetOwned()
	return o
}

// SetSettings replaces the settings that the owner works by.
func (o *Owner) SetSettings(s Settings) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.settings, o.compared = &s, time.Time{}
}

// Owns reports whether this gate owns the shard, and with which epoch.
func (o *Owner) Owns() (int64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sync(o.Clock.Now())
	return o.epoch, o.epoch != 0
}

// Step does what is due and returns the record to append next, if any. The
// caller appends it and calls Finish; meanwhile Step returns no other.
func (o *Owner) Step(now time.Time) *Batch {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.sync(now)
	if o.epoch != 0 {
		o.startPlaced(now)
		if !now.Before(o.nextSweep) {
			o.nextSweep = now.Add(sweepEvery)
			o.sweep(now)
		}
	}
	if o.flight != nil || now.Before(o.nextFlush) {
		return nil
	}
	if o.epoch != 0 && !o.leaving && !o.doubt {
		o.place(now)
	}
	return o.flush(now)
}

// sync compares the ownership in the log with what this process believes.
func (o *Owner) sync(now time.Time) {
	current := o.state.Owner()
	o.View.RecordEpoch(o.stream, current.Epoch)
	mine := current.Incarnation == o.config.Incarnation && !current.Released
	if current.Epoch != o.seen {
		o.seen, o.changed, o.missing = current.Epoch, now, time.Time{}
		if o.epoch != 0 && !mine {
			o.losses = min(o.losses+1, maxLosses)
		}
	}
	switch {
	case !mine && o.epoch != 0:
		o.epoch = 0
		o.resetOwned()
	case mine && current.Epoch != o.epoch:
		o.epoch = current.Epoch
		o.resetOwned()
		o.pause(now)
	}
}

// resetOwned forgets everything that belongs to one period of ownership.
func (o *Owner) resetOwned() {
	o.attempts = make(map[string]*attempt)
	o.waits = make(map[string]*wait)
	o.compared = time.Time{}
	kept := o.waiting[:0]
	for _, t := range o.waiting {
		if t.key == "" {
			kept = append(kept, t)
		} else {
			delete(o.pending, t.key)
		}
	}
	o.waiting = kept
}

// pause delays the next placements by a random time, so that not all owners
// begin at the same instant.
func (o *Owner) pause(now time.Time) {
	delay := time.Duration(o.Rand.Int64N(int64(jitter)))
	o.calm, o.calmUrgent = now.Add(delay), now.Add(delay/10)
}

// attemptOf returns the owner's knowledge of the attempt that holds a host.
func (o *Owner) attemptOf(e *hvtask.Entry, now time.Time) *attempt {
	a := o.attempts[e.Task.ID]
	if a == nil || a.number != e.Hold.Number {
		a = &attempt{number: e.Hold.Number, since: now}
		o.attempts[e.Task.ID] = a
	}
	return a
}

// silent reports whether a host has missed its heartbeats.
func (o *Owner) silent(name string, now time.Time) bool {
	h := o.hosts[name]
	return h == nil || now.Sub(h.received) >= missingAfter
}

// Explain says in words what state a task is in, and for a queued task of an
// owned shard why it is not placed.
func (o *Owner) Explain(id string) (string, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	e, ok := o.state.Lookup(id)
	if !ok {
		return "", errorf("explain", hv.NotFound, "task %q is not known", id)
	}
	text := e.Explain()
	if w := o.waits[id]; e.State == hvtask.Queued && w != nil && w.reason != "" {
		text += "; waits: " + w.reason
	}
	return text, nil
}
