package hvledger

import (
	"context"
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
	if w.pending != nil {
		if err := w.send(ctx, w.pending); err != nil {
			return err
		}
	}
	return w.send(ctx, recs)
}

func (w *Writer) send(ctx context.Context, recs []hv.KeyedRecord) error {
	w.pending = recs
	for {
		at := now()
		_, err := w.store.Append(ctx, w.topic, recs, hv.Fence{Producer: producer, Epoch: w.claim.Epoch, Sequence: w.sequence + 1, At: -1})
		if err == nil {
			w.sequence++
			w.pending = nil
			w.mu.Lock()
			w.stored = at
			w.mu.Unlock()
			return nil
		}
		if !isOutage(err) || ctx.Err() != nil {
			return err
		}
		hvtick.Sleep(ctx, writeRetry)
	}
}

// Beat appends a record that shows that the owner lives.
func (w *Writer) Beat(ctx context.Context) error {
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

// OwnerEnded reports whether the owner before was known to have ended when the
// cell was claimed, so that it has granted no lease since.
func (w *Writer) OwnerEnded() bool { return w.ended }

// Age is the time since the last answered append was sent. It counts the time
// in which the machine was suspended.
func (w *Writer) Age() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return now().Sub(w.stored)
}
