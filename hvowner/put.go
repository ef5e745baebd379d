package hvowner

import (
	"context"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// maxPuts bounds the records of callers in one append, and maxPutBytes their
	// size: the platform's store takes 2 MB a call, and the progress of jobs
	// shares it.
	maxPuts     = 200
	maxPutBytes = 512 << 10
	// maxWaiting bounds the records that wait for the next append.
	maxWaiting = 2000
)

// put is a record that a caller waits for.
type put struct {
	rec  hv.KeyedRecord
	done chan error
}

// Put stores a record with the next append of the owner. The store carries out
// one append after another, so when it is slow the records of many callers go
// through only together. An error of kind Unavailable or NotFound means that the
// record was not stored; the second one that this gate does not own the cell.
func (o *Owner) Put(ctx context.Context, rec hv.KeyedRecord) error {
	p := put{rec: rec, done: make(chan error, 1)}
	run, err := o.enqueue(p)
	if err != nil {
		return err
	}
	hvtick.Wake(o.wakeFlush)
	select {
	case err := <-p.done:
		return err
	case <-ctx.Done():
		return failure("put", hv.Uncertain, "no answer of the store: %v", ctx.Err())
	case <-run.Done():
		return failure("put", hv.Uncertain, "the cell is given up: %v", context.Cause(run))
	}
}

func (o *Owner) enqueue(p put) (run context.Context, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.run == nil || o.run.Err() != nil {
		return nil, failure("put", hv.NotFound, "the cell is not owned")
	}
	if len(o.puts) >= maxWaiting {
		return nil, failure("put", hv.Unavailable, "%d records wait", len(o.puts))
	}
	o.puts = append(o.puts, p)
	return o.run, nil
}

// takePuts returns the records that go with the next append.
func (o *Owner) takePuts() []put {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, bytes := 0, 0
	for n < len(o.puts) && n < maxPuts && (n == 0 || bytes+len(o.puts[n].rec.Value) <= maxPutBytes) {
		bytes += len(o.puts[n].rec.Value)
		n++
	}
	taken := o.puts[:n:n]
	o.puts = o.puts[n:]
	if len(o.puts) > 0 {
		hvtick.Wake(o.wakeFlush)
	}
	return taken
}

// refusePuts answers the records that were not sent yet while the store gives no
// answer. They would wait behind an append that is repeated until it does.
func (o *Owner) refusePuts() {
	if o.options.StoreFailed == nil || !o.options.StoreFailed() {
		return
	}
	o.mu.Lock()
	puts := o.puts
	o.puts = nil
	o.mu.Unlock()
	answer(puts, failure("put", hv.Unavailable, "the store has failed and is not back"))
}

func recordsOf(puts []put) []hv.KeyedRecord {
	recs := make([]hv.KeyedRecord, 0, len(puts))
	for _, p := range puts {
		recs = append(recs, p.rec)
	}
	return recs
}

// answer tells the callers what became of their records.
func answer(puts []put, err error) {
	for _, p := range puts {
		p.done <- err
	}
}
