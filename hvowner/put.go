package hvowner

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvshed"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

// put is a record of a caller that waits for the result of storing it.
type put struct {
	rec    hv.KeyedRecord
	result chan error
}

// Put stores a record with the next append of the owner. The store handles one
// append after another, so when it is slow, the records of many callers must
// share an append. An error of kind Unavailable or NotFound means that the record
// was not stored; NotFound also means that this gate does not own the cell.
func (o *Owner) Put(ctx context.Context, rec hv.KeyedRecord) error {
	return o.PutInOrder(ctx, rec, hvshed.Order{})
}

// PutInOrder is like Put, with the place of the record among those that wait. A record
// that has not been sent when ctx ends is removed, so that the outcome is certain.
func (o *Owner) PutInOrder(ctx context.Context, rec hv.KeyedRecord, order hvshed.Order) error {
	p := &put{rec: rec, result: make(chan error, 1)}
	runCtx, err := o.enqueue(p, order)
	if err != nil {
		return err
	}
	hvtick.Wake(o.wakeFlush)
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		if o.withdraw(p) {
			return failure("put", hv.Unavailable, "the record was not sent in time: %v", ctx.Err())
		}
		return failure("put", hv.Uncertain, "no response from the store: %v", ctx.Err())
	case <-runCtx.Done():
		if o.withdraw(p) {
			return failure("put", hv.NotFound, "the gate no longer owns the cell: %v", context.Cause(runCtx))
		}
		return failure("put", hv.Uncertain, "the gate no longer owns the cell: %v", context.Cause(runCtx))
	}
}

func (o *Owner) enqueue(p *put, order hvshed.Order) (runCtx context.Context, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runCtx == nil || o.runCtx.Err() != nil {
		return nil, failure("put", hv.NotFound, "this gate does not own the cell")
	}
	if !o.queuedPuts.Add(p, len(p.rec.Value), order) {
		return nil, failure("put", hv.Unavailable, "the queue of records to store is full: %d records wait", o.queuedPuts.Len())
	}
	return o.runCtx, nil
}

// withdraw removes a record from the queue and reports whether it was there. One that
// is not has been taken for an append, so it may be stored.
func (o *Owner) withdraw(p *put) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedPuts.Remove(p)
}

// Queued returns the number of records that wait for the next append and their size.
func (o *Owner) Queued() (records, bytes int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedPuts.Len(), o.queuedPuts.Bytes()
}

// takePuts removes the records for the next append from the queue and returns
// them. It fails those that cannot be stored in time.
func (o *Owner) takePuts() []*put {
	response := time.Duration(0)
	if o.options.StoreResponse != nil {
		response = o.options.StoreResponse()
	}
	o.mu.Lock()
	taken, late := o.queuedPuts.Take(o.options.Clock.Now(), response)
	if o.queuedPuts.Len() > 0 {
		hvtick.Wake(o.wakeFlush)
	}
	o.mu.Unlock()
	completePuts(late, failure("put", hv.Unavailable, "the store takes %v for an append, which is too long for the deadline", response))
	return taken
}

// rejectPuts fails the queued records while the store does not respond. They would
// wait behind an append that is retried until it does.
func (o *Owner) rejectPuts() {
	if o.options.StoreFailed == nil || !o.options.StoreFailed() {
		return
	}
	o.mu.Lock()
	puts := o.queuedPuts.Drain()
	o.mu.Unlock()
	completePuts(puts, failure("put", hv.Unavailable, "the store has failed and does not respond yet"))
}

func putRecords(puts []*put) []hv.KeyedRecord {
	recs := make([]hv.KeyedRecord, 0, len(puts))
	for _, p := range puts {
		recs = append(recs, p.rec)
	}
	return recs
}

// completePuts passes the result of an append to the callers of the records.
func completePuts(puts []*put, err error) {
	for _, p := range puts {
		p.result <- err
	}
}
