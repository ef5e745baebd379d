package hvledger

import (
	"context"
	"slices"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

// ownerProducer is the producer name of all owners' appends; the store refuses
// those of older epochs.
const ownerProducer = "owner"

// appendRetryInterval is the time between retries of an append without a response.
const appendRetryInterval = 50 * time.Millisecond

// Writer appends the records of one owner. Its methods that append must not be
// called concurrently.
type Writer struct {
	store    hv.KeyedStore
	topic    string
	claim    Claim
	sequence int64
	// pending holds the records of an append that got no response. They may be
	// stored under the next sequence number, so they must be sent again before
	// others: the store would treat others as a retry and drop them.
	pending []hv.KeyedRecord
	// pendingSince is the send time of the first attempt that may have stored pending, or
	// zero.
	pendingSince time.Time

	// previous is the claim of the previous owner.
	previous Claim
	// previousAuthority is how long after the claim an earlier owner may still grant leases.
	previousAuthority time.Duration
	// previousAuthorityEnd is when it has passed by the clock.
	previousAuthorityEnd time.Time
	// earlierAuthority is the part of it that owners before the previous one have.
	earlierAuthority time.Duration
	clock            hv.Clock
	// authorityCleared is true once an append stores a claim without EarlierAuthority.
	authorityCleared bool

	mu sync.Mutex
	// lastAppend is the send time of the last successful append, or of its first attempt
	// without a response.
	lastAppend time.Time
}

// Append stores records in order. It retries an append without a response until
// ctx ends. An error of kind Conflict means that another gate owns the cell, and one of
// kind TooLarge that the store has taken none of the records because of their size.
func (w *Writer) Append(ctx context.Context, recs []hv.KeyedRecord) error {
	_, err := w.AppendWithOptional(ctx, recs, nil)
	return err
}

// AppendWithOptional is like Append, with additional records that callers wait
// for. If the store refuses the first attempt, it omits these and returns the
// reason, so that the callers are informed at once that their records are not
// stored.
func (w *Writer) AppendWithOptional(ctx context.Context, recs, optional []hv.KeyedRecord) (omitted, err error) {
	if w.pending != nil {
		if _, err := w.send(ctx, w.pending, nil); err != nil {
			return nil, err
		}
	}
	if len(recs)+len(optional) > 0 && (!slices.ContainsFunc(recs, showsOwner) || w.clearsAuthority()) {
		heartbeat, err := claimRecord(w.currentClaim())
		if err != nil {
			return nil, err
		}
		if len(recs) == 0 {
			optional = append([]hv.KeyedRecord{heartbeat}, optional...)
		} else {
			w.authorityCleared = w.clearsAuthority()
			recs = append([]hv.KeyedRecord{heartbeat}, recs...)
		}
	}
	return w.send(ctx, recs, optional)
}

func (w *Writer) send(ctx context.Context, recs, optional []hv.KeyedRecord) (omitted, err error) {
	all := slices.Concat(recs, optional)
	uncertain := false
	for len(all) > 0 {
		w.pending = all
		err := w.tryAppend(ctx, all)
		if err == nil {
			return omitted, nil
		}
		if hv.KindOf(err) == hv.TooLarge {
			// The store has nothing of the append and never will. Others may follow.
			w.pending, w.pendingSince, w.authorityCleared = nil, time.Time{}, false
		}
		if !isOutage(err) || ctx.Err() != nil {
			return omitted, err
		}
		uncertain = uncertain || hv.KindOf(err) == hv.Uncertain
		if !uncertain && omitted == nil && len(optional) > 0 {
			omitted, all, w.pending = err, recs, nil
			continue
		}
		hvtick.Sleep(ctx, appendRetryInterval)
	}
	return omitted, nil
}

func (w *Writer) tryAppend(ctx context.Context, recs []hv.KeyedRecord) error {
	sentAt := bootNow()
	_, err := w.store.Append(ctx, w.topic, recs, hv.Fence{Producer: ownerProducer, Epoch: w.claim.Epoch, Sequence: w.sequence + 1, ExpectedEnd: -1})
	if hv.KindOf(err) == hv.Uncertain && w.pendingSince.IsZero() {
		w.pendingSince = sentAt
	}
	if err != nil {
		return err
	}
	if !w.pendingSince.IsZero() {
		// The store may have repeated an earlier response: other gates then count the
		// silence of this owner from the earlier attempt.
		sentAt, w.pendingSince = w.pendingSince, time.Time{}
	}
	w.sequence++
	w.pending = nil
	w.mu.Lock()
	w.lastAppend = sentAt
	w.mu.Unlock()
	return nil
}

// Heartbeat appends the claim again to show that the owner is alive.
func (w *Writer) Heartbeat(ctx context.Context) error {
	rec, err := claimRecord(w.currentClaim())
	if err != nil {
		return err
	}
	return w.Append(ctx, []hv.KeyedRecord{rec})
}

// Release appends a claim that is marked as released.
func (w *Writer) Release(ctx context.Context) error {
	c := w.currentClaim()
	c.Released = true
	rec, err := claimRecord(c)
	if err != nil {
		return err
	}
	return w.Append(ctx, []hv.KeyedRecord{rec})
}

// currentClaim returns the claim without an authority of earlier owners that has passed: a
// gate that starts later cannot tell when it began.
func (w *Writer) currentClaim() Claim {
	c := w.claim
	if w.clock.Now().After(w.previousAuthorityEnd) {
		c.EarlierAuthority = 0
	}
	return c
}

// clearsAuthority reports whether the topic is still to be told that the authority of
// earlier owners has passed.
func (w *Writer) clearsAuthority() bool {
	return !w.authorityCleared && w.currentClaim() != w.claim
}

// Claim returns the claim whose epoch the writer appends under.
func (w *Writer) Claim() Claim { return w.claim }

// PreviousAuthority returns how long after the claim an earlier owner may still grant
// leases. It is 0 if that is known to have ended.
func (w *Writer) PreviousAuthority() time.Duration { return w.previousAuthority }

// EarlierAuthority returns how long after the claim owners before the previous one may
// still grant leases.
func (w *Writer) EarlierAuthority() time.Duration { return w.earlierAuthority }

// Previous returns the claim of the previous owner.
func (w *Writer) Previous() Claim { return w.previous }

// SinceLastAppend returns the time since the last successful append was sent. It
// includes time in which the machine was suspended.
func (w *Writer) SinceLastAppend() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bootNow().Sub(w.lastAppend)
}
