package hvshard

import (
	"strconv"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// Batch is the next record to append to the shard's stream.
type Batch struct {
	Body    hvtask.Ops
	tickets []*Ticket
}

// Ticket tracks an operation from being queued until its record has been
// appended.
type Ticket struct {
	op hvtask.Op
	// key identifies an operation of the owner, which is queued only once at a
	// time. It is empty for operations of callers.
	key      string
	done     chan error
	owner    *Owner
	inFlight bool
}

// Done delivers nil once the operation has been read back from the log, or the
// error of the append.
func (t *Ticket) Done() <-chan error { return t.done }

// Cancel removes the operation from the queue and reports whether that was
// still possible. If not, the operation may already be in the log.
func (t *Ticket) Cancel() bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if t.inFlight {
		return false
	}
	for i, other := range t.owner.queue {
		if other == t {
			t.owner.queue = append(t.owner.queue[:i], t.owner.queue[i+1:]...)
			return true
		}
	}
	return false
}

// Add queues a submit or cancel operation, which any gate may append. It fails
// at once while the log service is unreachable. Half of the queue is reserved
// for the owner's operations.
func (o *Owner) Add(op hvtask.Op) (*Ticket, error) {
	if op.Op != hvtask.OpSubmit && op.Op != hvtask.OpCancel {
		return nil, errorf("add", hv.Invalid, "operation %q is reserved for the owner", op.Op)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case !o.Quorum.LogReachable():
		return nil, errorf("add", hv.Unavailable, "the log service is unreachable")
	case len(o.queue) >= maxQueuedOps/2:
		return nil, errorf("add", hv.Full, "the queue of %d operations waiting for the log is full", maxQueuedOps/2)
	}
	t := &Ticket{op: op, done: make(chan error, 1), owner: o}
	o.queue = append(o.queue, t)
	return t, nil
}

// enqueue queues an operation of the owner unless the same one is already
// queued. If the queue is full, the operation is dropped; a later check
// generates it again.
func (o *Owner) enqueue(op hvtask.Op) bool {
	key := op.Op + " " + op.TaskID + " " + op.Team + " " + strconv.Itoa(op.Number) + " " + strconv.Itoa(op.Shard)
	if o.queuedKeys[key] || len(o.queue) >= maxQueuedOps {
		return false
	}
	o.queuedKeys[key] = true
	o.queue = append(o.queue, &Ticket{op: op, key: key, owner: o})
	switch op.Op {
	case hvtask.OpRefuse, hvtask.OpEnd, hvtask.OpEvict, hvtask.OpLose:
		if a := o.attempts[op.TaskID]; a != nil && a.number == op.Number {
			a.ending = true
		}
	}
	return true
}

// nextBatch builds a record from the queued operations, or returns nil if there
// is nothing to append.
func (o *Owner) nextBatch(now time.Time) *Batch {
	b := &Batch{Body: hvtask.Ops{Epoch: o.epoch, OwnerIncarnation: o.config.Incarnation}}
	if o.epoch == 0 {
		if epoch, ok := o.shouldClaim(now); ok {
			b.Body.Epoch = epoch
			b.Body.Ops = append(b.Body.Ops, hvtask.Op{Op: hvtask.OpClaim, Gate: o.config.Gate})
		}
	}
	n := min(len(o.queue), maxOpsPerRecord)
	b.tickets = append(b.tickets, o.queue[:n]...)
	o.queue = append(o.queue[:0], o.queue[n:]...)
	for _, t := range b.tickets {
		t.inFlight = true
		b.Body.Ops = append(b.Body.Ops, t.op)
	}
	// Operations of the owner after a release are void, so the release comes
	// last.
	if o.epoch != 0 && len(o.queue) == 0 && (o.steppingDown || o.shouldYield(now)) {
		b.Body.Ops = append(b.Body.Ops, hvtask.Op{Op: hvtask.OpRelease})
	}
	// Reading back an empty record shows whether an earlier append of unknown
	// outcome took effect.
	if len(b.Body.Ops) == 0 && !o.uncertain {
		return nil
	}
	o.inFlight, o.nextFlush = b, now.Add(flushInterval)
	return b
}

// Finish reports the result of appending a batch. Only the first call for a
// batch has an effect.
func (o *Owner) Finish(b *Batch, now time.Time, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.inFlight != b {
		return
	}
	o.inFlight = nil
	for _, t := range b.tickets {
		delete(o.queuedKeys, t.key)
		if t.done != nil {
			t.done <- err
		}
	}
	o.syncOwnership(now)
	o.releaseFailedPlacements(b)
	if err == nil {
		if o.appendFailed {
			o.delayPlacements(now)
		}
		o.uncertain, o.appendFailed = false, false
		return
	}
	o.appendFailed = true
	o.uncertain = o.uncertain || hv.KindOf(err) != hv.Unavailable
}

// releaseFailedPlacements returns the resources of placements that did not take
// effect to the placer.
func (o *Owner) releaseFailedPlacements(b *Batch) {
	for _, t := range b.tickets {
		if t.op.Op != hvtask.OpPlace {
			continue
		}
		e, ok := o.state.Lookup(t.op.TaskID)
		if ok && (e.Placement == nil || e.Placement.Number != t.op.Number || e.Placement.Host != t.op.Host) {
			o.Placer.Release(e.Task, t.op.Host)
		}
	}
}
