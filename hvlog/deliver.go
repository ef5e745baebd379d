package hvlog

import (
	"context"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// delivery is the append in flight of a Writer.
type delivery struct {
	batch []*pending
	rec   hv.Record
	// built is the number of operations in rec; 0 before the first try.
	built    int
	sequence int64
	// uncertain is set when a try may have taken effect. The record must then
	// stay as it is.
	uncertain bool
	start     time.Time
}

// deliver repeats one append until it is read back, is given up or ctx ends.
func (w *Writer) deliver(ctx context.Context, batch []*pending) {
	d := &delivery{batch: batch, start: w.cfg.Clock.Now()}
	// The next delivery tries again, even if this one ended without success.
	defer w.down.Store(false)
	for tries := 0; ctx.Err() == nil; tries++ {
		if !d.uncertain && !w.waitLive(ctx) {
			break
		}
		if !w.build(d) {
			return
		}
		if w.try(ctx, d, tries) {
			return
		}
	}
	stopAll(d.batch)
}

// try makes one append and waits until it is read back or may be repeated. It
// reports whether the delivery has ended.
func (w *Writer) try(ctx context.Context, d *delivery, tries int) bool {
	w.last = w.cfg.Clock.Now()
	err := w.append(ctx, d)
	wasDown := w.down.Swap(err != nil)
	if err == nil {
		d.uncertain = true
		return w.readBack(ctx, d)
	}
	if !wasDown {
		_ = w.cfg.Logger.Log("stream", w.cfg.Stream, "id", d.rec.ID, "msg", "append failed", "err", err)
	}
	switch kind := hv.KindOf(err); {
	case kind == hv.Invalid && !d.uncertain:
		endAll(d.batch, err)
		return true
	case kind != hv.Unavailable:
		d.uncertain = true
	}
	w.refusePrompt(d, err)
	wait, stop := context.WithTimeout(ctx, backoff(tries, w.cfg.Jitter))
	defer stop()
	if w.readBack(wait, d) {
		return true
	}
	return w.giveUp(d)
}

// append makes one call. It ends early when the record has been read back, as
// the answer of the log may be lost or late.
func (w *Writer) append(ctx context.Context, d *delivery) error {
	call, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	go func() {
		if w.waitFor(call, d.applied(w)) {
			cancel()
		}
	}()
	_, err := w.cfg.Log.Append(call, w.cfg.Stream, d.rec)
	return err
}

// applied returns a test for the record of the delivery.
func (d *delivery) applied(w *Writer) func() bool {
	sequence := d.sequence
	return func() bool {
		_, ok := w.cfg.Follower.find(w.cfg.Name, sequence)
		return ok
	}
}

// build makes the record of a delivery. Operations whose callers have left are
// taken out while no try can have taken effect; a record with other content
// gets another identifier. It reports false when nothing is left to append.
func (w *Writer) build(d *delivery) bool {
	if d.uncertain {
		return true
	}
	next := w.sequence + 1
	if d.built > 0 {
		next = d.sequence
	}
	d.batch = begun(d.batch, FormatID(w.cfg.Name, next))
	if len(d.batch) == 0 {
		return false
	}
	if len(d.batch) == d.built {
		return true
	}
	if d.built > 0 {
		next = w.sequence + 1
		d.batch = begun(d.batch, FormatID(w.cfg.Name, next))
	}
	op, err := w.merge(d.batch)
	if err != nil || len(d.batch) == 0 {
		endAll(d.batch, &Error{Op: "append", Kind: hv.Invalid, Err: err})
		return false
	}
	w.sequence, d.sequence, d.built = next, next, len(d.batch)
	d.rec = hv.Record{ID: FormatID(w.cfg.Name, next), Kind: op.Kind, Body: op.Body}
	return true
}

// begun marks the operations as sent and returns those whose callers wait.
func begun(batch []*pending, id string) []*pending {
	var kept []*pending
	for _, p := range batch {
		if p.begin(id, len(kept)) {
			kept = append(kept, p)
		}
	}
	return kept
}

func (w *Writer) merge(batch []*pending) (Op, error) {
	if w.cfg.Merge == nil || batch[0].op.NoMerge {
		return batch[0].op, nil
	}
	ops := make([]Op, len(batch))
	for i, p := range batch {
		ops[i] = p.op
	}
	return w.cfg.Merge(ops)
}

// refusePrompt ends the operations that do not wait for the log to return.
func (w *Writer) refusePrompt(d *delivery, err error) {
	if d.uncertain {
		return
	}
	d.batch = slices.DeleteFunc(d.batch, func(p *pending) bool {
		p.unsend()
		if p.op.FailFast {
			p.end(0, err)
		}
		return p.op.FailFast
	})
}

// readBack waits until the follower has applied the record.
func (w *Writer) readBack(ctx context.Context, d *delivery) bool {
	if !d.uncertain {
		<-ctx.Done()
		return false
	}
	if !w.waitFor(ctx, d.applied(w)) {
		return false
	}
	offset, _ := w.cfg.Follower.find(w.cfg.Name, d.sequence)
	for _, p := range d.batch {
		p.end(offset, nil)
	}
	return true
}

// giveUp ends a delivery that readers could soon no longer tell from a
// duplicate.
func (w *Writer) giveUp(d *delivery) bool {
	if !d.uncertain || w.cfg.Clock.Now().Sub(d.start) < DuplicateAge/2 {
		return false
	}
	endAll(d.batch, errorf("append", hv.Uncertain, "record %s was sent but never read back", d.rec.ID))
	return true
}

// waitLive waits until the state of the stream is complete.
func (w *Writer) waitLive(ctx context.Context) bool {
	return w.waitFor(ctx, func() bool { return w.cfg.Follower.Status().Loaded })
}

// waitFor waits for a condition that changes with the follower's progress.
func (w *Writer) waitFor(ctx context.Context, met func() bool) bool {
	for {
		changed := w.cfg.Follower.Changed()
		if met() {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

func endAll(batch []*pending, err error) {
	for _, p := range batch {
		p.end(0, err)
	}
}
