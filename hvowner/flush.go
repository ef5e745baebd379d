package hvowner

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

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
	recs, err := o.batchRecords(batch)
	if err != nil {
		return err
	}
	if now.Sub(o.learnedStoredAt) > learnedStoreInterval {
		o.learnedStoredAt = now
		recs = o.addLearned(recs)
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

// appendRecords appends records together with the queued records of callers, in as many
// appends as their size takes. It appends a heartbeat if there are none and one is due.
func (o *Owner) appendRecords(ctx context.Context, recs []hv.KeyedRecord) error {
	parts := o.options.StoreLimits.Split(recs)
	if len(parts) == 0 {
		parts = append(parts, nil)
	}
	for _, part := range parts {
		puts := o.takePuts()
		if len(part) == 0 && len(puts) == 0 {
			return o.appendHeartbeat(ctx)
		}
		if err := o.appendWithPuts(ctx, part, puts); err != nil {
			return err
		}
	}
	return nil
}

// appendHeartbeat appends a heartbeat if one is due.
func (o *Owner) appendHeartbeat(ctx context.Context) error {
	if o.options.Writer.SinceLastAppend() < hvledger.HeartbeatInterval {
		return nil
	}
	return o.options.Writer.Heartbeat(ctx)
}

// appendWithPuts appends records together with those of callers. If they are too large or
// the store does not take them, it appends them in parts.
func (o *Owner) appendWithPuts(ctx context.Context, recs []hv.KeyedRecord, puts []*put) error {
	if single := len(recs) == 0 && len(puts) == 1; single || o.options.StoreLimits.FitsAppend(recs, putRecords(puts)) {
		omitted, err := o.options.Writer.AppendWithOptional(ctx, recs, putRecords(puts))
		if hv.KindOf(err) != hv.TooLarge || single {
			return completeOrFail(puts, omitted, err)
		}
	}
	err := o.append(ctx, recs)
	half := len(puts) / 2
	for _, part := range [][]*put{puts[:half], puts[half:]} {
		switch {
		case err != nil:
			completePuts(part, failure("put", hv.Uncertain, "%v", err))
		case len(part) > 0:
			err = o.appendWithPuts(ctx, nil, part)
		}
	}
	return err
}

// completeOrFail passes the result of an append to callers. That the store does not take the
// record of a caller is no error of the owner.
func completeOrFail(puts []*put, omitted, err error) error {
	switch {
	case err == nil:
		completePuts(puts, omitted)
	case hv.KindOf(err) == hv.TooLarge:
		completePuts(puts, err)
		return nil
	default:
		completePuts(puts, failure("put", hv.Uncertain, "%v", err))
	}
	return err
}

// append stores records of the owner. If the store does not take them, it appends each by
// itself, so that one that can never be stored costs only its job.
func (o *Owner) append(ctx context.Context, recs []hv.KeyedRecord) error {
	if len(recs) == 0 {
		return nil
	}
	err := o.options.Writer.Append(ctx, recs)
	if hv.KindOf(err) != hv.TooLarge {
		return err
	}
	if len(recs) > 1 {
		for i := range recs {
			if err := o.append(ctx, recs[i:i+1]); err != nil {
				return err
			}
		}
		return nil
	}
	if hvledger.IsLearned(recs[0]) {
		o.logLearnedOmitted(err)
		return nil
	}
	id, ok := hvledger.ProgressJob(recs[0])
	if !ok {
		return err
	}
	rec, failErr := o.failJob(id, err)
	if failErr != nil {
		return failErr
	}
	return o.options.Writer.Append(ctx, []hv.KeyedRecord{rec})
}

// failJob fails a job whose progress cannot be stored, and returns the record that says so.
func (o *Owner) failJob(id string, cause error) (hv.KeyedRecord, error) {
	_ = level.Error(o.options.Logger).Log("msg", "job fails because its progress cannot be stored", "job", id, "err", cause)
	o.mu.Lock()
	p := o.cell.FailJob(o.options.Clock.Now(), id)
	o.wakeLinks()
	o.mu.Unlock()
	return o.options.StoreLimits.ProgressRecord(id, p)
}

// addLearned adds the record of the learned state, with which the next owner continues. It
// is left out if it cannot be stored: the next owner learns anew then.
func (o *Owner) addLearned(recs []hv.KeyedRecord) []hv.KeyedRecord {
	o.mu.Lock()
	l := o.cell.LearnedState()
	o.mu.Unlock()
	rec, err := o.options.StoreLimits.LearnedRecord(l, l.WithoutEffects())
	if err != nil {
		o.logLearnedOmitted(err)
		return recs
	}
	return append(recs, rec)
}

func (o *Owner) logLearnedOmitted(err error) {
	_ = level.Warn(o.options.Logger).Log("msg", "learned state cannot be stored; the next owner starts without it", "err", err)
}

// batchRecords returns the records that store a batch.
func (o *Owner) batchRecords(b hvcell.Batch) ([]hv.KeyedRecord, error) {
	var recs []hv.KeyedRecord
	for _, p := range b.Progress {
		rec, err := o.options.StoreLimits.ProgressRecord(p.Job, p.Progress)
		if hv.KindOf(err) == hv.Invalid {
			rec, err = o.failJob(p.Job, err)
		}
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
