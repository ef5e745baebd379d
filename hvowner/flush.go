package hvowner

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvcell"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// minFlushInterval is the minimum time between two appends.
	minFlushInterval = 25 * time.Millisecond
	// learnedStoreInterval is the time between appends of the learned state, with
	// which the next owner continues.
	learnedStoreInterval = 2 * time.Second
)

// flushLoop stores progress, and sends heartbeats while there is none.
func (o *Owner) flushLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, o.wakeFlush, hvledger.HeartbeatInterval)
		if err := o.flush(ctx); err != nil {
			if ctx.Err() == nil {
				o.stepDown(err)
			}
			return
		}
		hvtick.Sleep(ctx, minFlushInterval)
	}
}

// flush appends pending progress and tells the cell that it is stored.
func (o *Owner) flush(ctx context.Context) error {
	now := o.options.Clock.Now()
	o.mu.Lock()
	batch, ok := o.cell.Batch(now)
	for _, name := range batch.DroppedNodes {
		o.disconnect(name)
	}
	o.mu.Unlock()
	recs, err := batchRecords(batch)
	if err != nil {
		return err
	}
	if now.Sub(o.learnedStoredAt) > learnedStoreInterval {
		o.learnedStoredAt = now
		recs, err = o.addLearned(recs)
		if err != nil {
			return err
		}
	}
	if err := o.appendRecords(ctx, recs); err != nil || !ok {
		return err
	}
	o.mu.Lock()
	o.cell.MarkStored(batch)
	o.wakeLinks()
	o.mu.Unlock()
	return nil
}

// appendRecords appends records together with the queued records of callers. It
// appends a heartbeat if there are none and one is due.
func (o *Owner) appendRecords(ctx context.Context, recs []hv.KeyedRecord) error {
	puts := o.takePuts()
	if len(recs) == 0 && len(puts) == 0 {
		if o.options.Writer.SinceLastAppend() >= hvledger.HeartbeatInterval {
			return o.options.Writer.Heartbeat(ctx)
		}
		return nil
	}
	omitted, err := o.options.Writer.AppendWithOptional(ctx, recs, putRecords(puts))
	if err != nil {
		completePuts(puts, failure("put", hv.Uncertain, "%v", err))
		return err
	}
	completePuts(puts, omitted)
	return nil
}

// addLearned adds the record of the learned state, with which the next owner
// continues.
func (o *Owner) addLearned(recs []hv.KeyedRecord) ([]hv.KeyedRecord, error) {
	o.mu.Lock()
	l := o.cell.LearnedState()
	o.mu.Unlock()
	rec, err := hvledger.LearnedRecord(l)
	if err != nil {
		return nil, err
	}
	return append(recs, rec), nil
}

// batchRecords returns the records that store a batch.
func batchRecords(b hvcell.Batch) ([]hv.KeyedRecord, error) {
	var recs []hv.KeyedRecord
	for _, p := range b.Progress {
		rec, err := hvledger.ProgressRecord(p.Job, p.Progress)
		if err != nil {
			return nil, err
		}
		recs = append(recs, rec)
	}
	for _, name := range b.DroppedNodes {
		recs = append(recs, hvledger.NodeTombstone(name))
	}
	for _, id := range b.ExpiredJobs {
		recs = append(recs, hvledger.JobTombstones(id)...)
	}
	return recs, nil
}
