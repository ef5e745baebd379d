package hventry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvowner"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// methodPut asks the owner to store a record with its next append.
	methodPut = "put"
	// ownerPutTimeout bounds the wait for the owner. It covers two appends of a slow
	// store, which takes 0.3 s for one, and leaves time for an append of this
	// gate's own.
	ownerPutTimeout = 1200 * time.Millisecond
	// ownerRetryDelay is how long the owner is not asked after it gave no answer.
	ownerRetryDelay = time.Second
	// maxReadAge is the age of the last read from which on a gate believes an owner
	// that the store has failed: reads wait 0.4 s at most for a record.
	maxReadAge = 700 * time.Millisecond
	// maxOwnerSilence is the silence of the owner from which on it is not asked: it
	// appends every 0.3 s.
	maxOwnerSilence = 700 * time.Millisecond
)

// put stores a record that has the same effect when it is repeated. An error
// of kind Unavailable promises that it was not stored.
func (g *Gate) put(ctx context.Context, rec hv.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	err := g.putThroughOwner(ctx, rec)
	if err == nil || hv.KindOf(err) == hv.Unavailable && g.replica.SinceLastRead() > maxReadAge {
		return err
	}
	uncertain := hv.KindOf(err) == hv.Uncertain
	for {
		_, err := g.relay.Append(ctx, g.options.CellTopic, []hv.KeyedRecord{rec}, hv.Fence{ExpectedEnd: -1})
		if err == nil {
			return nil
		}
		switch kind := hv.KindOf(err); {
		case kind == hv.Uncertain:
			uncertain = true
		case kind != hv.Unavailable || !uncertain:
			return err
		}
		hvtick.Sleep(ctx, submitRetryInterval)
		if ctx.Err() != nil {
			return failure("put", hv.Uncertain, "no answer of the store: %v", err)
		}
	}
}

// putThroughOwner has the owner store a record. An error of kind Uncertain means
// that it may be stored, every other one that it is not: NotFound that there is
// no owner to ask, Unavailable that the owner's store does not take it.
func (g *Gate) putThroughOwner(ctx context.Context, rec hv.KeyedRecord) error {
	if o := g.currentOwner(); o != nil {
		return g.putAsOwner(ctx, o, rec)
	}
	c, _ := g.replica.Claim()
	if !g.shouldAskOwner(c) {
		return failure(methodPut, hv.NotFound, "no owner to ask")
	}
	_, err := callPeer[struct{}](ctx, g.peers, c.Addr, methodPut, ownerPutTimeout, rec)
	kind, sent := hv.KindOf(err), !hvwire.NotSent(err)
	if err == nil || sent && (kind == hv.Unavailable || kind == hv.NotFound) {
		return err
	}
	if sent || kind == hv.Unavailable {
		// A record that is too long for a message says nothing of the owner.
		g.ownerPutFailed(c, err)
	}
	if !sent {
		return failure(methodPut, hv.NotFound, "owner %s: %v", c.Name, err)
	}
	return failure(methodPut, hv.Uncertain, "owner %s: %v", c.Name, err)
}

// putAsOwner stores a record with the next append of this gate's ownership.
func (g *Gate) putAsOwner(ctx context.Context, o *hvowner.Owner, rec hv.KeyedRecord) error {
	if g.relay.Failed() {
		return failure(methodPut, hv.Unavailable, "the store has failed and is not back")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerPutTimeout)
	defer cancel()
	return o.Put(ctx, rec)
}

// shouldAskOwner reports whether the owner is likely to answer.
func (g *Gate) shouldAskOwner(c hvledger.Claim) bool {
	if c.Epoch == 0 || c.Released || c.Name == g.options.Name || g.peers.ownerEnded(c) || g.replica.SinceOwnerRecord() > maxOwnerSilence {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.options.Clock.Now().After(g.skipOwnerUntil)
}

func (g *Gate) ownerPutFailed(c hvledger.Claim, err error) {
	g.mu.Lock()
	g.skipOwnerUntil = g.options.Clock.Now().Add(ownerRetryDelay)
	g.mu.Unlock()
	_ = level.Info(g.options.Logger).Log("msg", "owner stores nothing", "owner", c.Name, "epoch", c.Epoch, "pause", ownerRetryDelay, "err", err)
}

// servePut stores records for other gates while this gate owns the cell.
func (g *Gate) servePut(ctx context.Context, _ *hvwire.Conn, rec hv.KeyedRecord) (struct{}, error) {
	o := g.currentOwner()
	if o == nil {
		return struct{}{}, failure(methodPut, hv.NotFound, "the cell is not owned here")
	}
	return struct{}{}, g.putAsOwner(ctx, o, rec)
}
