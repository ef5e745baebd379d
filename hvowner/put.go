package hvowner

import (
	"context"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// maxPuts limits the records of callers in one append, and maxPutBytes their
	// total size: the platform's store accepts 2 MB a call, which they share with
	// the progress of jobs.
	maxPuts     = 200
	maxPutBytes = 512 << 10
	// maxQueuedPuts limits the records that wait for the next append.
	maxQueuedPuts = 2000
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
	p := put{rec: rec, result: make(chan error, 1)}
	runCtx, err := o.enqueue(p)
	if err != nil {
		return err
	}
	hvtick.Wake(o.wakeFlush)
	select {
	case err := <-p.result:
		return err
	case <-ctx.Done():
		return failure("put", hv.Uncertain, "no response from the store: %v", ctx.Err())
	case <-runCtx.Done():
		return failure("put", hv.Uncertain, "the gate no longer owns the cell: %v", context.Cause(runCtx))
	}
}

func (o *Owner) enqueue(p put) (runCtx context.Context, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runCtx == nil || o.runCtx.Err() != nil {
		return nil, failure("put", hv.NotFound, "this gate does not own the cell")
	}
	if len(o.queuedPuts) >= maxQueuedPuts {
		return nil, failure("put", hv.Unavailable, "the queue of records to store is full: %d records wait", len(o.queuedPuts))
	}
	o.queuedPuts = append(o.queuedPuts, p)
	return o.runCtx, nil
}

// takePuts removes the records for the next append from the queue and returns
// them.
func (o *Owner) takePuts() []put {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, bytes := 0, 0
	for n < len(o.queuedPuts) && n < maxPuts && (n == 0 || bytes+len(o.queuedPuts[n].rec.Value) <= maxPutBytes) {
		bytes += len(o.queuedPuts[n].rec.Value)
		n++
	}
	taken := o.queuedPuts[:n:n]
	o.queuedPuts = o.queuedPuts[n:]
	if len(o.queuedPuts) > 0 {
		hvtick.Wake(o.wakeFlush)
	}
	return taken
}

// rejectPuts fails the queued records while the store does not respond. They would
// wait behind an append that is retried until it does.
func (o *Owner) rejectPuts() {
	if o.options.StoreFailed == nil || !o.options.StoreFailed() {
		return
	}
	o.mu.Lock()
	puts := o.queuedPuts
	o.queuedPuts = nil
	o.mu.Unlock()
	completePuts(puts, failure("put", hv.Unavailable, "the store has failed and does not respond yet"))
}

func putRecords(puts []put) []hv.KeyedRecord {
	recs := make([]hv.KeyedRecord, 0, len(puts))
	for _, p := range puts {
		recs = append(recs, p.rec)
	}
	return recs
}

// completePuts passes the result of an append to the callers of the records.
func completePuts(puts []put, err error) {
	for _, p := range puts {
		p.result <- err
	}
}
