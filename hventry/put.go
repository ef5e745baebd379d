package hventry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvshed"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// methodPut makes the owner store a record with its next append.
	methodPut = "put"
	// ownerPutTimeout limits the wait for the owner. It covers two appends to a slow
	// store, which takes 0.3 s for each, and leaves time for an append by this gate
	// itself.
	ownerPutTimeout = 1200 * time.Millisecond
	// ownerCheckTimeout limits the question whether the owner waits for the store.
	ownerCheckTimeout = 300 * time.Millisecond
	// storeCheckInterval is the time between reads that measure the store before appends of
	// this gate.
	storeCheckInterval = 200 * time.Millisecond
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
	if !w.direct || g.storeIsSlow(ctx) {
		err := g.putThroughPresentOwner(ctx, rec, order)
		uncertain = hv.KindOf(err) == hv.Uncertain
		if err == nil || hv.KindOf(err) == hv.Unavailable && g.replica.SinceLastRead() > maxReadAge {
			return err
		}
		if !g.fitsDirect(order) || !isNoOwner(err) && g.storeIsSlow(ctx) {
			// A repetition by the caller costs less than an append that ends too late,
			// or one that delays those of the owner at a slow store.
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

// storeIsSlow reports whether the store is slow. It measures the store with a read if that
// has not been done lately, because appends of all gates would fill the queue of a slow one.
func (g *Gate) storeIsSlow(ctx context.Context) bool {
	if !g.admission.storeIsSlow() && g.admission.sinceRead() > storeCheckInterval {
		ctx, cancel := context.WithTimeout(ctx, syncTimeout)
		defer cancel()
		if err := g.syncUnlessDown(ctx); err != nil {
			_ = level.Debug(g.options.Logger).Log("msg", "store cannot be measured before an append", "err", err)
		}
	}
	return g.admission.storeIsSlow()
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
