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
	// methodPut makes the owner store a record with its next append.
	methodPut = "put"
	// ownerPutTimeout limits the wait for the owner. It covers two appends to a slow
	// store, which takes 0.3 s for each, and leaves time for an append by this gate
	// itself.
	ownerPutTimeout = 1200 * time.Millisecond
	// ownerRetryDelay is how long the owner is not asked to store records after it
	// failed to respond.
	ownerRetryDelay = time.Second
	// maxReadAge is the time since the last successful read after which a gate
	// trusts an owner's report that the store has failed: reads wait at most 0.4 s
	// for a record.
	maxReadAge = 700 * time.Millisecond
	// maxOwnerRecordAge is the time since the owner's last record after which the
	// owner is not asked: it appends a record every 0.3 s.
	maxOwnerRecordAge = 700 * time.Millisecond
)

// put stores an idempotent record. An error of kind Unavailable means that the
// record was certainly not stored.
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
			return failure("put", hv.Uncertain, "no response from the store: %v", err)
		}
	}
}

// putThroughOwner makes the owner store a record. An error of kind Uncertain means
// that the record may have been stored. All other errors mean that it was not:
// NotFound that there is no owner to ask, Unavailable that the owner cannot write to
// the store.
func (g *Gate) putThroughOwner(ctx context.Context, rec hv.KeyedRecord) error {
	if o := g.currentOwner(); o != nil {
		return g.putAsOwner(ctx, o, rec)
	}
	c, _ := g.replica.Claim()
	if !g.shouldAskOwner(c) {
		return failure(methodPut, hv.NotFound, "the cell has no owner that is known to respond")
	}
	_, err := hvwire.CallPeer[struct{}](ctx, g.peers.pool, c.Addr, methodPut, ownerPutTimeout, rec)
	kind, sent := hv.KindOf(err), !hvwire.NotSent(err)
	if err == nil || sent && (kind == hv.Unavailable || kind == hv.NotFound) {
		return err
	}
	if sent || kind == hv.Unavailable {
		// Other errors, such as a record that is too large for a message, say nothing
		// about the owner.
		g.ownerPutFailed(c, err)
	}
	if !sent {
		return failure(methodPut, hv.NotFound, "owner %s: %v", c.Name, err)
	}
	return failure(methodPut, hv.Uncertain, "owner %s: %v", c.Name, err)
}

// putAsOwner stores a record with the next append of the owner in this process.
func (g *Gate) putAsOwner(ctx context.Context, o *hvowner.Owner, rec hv.KeyedRecord) error {
	if g.relay.Failed() {
		return failure(methodPut, hv.Unavailable, "the store has failed and does not respond yet")
	}
	ctx, cancel := context.WithTimeout(ctx, ownerPutTimeout)
	defer cancel()
	return o.Put(ctx, rec)
}

// shouldAskOwner reports whether the owner is likely to respond.
func (g *Gate) shouldAskOwner(c hvledger.Claim) bool {
	if c.Epoch == 0 || c.Released || c.Name == g.options.Name || g.peers.ownerEnded(c) || g.replica.SinceOwnerRecord() > maxOwnerRecordAge {
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
	_ = level.Info(g.options.Logger).Log("msg", "owner did not store a record; no record is sent to it during the pause", "owner", c.Name, "epoch", c.Epoch, "pause", ownerRetryDelay, "err", err)
}

// servePut stores a record for another gate while this gate owns the cell.
func (g *Gate) servePut(ctx context.Context, _ *hvwire.Conn, rec hv.KeyedRecord) (struct{}, error) {
	o := g.currentOwner()
	if o == nil {
		return struct{}{}, failure(methodPut, hv.NotFound, "this gate does not own the cell")
	}
	return struct{}{}, g.putAsOwner(ctx, o, rec)
}
