package hvlog

import (
	"encoding/json"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
)

// Op is one operation that a Writer appends.
type Op struct {
	Kind string
	Body json.RawMessage
	// NoMerge operations are not merged with others into one record.
	NoMerge bool
	// FailFast operations are refused at once while the log service is
	// unreachable. Others wait until it is reachable again.
	FailFast bool
}

// Receipt is the position at which an operation was read back.
type Receipt struct {
	Offset hv.Offset
	// ID is the identifier of the record. It is also set when the outcome is
	// uncertain.
	ID string
	// Index is the index of the operation in the record.
	Index int
}

// pending is an operation that a Writer has not finished.
type pending struct {
	op   Op
	done chan struct{}

	mu sync.Mutex
	// sent is set while an append that contains the operation may take effect.
	sent bool
	// abandoned is set when the caller has stopped waiting.
	abandoned bool
	finished  bool
	receipt   Receipt
	err       error
}

func newPending(op Op) *pending { return &pending{op: op, done: make(chan struct{})} }

// markSent marks the operation as sent. It reports false if the operation is
// abandoned or finished.
func (p *pending) markSent(id string, index int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.abandoned || p.finished {
		return false
	}
	p.sent = true
	p.receipt = Receipt{ID: id, Index: index}
	return true
}

// clearSent records that no append of the operation has taken effect so far.
func (p *pending) clearSent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = false
}

// finish sets the outcome. Only the first call has an effect.
func (p *pending) finish(offset hv.Offset, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.finished {
		return
	}
	p.finished, p.err, p.receipt.Offset = true, err, offset
	close(p.done)
}

// writerStopped finishes the operation when its writer stops.
func (p *pending) writerStopped() {
	p.mu.Lock()
	sent := p.sent
	p.mu.Unlock()
	if sent {
		p.finish(0, errorf("append", hv.Uncertain, "the writer stopped before the record was read back"))
		return
	}
	p.finish(0, errorf("append", hv.Unavailable, "the writer stopped before the operation was appended"))
}

// outcome returns the outcome of a finished operation. An unfinished one is
// abandoned, and the error tells whether it may still take effect.
func (p *pending) outcome() (Receipt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.finished:
		return p.receipt, p.err
	case p.sent:
		p.abandoned = true
		return p.receipt, errorf("append", hv.Uncertain, "record %s was sent but not read back in time", p.receipt.ID)
	}
	p.abandoned = true
	return Receipt{}, errorf("append", hv.Unavailable, "the operation was not appended in time")
}
