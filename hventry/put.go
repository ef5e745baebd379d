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

const (
	// methodPut makes the owner store a record with its next append.
	methodPut = "put"
	// ownerPutTimeout limits the wait for the owner. It covers two appends to a slow
	// store, which takes 0.3 s for each, and leaves time for an append by this gate
	// itself.
	ownerPutTimeout = 1200 * time.Millisecond
	// ownerReplyReserve is the part of that time that is left for the owner's response:
	// a record that it has not sent by then is not stored, which this gate must learn
	// before it gives up the call.
	ownerReplyReserve = 150 * time.Millisecond
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
	// slowAppends is how many appends of others an owner's record may wait for at a
	// slow store.
	slowAppends = 3
)

// putRequest asks the owner to store a record.
type putRequest struct {
	hv.KeyedRecord
	// WaitMS is how long the record may wait to be sent, and RefusedMS how long ago
	// its caller was first refused, or 0. Both are relative, because clocks differ.
	WaitMS    int64 `json:"wait_ms,omitempty"`
	RefusedMS int64 `json:"refused_ms,omitempty"`
	// First is true for a record that goes before submissions.
	First bool `json:"first,omitempty"`
}

// Check returns an error if the request is malformed.
func (r putRequest) Check() error {
	if r.Key == "" || r.WaitMS < 0 || r.RefusedMS < 0 {
		return failure(methodPut, hv.Invalid, "key %q, wait_ms %d, refused_ms %d: want a key and no negative time", r.Key, r.WaitMS, r.RefusedMS)
	}
	return nil
}

// order returns the place of the record in the owner's queue.
func (r putRequest) order(now time.Time) hvshed.Order {
	o := hvshed.Order{First: r.First}
	if r.WaitMS > 0 {
		o.Deadline = now.Add(time.Duration(r.WaitMS) * time.Millisecond)
	}
	if r.RefusedMS > 0 {
		o.RefusedAt = now.Add(-time.Duration(r.RefusedMS) * time.Millisecond)
	}
	return o
}

// limit returns how long the record may wait for its append; a gate of a build before
// this sends no limit.
func (r putRequest) limit() time.Duration {
	if r.WaitMS == 0 {
		return ownerPutTimeout
	}
	return time.Duration(r.WaitMS) * time.Millisecond
}

// put stores an idempotent record. An error of kind Unavailable means that the
// record was certainly not stored.
func (g *Gate) put(ctx context.Context, rec hv.KeyedRecord, order hvshed.Order, w way) error {
	uncertain := false
	if !w.direct {
		err := g.putThroughOwner(ctx, rec, order, w.load)
		uncertain = hv.KindOf(err) == hv.Uncertain
		if err == nil || hv.KindOf(err) == hv.Unavailable && g.replica.SinceLastRead() > maxReadAge {
			return err
		}
		if !g.fitsDirect(order) || !isNoOwner(err) && g.admission.storeIsSlow() {
			// A repetition by the caller costs less than an append that ends too late,
			// or one that delays those of a slow owner.
			return lateError(uncertain, err)
		}
	}
	for {
		err := g.direct.put(ctx, rec, order)
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
		if ctx.Err() != nil || g.admission.down() {
			// While the store is away, a repetition by the caller costs less than a
			// request that is held to its end.
			return failure("put", hv.Uncertain, "no response from the store: %v", err)
		}
	}
}

// isNoOwner reports whether a record was not stored because there is no owner to ask.
func isNoOwner(err error) bool { return hv.KindOf(err) == hv.NotFound }

// lateError returns the error for a record whose owner returned err and that this gate
// cannot store in time.
func lateError(uncertain bool, err error) error {
	if uncertain {
		return err
	}
	return failure("put", hv.Unavailable, "this gate cannot append the record in time: %v", err)
}

// fitsDirect reports whether an append of this gate can store a record in time.
func (g *Gate) fitsDirect(order hvshed.Order) bool {
	load := g.admission.ownLoad(g.direct.queued())
	return g.options.Clock.Now().Add(load.Wait(order.First)).Before(order.Deadline)
}

// putThroughOwner makes the owner store a record. An error of kind Uncertain means
// that the record may have been stored. All other errors mean that it was not:
// NotFound that there is no owner to ask, Unavailable that the owner cannot write to
// the store.
func (g *Gate) putThroughOwner(ctx context.Context, rec hv.KeyedRecord, order hvshed.Order, load hvshed.Load) error {
	limit := g.ownerLimit(order, load)
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
	err := g.callOwner(ctx, c, limit, req)
	kind, sent := hv.KindOf(err), !hvwire.NotSent(err)
	if err == nil || sent && (kind == hv.Unavailable || kind == hv.NotFound) {
		return err
	}
	if ctx.Err() == nil && (sent || kind == hv.Unavailable) {
		// Other errors, such as a record that is too large for a message, say nothing
		// about the owner.
		g.ownerPutFailed(c, err)
	}
	if !sent {
		return failure(methodPut, hv.NotFound, "owner %s: %v", c.Name, err)
	}
	return failure(methodPut, hv.Uncertain, "owner %s: %v", c.Name, err)
}

// callOwner sends a record to the owner. The call does not end with that of the caller,
// because a call that is given up closes the connection and with it the calls of others.
func (g *Gate) callOwner(ctx context.Context, c hvledger.Claim, limit time.Duration, req putRequest) error {
	result := make(chan error, 1)
	began := g.admission.putBegins()
	go func() {
		report, err := hvwire.CallPeer[hvshed.Load](context.WithoutCancel(ctx), g.peers.pool, c.Addr, methodPut, limit, req)
		g.admission.putEnds(began, report, err)
		result <- err
	}()
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return failure(methodPut, hv.Uncertain, "owner %s: %v", c.Name, ctx.Err())
	}
}

// ownerLimit returns the limit of the wait for the owner. A slow owner gets all the time
// that is left, because an append by this gate would be as slow and would delay it. An
// owner that may be paused or cut off leaves time for one.
func (g *Gate) ownerLimit(order hvshed.Order, load hvshed.Load) time.Duration {
	limit := order.Deadline.Sub(g.options.Clock.Now())
	if load.Response() < hvshed.SlowResponse {
		limit = min(ownerPutTimeout, limit-g.admission.response())
	}
	return max(limit, ownerReplyReserve)
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
