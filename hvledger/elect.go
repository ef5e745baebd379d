package hvledger

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvfence"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// electionPollInterval is the time between two checks of the owner.
	electionPollInterval = 150 * time.Millisecond
	// ownerTimeout is how long the owner may append nothing before it is considered
	// to have failed; an owner appends at least every HeartbeatInterval.
	ownerTimeout = time.Second
	// HeartbeatInterval is the longest time between two appends of an owner.
	HeartbeatInterval = 300 * time.Millisecond
	// AuthorityTimeout is how long an owner continues without a successful append.
	// Outages of the store last up to about 6 s. A new owner waits until it has passed
	// since the last record of the previous one, and LeaseOverhang, if a host does not
	// respond.
	AuthorityTimeout = 6 * time.Second
	// LeaseOverhang is how long the leases that an owner grants last beyond its authority.
	// Once it appends again it takes up to about 2 s until all hosts have new leases.
	LeaseOverhang = 2500 * time.Millisecond
	// earlierLeaseOverhang is that of owners of builds that do not state it in their claims.
	earlierLeaseOverhang = 5 * time.Second
	// rankDelay is the time between the attempts of candidates of adjacent ranks, and
	// slowRankDelay that at a slow store: the claim before takes an append and a read to be
	// seen, of up to 0.4 s each.
	rankDelay     = 200 * time.Millisecond
	slowRankDelay = time.Second
	// maxClaimPause limits the pause after a failed attempt at a slow store, which doubles
	// from electionPollInterval on.
	maxClaimPause = 600 * time.Millisecond
	// maxClaimAttempts limits the conditional appends of one attempt. An append
	// fails when another gate has appended a submission in between.
	maxClaimAttempts = 8
)

// Elector claims the cell for a gate when the cell has no owner.
type Elector struct {
	replica *Replica
	tailer  *Tailer
	store   hv.KeyedStore
	topic   string
	self    Claim
	logger  log.Logger
	// processEnded reports whether no process listens at the owner's address.
	processEnded func(c Claim) bool
	// storeIsSlow reports whether the store responds slowly.
	storeIsSlow func() bool
	// ended is the last claim that was found to have ended, and endedAt when.
	ended   Claim
	endedAt time.Time
}

// NewElector returns an elector for a gate; self holds its name, address and
// process identifier.
func NewElector(replica *Replica, tailer *Tailer, store hv.KeyedStore, topic string, self Claim, processEnded func(Claim) bool, storeIsSlow func() bool, logger log.Logger) *Elector {
	self.LeaseOverhang = LeaseOverhang.Milliseconds()
	return &Elector{replica: replica, tailer: tailer, store: store, topic: topic, self: self, processEnded: processEnded, storeIsSlow: storeIsSlow, logger: logger}
}

// Wait blocks until this gate owns the cell and returns its writer, or returns
// nil when ctx ends.
func (e *Elector) Wait(ctx context.Context) *Writer {
	pause := electionPollInterval
	for ctx.Err() == nil {
		if !e.shouldClaim() {
			pause = electionPollInterval
			hvtick.Sleep(ctx, pause)
			continue
		}
		if w := e.claim(ctx); w != nil {
			return w
		}
		hvtick.Sleep(ctx, pause)
		if e.storeIsSlow() {
			// Attempts of all gates at this pace would fill the queue of the store.
			pause = min(2*pause, maxClaimPause)
		}
	}
	return nil
}

// shouldClaim reports whether this gate should claim the cell now.
func (e *Elector) shouldClaim() bool {
	if !e.replica.Loaded() {
		return false
	}
	c, _ := e.replica.Claim()
	if c.Name == e.self.Name && !c.Released {
		// The owner is an earlier process of this gate, which must have ended.
		return true
	}
	idle := e.replica.SinceOwnerRecord()
	free := c.Epoch == 0 || c.Released
	ended := !free && e.processEnded(c)
	if !free && !ended && idle <= ownerTimeout {
		// Return early in the usual case: computing the rank visits all nodes.
		return false
	}
	wait := time.Duration(e.rank(c)) * e.rankDelay()
	switch {
	case free:
		return idle >= wait
	case ended:
		return e.sinceEnd(c) >= wait
	}
	return idle > ownerTimeout+wait
}

func (e *Elector) rankDelay() time.Duration {
	if e.storeIsSlow() {
		return slowRankDelay
	}
	return rankDelay
}

