package hvledger

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// electInterval separates two looks at the owner.
	electInterval = 150 * time.Millisecond
	// ownerSilence is the silence after which the owner is taken as lost; an
	// owner appends at least every BeatInterval.
	ownerSilence = time.Second
	// HeartbeatInterval is the longest time between two appends of an owner.
	HeartbeatInterval = 300 * time.Millisecond
	// rankDelay separates the attempts of the candidates.
	rankDelay = 200 * time.Millisecond
	// claimTries bounds the appends of one attempt; other gates append
	// submissions in between.
	claimTries = 8
)

// Elector claims the cell when it has no owner.
type Elector struct {
	replica *Replica
	tail    *Tailer
	store   hv.KeyedStore
	topic   string
	self    Claim
	logger  log.Logger
	// gone reports whether no process listens at the owner's address.
	gone func(c Claim) bool
}

// NewElector returns an elector for a gate; self holds its name, address and
// process.
func NewElector(replica *Replica, tail *Tailer, store hv.KeyedStore, topic string, self Claim, gone func(Claim) bool, logger log.Logger) *Elector {
	return &Elector{replica: replica, tail: tail, store: store, topic: topic, self: self, gone: gone, logger: logger}
}

// Wait returns when this gate owns the cell, or nil when ctx ends.
func (e *Elector) Wait(ctx context.Context) *Writer {
	for ctx.Err() == nil {
		if e.vacant() {
			if w := e.claim(ctx); w != nil {
				return w
			}
		}
		hvtick.Sleep(ctx, electInterval)
	}
	return nil
}

// vacant reports whether this gate should claim the cell now.
func (e *Elector) vacant() bool {
	if !e.replica.Loaded() {
		return false
	}
	c, _ := e.replica.Claim()
	if c.Name == e.self.Name && !c.Released {
		// An earlier process of this gate has ended, as this one runs.
		return true
	}
	silence := e.replica.SinceOwnerRecord()
	free := c.Epoch == 0 || c.Released
	gone := !free && e.gone(c)
	if !free && !gone && silence <= ownerSilence {
		// This is the usual case, and the rank looks at all nodes.
		return false
	}
	wait := time.Duration(e.rank(c)) * rankDelay
	switch {
	case free:
		return silence >= wait
	case gone:
		return silence > wait
	}
	return silence > ownerSilence+wait
}

// hasEnded reports whether an owner is known to give no further orders.
func (e *Elector) hasEnded(c Claim) bool {
	return c.Epoch == 0 || c.Released || c.Name == e.self.Name || e.gone(c)
}

// rank orders the candidates, so that they do not all try at once: those with
// the most capacity first, as the owner does the most work, and among equals by
// a hash.
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
		if n.Gate && n.Name != c.Name && n.Name != own.Name && before(n, own, c) {
			rank++
		}
	}
	return rank
}

// before reports whether a is a candidate before b after the end of an owner.
func before(a, b Node, c Claim) bool {
	if a.Capacity != b.Capacity {
		return a.Capacity > b.Capacity
	}
	return weight(a.Name, c) < weight(b.Name, c)
}

func weight(name string, c Claim) uint64 { return xxhash.Sum64String(name + c.Process) }

// firstSequence is the sequence number of a claim. The store answers a repeated
// number of an epoch like the first, so two candidates must not share one.
func firstSequence(c Claim) int64 { return int64(xxhash.Sum64String(c.Process)>>34) + 1 }

// claim appends a claim on the condition that nothing was appended since the
// state in which the cell had no owner.
func (e *Elector) claim(ctx context.Context) *Writer {
	for range claimTries {
		if err := e.tail.Sync(ctx); err != nil {
			_ = level.Debug(e.logger).Log("msg", "claim is put off", "err", err)
			return nil
		}
		if !e.vacant() {
			return nil
		}
		last, _ := e.replica.Claim()
		c := e.self
		c.Epoch = last.Epoch + 1
		rec, err := claimRecord(c)
		if err != nil {
			return nil
		}
		at, first := now(), firstSequence(c)
		_, err = e.store.Append(ctx, e.topic, []hv.KeyedRecord{rec}, hv.Fence{Producer: producer, Epoch: c.Epoch, Sequence: first, At: e.replica.Next()})
		if err != nil && hv.KindOf(err) == hv.Unavailable {
			return nil
		}
		if err != nil {
			// The claim may be in the topic or may still come; the topic tells.
			if e.tail.Sync(ctx) != nil {
				return nil
			}
			if got, _ := e.replica.Claim(); got != c {
				continue
			}
		}
		w := &Writer{store: e.store, topic: e.topic, claim: c, sequence: first, stored: at, ended: e.hasEnded(last)}
		_ = level.Info(e.logger).Log("msg", "cell is claimed", "epoch", c.Epoch, "before", last.Name, "silence", e.replica.SinceOwnerRecord())
		return w
	}
	return nil
}
