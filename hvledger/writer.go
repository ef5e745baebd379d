package hvledger

import (
	"context"
	"slices"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

// producer names the owner's appends; the store refuses those of older epochs.
const producer = "owner"

// writeRetry separates repeats of an append that got no answer.
const writeRetry = 50 * time.Millisecond

// Writer appends the records of one owner. Append must not be called
// concurrently.
type Writer struct {
	store    hv.KeyedStore
	topic    string
	claim    Claim
	sequence int64
	// pending holds the records of an append that got no answer. They may be
	// stored under the next sequence, so they must be sent again before others:
	// the store would take others for a repeat and drop them.
	pending []hv.KeyedRecord

	// ended is true if the owner before was known to have ended at the claim.
	ended bool

	mu sync.Mutex
	// stored is when the last answered append was sent.
	stored time.Time
}

// Append stores records in order. It repeats an append without an answer
// until ctx ends. An error of kind Conflict means that the cell has another
// owner.
func (w *Writer) Append(ctx context.Context, recs []hv.KeyedRecord) error {
	_, err := w.AppendWithOptional(ctx, recs, nil)
	return err
}

// AppendWithOptional is Append with further records that others wait for. It leaves them
// out, and returns why, if the store turns the first try away: those who wait
// can then be told at once that their records are not stored.
func (w *Writer) AppendWithOptional(ctx context.Context, recs, more []hv.KeyedRecord) (left, err error) {
	if w.pending != nil {
		if _, err := w.send(ctx, w.pending, nil); err != nil {
			return nil, err
		}
	}
	return w.send(ctx, recs, more)
}

func (w *Writer) send(ctx context.Context, recs, more []hv.KeyedRecord) (left, err error) {
	all := slices.Concat(recs, more)
	doubt := false
	for len(all) > 0 {
		w.pending = all
		err := w.try(ctx, all)
		if err == nil {
			return left, nil
		}
		if !isOutage(err) || ctx.Err() != nil {
			return left, err
		}
		doubt = doubt || hv.KindOf(err) == hv.Uncertain
		if !doubt && left == nil && len(more) > 0 {
			left, all, w.pending = err, recs, nil
			continue
		}
		hvtick.Sleep(ctx, writeRetry)
	}
	return left, nil
}

func (w *Writer) try(ctx context.Context, recs []hv.KeyedRecord) error {
	at := now()
	_, err := w.store.Append(ctx, w.topic, recs, hv.Fence{Producer: producer, Epoch: w.claim.Epoch, Sequence: w.sequence + 1, At: -1})
	if err != nil {
		return err
	}
	w.sequence++
	w.pending = nil
	w.mu.Lock()
	w.stored = at
	w.mu.Unlock()
	return nil
}

// Heartbeat appends a record that shows that the owner lives.
func (w *Writer) Heartbeat(ctx context.Context) error {
	rec, err := claimRecord(w.claim)
	if err != nil {
		return err
	}
	return w.Append(ctx, []hv.KeyedRecord{rec})
}

// Release gives up the cell.
func (w *Writer) Release(ctx context.Context) error {
	c := w.claim
	c.Released = true
	rec, err := claimRecord(c)
	if err != nil {
		return err
	}
	return w.Append(ctx, []hv.KeyedRecord{rec})
}

// Claim returns the claim that the writer appends under.
func (w *Writer) Claim() Claim { return w.claim }

// PreviousOwnerEnded reports whether the owner before was known to have ended when the
// cell was claimed, so that it has granted no lease since.
func (w *Writer) PreviousOwnerEnded() bool { return w.ended }

// SinceLastAppend is the time since the last answered append was sent. It counts the time
// in which the machine was suspended.
func (w *Writer) SinceLastAppend() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now().Sub(w.stored)
}