// sinceEnd returns how long ago this gate first noticed that an owner has ended. Its last
// record may be much older, so that a delay from then on would pass for all candidates at
// the same time.
func (e *Elector) sinceEnd(c Claim) time.Duration {
	now := e.replica.clock.Now()
	if !e.ended.SameOwnership(c) {
		e.ended, e.endedAt = c, now
	}
	return now.Sub(e.endedAt)
}

// ownerHasEnded reports whether an owner is known to send no further orders.
func (e *Elector) ownerHasEnded(c Claim) bool {
	return c.Epoch == 0 || c.Released || c.Name == e.self.Name || e.processEnded(c)
}

// authorityOf returns how long an owner may still grant leases that has appended nothing for
// a time.
func (e *Elector) authorityOf(c Claim, silence time.Duration) time.Duration {
	if e.ownerHasEnded(c) {
		return 0
	}
	return max(AuthorityTimeout+additionalOverhang(c)-silence, 0)
}

// additionalOverhang returns by how much the leases of an owner, and those that it counts
// for owners before it, may last longer than LeaseOverhang. They count as if these owners
// had authority for longer.
func additionalOverhang(c Claim) time.Duration {
	if c.LeaseOverhang > 0 {
		return 0
	}
	return earlierLeaseOverhang - LeaseOverhang
}

// rank returns the position of this gate among the candidates, so that they do
// not all try at once. Candidates with more capacity come first, because the
// owner does the most work; equal ones are ordered by a hash.
func (e *Elector) rank(c Claim) int {
	var own Node
	nodes := e.replica.Nodes()
	for _, n := range nodes {
		if n.Name == e.self.Name {
			own = n
		}
	}
	own.Name = e.self.Name
	rank := 0
	for _, n := range nodes {
		if n.Gate && n.Name != c.Name && n.Name != own.Name && ranksBefore(n, own, c) {
			rank++
		}
	}
	return rank
}

// ranksBefore reports whether candidate a comes before b as the successor of the
// owner c.
func ranksBefore(a, b Node, c Claim) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return rankHash(a.Name, c) < rankHash(b.Name, c)
}

func rankHash(name string, c Claim) uint64 { return xxhash.Sum64String(name + c.Process) }

// firstSequence returns the sequence number of a claim. The store treats a
// repeated number of an epoch as a retry and reports success, so two candidates
// must not use the same one.
func firstSequence(c Claim) int64 { return int64(xxhash.Sum64String(c.Process)>>34) + 1 }

// claim appends a claim on the condition that nothing was appended after the
// state in which the cell had no owner. It returns nil if the claim fails.
func (e *Elector) claim(ctx context.Context) *Writer {
	for range maxClaimAttempts {
		if err := e.tailer.Sync(ctx); err != nil {
			_ = level.Debug(e.logger).Log("msg", "claim postponed: topic cannot be read", "err", err)
			return nil
		}
		if !e.shouldClaim() {
			return nil
		}
		last, _ := e.replica.Claim()
		c := e.self
		c.Epoch = hvfence.NextEpoch(last.Epoch)
		// The claim is stored only if the previous owner has appended nothing meanwhile.
		silence := e.replica.SinceOwnerRecord()
		earlier := e.replica.EarlierAuthority()
		if earlier > 0 {
			earlier += additionalOverhang(last)
		}
		authority := max(e.authorityOf(last, silence), earlier)
		authorityEnd := e.replica.clock.Now().Add(authority)
		c.EarlierAuthority = (authority + time.Millisecond - 1).Milliseconds()
		rec, err := claimRecord(c)
		if err != nil {
			return nil
		}
		sentAt, first := bootNow(), firstSequence(c)
		_, err = e.store.Append(ctx, e.topic, []hv.KeyedRecord{rec}, hv.Fence{Producer: ownerProducer, Epoch: c.Epoch, Sequence: first, ExpectedEnd: e.replica.End()})
		if err != nil && hv.KindOf(err) == hv.Unavailable {
			return nil
		}
		if err != nil {
			// The claim may be in the topic or may still arrive; read the topic to
			// find out.
			if e.tailer.Sync(ctx) != nil {
				return nil
			}
			if got, _ := e.replica.Claim(); !got.SameOwnership(c) {
				continue
			}
		}
		w := &Writer{
			store: e.store, topic: e.topic, claim: c, sequence: first, lastAppend: sentAt, clock: e.replica.clock,
			previous: last, previousAuthority: authority, previousAuthorityEnd: authorityEnd, earlierAuthority: earlier,
		}
		_ = level.Info(e.logger).Log("msg", "this gate claimed the cell", "epoch", c.Epoch, "before", last.Name, "silence", silence, "authority", authority)
		return w
	}
	return nil
}
