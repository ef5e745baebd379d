package hventry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvowner"
	"hibiscusvane.example/hibiscusvane/hvshed"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// putThroughOwner makes the owner store a record. An error of kind Uncertain means
// that the record may have been stored. All other errors mean that it was not:
// NotFound that there is no owner to ask, Unavailable that the owner cannot write to
// the store.
func (g *Gate) putThroughOwner(ctx context.Context, rec hv.KeyedRecord, order hvshed.Order) error {
	limit := max(order.Deadline.Sub(g.options.Clock.Now()), ownerReplyReserve)
	if o := g.currentOwner(); o != nil {
		return g.putAsOwner(ctx, o, rec, order, limit)
	}
	c, _ := g.replica.Claim()
	if !g.shouldAskOwner(c) {
		return failure(methodPut, hv.NotFound, "the cell has no owner that is known to respond")
	}
	now := g.options.Clock.Now()
	req := putRequest{KeyedRecord: rec, WaitMS: max(limit-ownerReplyReserve, time.Millisecond).Milliseconds(), First: order.First}
	if !order.RefusedAt.IsZero() {
		req.RefusedMS = max(now.Sub(order.RefusedAt).Milliseconds(), 1)
	}
	err := g.callOwner(ctx, c, g.ownerPatience(limit), limit, req)
	kind, sent := hv.KindOf(err), !hvwire.NotSent(err)
	if err == nil || sent && (kind == hv.Unavailable || kind == hv.NotFound) {
		return err
	}
	if ctx.Err() == nil && !g.admission.storeIsSlow() && (sent || kind == hv.Unavailable) {
		// Other errors, such as a record that is too large for a message, say nothing
		// about the owner.
		g.ownerPutFailed(c, err)
	}
	if !sent {
		return failure(methodPut, hv.NotFound, "owner %s: %v", c.Name, err)
	}
	return failure(methodPut, hv.Uncertain, "owner %s: %v", c.Name, err)
}

// callOwner sends a record to the owner, which gets limit to respond. After patience it
// gives up an owner that is not known to wait for a slow store. The call does not end with
// that of the caller, because a call that is given up closes the connection and with it the
// calls of others.
func (g *Gate) callOwner(ctx context.Context, c hvledger.Claim, patience, limit time.Duration, req putRequest) error {
	result := make(chan error, 1)
	began := g.admission.putBegins()
	go func() {
		report, err := hvwire.CallPeer[hvshed.Load](context.WithoutCancel(ctx), g.peers.pool, c.Addr, methodPut, limit, req)
		g.admission.putEnds(began, report, err)
		result <- err
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return failure(methodPut, hv.Uncertain, "owner %s: %v", c.Name, ctx.Err())
	case <-timer.C:
	}
	if !g.ownerWaitsForStore(ctx, c) {
		return failure(methodPut, hv.Uncertain, "no response from owner %s in %v", c.Name, patience)
	}
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return failure(methodPut, hv.Uncertain, "owner %s: %v", c.Name, ctx.Err())
	}
}

// ownerWaitsForStore asks the owner whether it waits for a slow store, and keeps the load
// that it reports.
func (g *Gate) ownerWaitsForStore(ctx context.Context, c hvledger.Claim) bool {
	info, err := hvwire.CallPeer[processInfo](ctx, g.peers.pool, c.Addr, methodProcess, ownerCheckTimeout, struct{}{})
	if err != nil || !info.owns(c) || info.Load.Check() != nil || info.Load.Response() < hvshed.SlowResponse {
		return false
	}
	g.admission.ownerReported(info.Load)
	return true
}

// ownerPatience returns how long a call to the owner waits for its response without
// asking whether it waits for a slow store. An owner that may be paused or cut off leaves
// time for an append by this gate.
func (g *Gate) ownerPatience(limit time.Duration) time.Duration {
	if g.admission.storeIsSlow() {
		return limit
	}
	return max(min(ownerPutTimeout, limit-g.admission.response()), ownerReplyReserve)
}

// putThroughPresentOwner is like putThroughOwner. While the store is slow and there is no
// owner to ask, it waits for one: appends of all gates would delay the claim of the next
// owner and its first appends.
func (g *Gate) putThroughPresentOwner(ctx context.Context, rec hv.KeyedRecord, order hvshed.Order) error {
	for {
		err := g.putThroughOwner(ctx, rec, order)
		if !isNoOwner(err) || !g.storeIsSlow(ctx) {
			return err
		}
		hvtick.Sleep(ctx, submitRetryInterval)
		if ctx.Err() != nil {
			return failure(methodPut, hv.Unavailable, "no owner in time at a slow store: %v", err)
		}
	}
}

// putAsOwner stores a record with the next append of the owner in this process.
func (g *Gate) putAsOwner(ctx context.Context, o *hvowner.Owner, rec hv.KeyedRecord, order hvshed.Order, limit time.Duration) error {
	if g.relay.Failed() {
		return failure(methodPut, hv.Unavailable, "the store has failed and does not respond yet")
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return o.PutInOrder(ctx, rec, order)
}

// shouldAskOwner reports whether the owner is likely to respond.
func (g *Gate) shouldAskOwner(c hvledger.Claim) bool {
	if c.Epoch == 0 || c.Released || c.Name == g.options.Name || g.peers.ownerEnded(c) || g.replica.SinceOwnerRecord() > g.maxOwnerSilence() {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.options.Clock.Now().After(g.skipOwnerUntil)
}

// maxOwnerSilence returns the time since the owner's last record after which the owner is
// not asked. At a slow store the record may wait behind appends of others; if the gates
// then appended too, it would wait longer.
func (g *Gate) maxOwnerSilence() time.Duration {
	if !g.admission.storeIsSlow() {
		return maxOwnerRecordAge
	}
	return maxOwnerRecordAge + slowAppends*hvshed.MaxResponse
}

func (g *Gate) ownerPutFailed(c hvledger.Claim, err error) {
	g.mu.Lock()
	g.skipOwnerUntil = g.options.Clock.Now().Add(ownerRetryDelay)
	g.mu.Unlock()
	_ = level.Info(g.options.Logger).Log("msg", "owner did not store a record; no record is sent to it during the pause", "owner", c.Name, "epoch", c.Epoch, "pause", ownerRetryDelay, "err", err)
}

// servePut stores a record for another gate while this gate owns the cell, and reports
// the load of its appends.
func (g *Gate) servePut(ctx context.Context, _ *hvwire.Conn, req putRequest) (hvshed.Load, error) {
	if err := req.Check(); err != nil {
		return hvshed.Load{}, err
	}
	o := g.currentOwner()
	if o == nil {
		return hvshed.Load{}, failure(methodPut, hv.NotFound, "this gate does not own the cell")
	}
	if err := g.putAsOwner(ctx, o, req.KeyedRecord, req.order(g.options.Clock.Now()), req.limit()); err != nil {
		return hvshed.Load{}, err
	}
	return g.admission.ownLoad(o.Queued()), nil
}
