package hvshard

import (
	"strconv"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// Batch is the next record of the shard's stream.
type Batch struct {
	Body    hvtask.Ops
	tickets []*Ticket
}

// Ticket is an operation that waits for its record.
type Ticket struct {
	op hvtask.Op
	// key identifies operations of the owner, of which one at a time is enough.
	key    string
	done   chan error
	owner  *Owner
	flying bool
}

// Done gives nil after the operation was read back from the log, or the error
// of the append.
func (t *Ticket) Done() <-chan error { return t.done }

// Withdraw takes the operation back and reports whether that was still
// possible; if not, it may be in the log.
func (t *Ticket) Withdraw() bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if t.flying {
		return false
	}
	for i, other := range t.owner.waiting {
		if other == t {
			t.owner.waiting = append(t.owner.waiting[:i], t.owner.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// Add queues a submit or cancel, which any gate may append. It refuses at once
// while the log cannot be reached. Half of the queue is kept for the owner.
func (o *Owner) Add(op hvtask.Op) (*Ticket, error) {
	if op.Op != hvtask.OpSubmit && op.Op != hvtask.OpCancel {
		return nil, errorf("add", hv.Invalid, "operation %q is reserved for the owner", op.Op)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !o.View.LogReachable():
		return nil, errorf("add", hv.Unavailable, "the log service is not reached")
	case len(o.waiting) >= maxWaiting/2:
		return nil, errorf("add", hv.Full, "%d operations wait for the log", maxWaiting/2)
	}
	t := &Ticket{op: op, done: make(chan error, 1), owner: o}
	o.waiting = append(o.waiting, t)
	return t, nil
}

// emit queues an operation of the owner unless the same one already waits. When
// the queue is full it is dropped: what calls for it is seen again later.
func (o *Owner) emit(op hvtask.Op) bool {
	key := op.Op + " " + op.Task + " " + op.Team + " " + strconv.Itoa(op.Number) + " " + strconv.Itoa(op.Shard)
	if o.pending[key] || len(o.waiting) >= maxWaiting {
		return false
	}
	o.pending[key] = true
	o.waiting = append(o.waiting, &Ticket{op: op, key: key, owner: o})
	switch op.Op {
	case hvtask.OpRefuse, hvtask.OpEnd, hvtask.OpEvict, hvtask.OpLose:
		if a := o.attempts[op.Task]; a != nil && a.number == op.Number {
			a.closed = true
		}
	}
	return true
}

// flush turns the waiting operations into a record.
func (o *Owner) flush(now time.Time) *Batch {
	b := &Batch{Body: hvtask.Ops{Epoch: o.epoch, Owner: o.config.Incarnation}}
	if o.epoch == 0 {
		if epoch, ok := o.claims(now); ok {
			b.Body.Epoch = epoch
			b.Body.Ops = append(b.Body.Ops, hvtask.Op{Op: hvtask.OpClaim, Gate: o.config.Gate})
		}
	}
	n := min(len(o.waiting), opsPerRecord)
	b.tickets = append(b.tickets, o.waiting[:n]...)
	o.waiting = append(o.waiting[:0], o.waiting[n:]...)
	for _, t := range b.tickets {
		t.flying = true
		b.Body.Ops = append(b.Body.Ops, t.op)
	}
	// Behind a release nothing of the owner is valid, so it comes last.
	if o.epoch != 0 && len(o.waiting) == 0 && (o.leaving || o.yields(now)) {
		b.Body.Ops = append(b.Body.Ops, hvtask.Op{Op: hvtask.OpRelease})
	}
	// An empty record settles the fate of an uncertain one before it.
	if len(b.Body.Ops) == 0 && !o.doubt {
		return nil
	}
	o.flight, o.nextFlush = b, now.Add(flushEvery)
	return b
}

// Finish ends the append of a batch with its result. Only the first call for a
// batch counts.
func (o *Owner) Finish(b *Batch, now time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.flight != b {
		return
	}
	o.flight = nil
	for _, t := range b.tickets {
		delete(o.pending, t.key)
		if t.done != nil {
			t.done <- err
		}
	}
	o.sync(now)
	o.releaseUnplaced(b)
	if err == nil {
		if o.failed {
			o.pause(now)
		}
		o.doubt, o.failed = false, false
		return
	}
	o.failed = true
	o.doubt = o.doubt || hv.KindOf(err) != hv.Unavailable
}

// releaseUnplaced gives back the room of placements that did not take effect.
func (o *Owner) releaseUnplaced(b *Batch) {
	for _, t := range b.tickets {
		if t.op.Op != hvtask.OpPlace {
			continue
		}
		e, ok := o.state.Lookup(t.op.Task)
		if ok && (e.Hold == nil || e.Hold.Number != t.op.Number || e.Hold.Host != t.op.Host) {
			o.Placer.Release(e.Task, t.op.Host)
		}
	}
}
