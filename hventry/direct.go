package hventry

import (
	"context"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvshed"
)

// directAppendTimeout limits an append of this gate and its relays.
const directAppendTimeout = 2200 * time.Millisecond

// waitingRecord is a record that waits for an append of this gate.
type waitingRecord struct {
	rec    hv.KeyedRecord
	result chan error
}

// directWriter stores the records that the owner does not. It sends one append after
// another: records that arrive meanwhile share the next one, so that the gates together
// never fill the queue of a slow store.
type directWriter struct {
	store    hv.KeyedStore
	topic    string
	clock    hv.Clock
	response func() time.Duration

	mu      sync.Mutex
	queue   hvshed.Queue[*waitingRecord]
	sending bool
}

// put stores a record. An error of kind Unavailable means that it was not stored.
func (w *directWriter) put(ctx context.Context, rec hv.KeyedRecord, o hvshed.Order) error {
	r := &waitingRecord{rec: rec, result: make(chan error, 1)}
	w.mu.Lock()
	if !w.queue.Add(r, len(rec.Value), o) {
		w.mu.Unlock()
		return failure("append", hv.Unavailable, "the queue of records to store is full")
	}
	if !w.sending {
		w.sending = true
		go w.run()
	}
	w.mu.Unlock()
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.queue.Remove(r) {
			return failure("append", hv.Unavailable, "the record was not sent in time: %v", ctx.Err())
		}
		return failure("append", hv.Uncertain, "no response from the store: %v", ctx.Err())
	}
}

// queued returns the number of records that wait and their size.
func (w *directWriter) queued() (records, bytes int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Len(), w.queue.Bytes()
}

// run sends appends until no record waits.
func (w *directWriter) run() {
	for {
		w.mu.Lock()
		batch, late := w.queue.Take(w.clock.Now(), w.response())
		w.sending = len(batch) > 0
		w.mu.Unlock()
		for _, r := range late {
			r.result <- failure("append", hv.Unavailable, "the store takes too long for the deadline")
		}
		if len(batch) == 0 {
			return
		}
		if err := w.send(batch); hv.KindOf(err) == hv.Uncertain {
			// The append may still be in the queue of the store, where the next one
			// would wait behind it.
			time.Sleep(w.response())
		}
	}
}

// send appends the records of a batch. If the store rejects them, it appends each one by
// itself, because the others may be acceptable.
func (w *directWriter) send(batch []*waitingRecord) error {
	recs := make([]hv.KeyedRecord, 0, len(batch))
	for _, r := range batch {
		recs = append(recs, r.rec)
	}
	err := w.append(recs)
	if len(batch) > 1 && responded(err) && err != nil {
		for _, r := range batch {
			r.result <- w.append([]hv.KeyedRecord{r.rec})
		}
		return nil
	}
	for _, r := range batch {
		r.result <- err
	}
	return err
}

func (w *directWriter) append(recs []hv.KeyedRecord) error {
	ctx, cancel := context.WithTimeout(context.Background(), directAppendTimeout)
	defer cancel()
	_, err := w.store.Append(ctx, w.topic, recs, hv.Fence{ExpectedEnd: -1})
	return err
}
