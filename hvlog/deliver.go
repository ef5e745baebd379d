package hvlog

import (
	"context"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// delivery is the append that a Writer has in flight.
type delivery struct {
	batch []*pending
	rec   hv.Record
	// builtOps is the number of operations in rec; 0 before the first attempt.
	builtOps int
	sequence int64
	// uncertain is set once an attempt may have taken effect. From then on the
	// record must not change.
	uncertain bool
	startTime time.Time
}

// deliver retries one append until its record is read back, the delivery is
// given up or ctx is done.
func (w *Writer) deliver(ctx context.Context, batch []*pending) {
	d := &delivery{batch: batch, startTime: w.cfg.Clock.Now()}
	// Let the next delivery attempt an append even if this one failed.
	defer w.failing.Store(false)
	for failures := 0; ctx.Err() == nil; failures++ {
		if !d.uncertain && !w.waitLoaded(ctx) {
			break
		}
		if !w.buildRecord(d) {
			return
		}
		if w.tryAppend(ctx, d, failures) {
			return
		}
	}
	writerStopped(d.batch)
}

// tryAppend makes one append and waits until the record is read back or the
// append may be retried. It reports whether the delivery has ended.
func (w *Writer) tryAppend(ctx context.Context, d *delivery, failures int) bool {
	w.lastAppend = w.cfg.Clock.Now()
	err := w.appendOnce(ctx, d)
	wasFailing := w.failing.Swap(err != nil)
	if err == nil {
		d.uncertain = true
		return w.readBack(ctx, d)
	}
	if !wasFailing {
		_ = w.cfg.Logger.Log("stream", w.cfg.Stream, "id", d.rec.ID, "msg", "append to the log service failed", "err", err)
	}
	switch kind := hv.KindOf(err); {
	case kind == hv.Invalid && !d.uncertain:
		finishAll(d.batch, err)
		return true
	case kind != hv.Unavailable:
		d.uncertain = true
	}
	w.refuseFailFast(d, err)
	waitCtx, cancel := context.WithTimeout(ctx, backoff(failures, w.cfg.Jitter))
	defer cancel()
	if w.readBack(waitCtx, d) {
		return true
	}
	return w.giveUp(d)
}

// appendOnce makes one append call. It returns early when the record has been
// read back, because the response of the log service may be lost or late.
func (w *Writer) appendOnce(ctx context.Context, d *delivery) error {
	callCtx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	go func() {
		if w.waitFor(callCtx, d.applied(w)) {
			cancel()
		}
	}()
	_, err := w.cfg.Log.Append(callCtx, w.cfg.Stream, d.rec)
	return err
}

// applied returns a function that reports whether the follower has applied the
// record of the delivery.
func (d *delivery) applied(w *Writer) func() bool {
	sequence := d.sequence
	return func() bool {
		_, ok := w.cfg.Follower.findRecord(w.cfg.Name, sequence)
		return ok
	}
}

// buildRecord builds the record of a delivery. As long as no attempt can have
// taken effect, abandoned operations are removed from it; a record whose content
// changes gets a new identifier. It reports false when nothing is left to append.
func (w *Writer) buildRecord(d *delivery) bool {
	if d.uncertain {
		return true
	}
	next := w.sequence + 1
	if d.builtOps > 0 {
		next = d.sequence
	}
	d.batch = markSent(d.batch, FormatID(w.cfg.Name, next))
	if len(d.batch) == 0 {
		return false
	}
	if len(d.batch) == d.builtOps {
		return true
	}
	if d.builtOps > 0 {
		next = w.sequence + 1
		d.batch = markSent(d.batch, FormatID(w.cfg.Name, next))
	}
	op, err := w.mergeOps(d.batch)
	if err != nil || len(d.batch) == 0 {
		finishAll(d.batch, &Error{Op: "append", Kind: hv.Invalid, Err: err})
		return false
	}
	w.sequence, d.sequence, d.builtOps = next, next, len(d.batch)
	d.rec = hv.Record{ID: FormatID(w.cfg.Name, next), Kind: op.Kind, Body: op.Body}
	return true
}

// markSent marks operations as sent and returns those that are not abandoned.
func markSent(batch []*pending, id string) []*pending {
	var waiting []*pending
	for _, p := range batch {
		if p.markSent(id, len(waiting)) {
			waiting = append(waiting, p)
		}
	}
	return waiting
}

func (w *Writer) mergeOps(batch []*pending) (Op, error) {
	if w.cfg.Merge == nil || batch[0].op.NoMerge {
		return batch[0].op, nil
	}
	ops := make([]Op, len(batch))
	for i, p := range batch {
		ops[i] = p.op
	}
	return w.cfg.Merge(ops)
}

// refuseFailFast finishes the operations that do not wait for the end of an
// outage of the log service, unless the record may have taken effect.
func (w *Writer) refuseFailFast(d *delivery, err error) {
	if d.uncertain {
		return
	}
	d.batch = slices.DeleteFunc(d.batch, func(p *pending) bool {
		p.clearSent()
		if p.op.FailFast {
			p.finish(0, err)
		}
		return p.op.FailFast
	})
}

// readBack waits until the follower has applied the record and then finishes its
// operations. It reports false if ctx ended first.
func (w *Writer) readBack(ctx context.Context, d *delivery) bool {
	if !d.uncertain {
		<-ctx.Done()
		return false
	}
	if !w.waitFor(ctx, d.applied(w)) {
		return false
	}
	offset, _ := w.cfg.Follower.findRecord(w.cfg.Name, d.sequence)
	for _, p := range d.batch {
		p.finish(offset, nil)
	}
	return true
}

// giveUp ends an uncertain delivery after half of DuplicateAge. If it were
// retried later, readers might no longer recognize the record as a duplicate.
func (w *Writer) giveUp(d *delivery) bool {
	if !d.uncertain || w.cfg.Clock.Now().Sub(d.startTime) < DuplicateAge/2 {
		return false
	}
	finishAll(d.batch, errorf("append", hv.Uncertain, "record %s was sent but not read back within half of the duplicate age", d.rec.ID))
	return true
}

// waitLoaded waits until the follower has loaded the state of the stream.
func (w *Writer) waitLoaded(ctx context.Context) bool {
	return w.waitFor(ctx, func() bool { return w.cfg.Follower.Status().Loaded })
}

// waitFor waits until condition returns true, and evaluates it after each change of
// the follower's status. It reports false if ctx ended first.
func (w *Writer) waitFor(ctx context.Context, condition func() bool) bool {
	for {
		changed := w.cfg.Follower.Changed()
		if condition() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func finishAll(batch []*pending, err error) {
	for _, p := range batch {
		p.finish(0, err)
	}
}
