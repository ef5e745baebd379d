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
	// FailFast operations are refused at once while the log cannot be reached.
	// Others wait until it returns.
	FailFast bool
}

// Receipt tells where an operation was read back.
type Receipt struct {
	Offset hv.Offset
	// ID is the identifier of the record. It is also set when the outcome is
	// uncertain.
	ID string
	// Index is the position of the operation in the record.
	Index int
}

// pending is an operation on its way through a Writer.
type pending struct {
	op   Op
	done chan struct{}

	mu sync.Mutex
	// sent is set while an append that holds the operation may take effect.
	sent    bool
	left    bool
	ended   bool
	receipt Receipt
	err     error
}

func newPending(op Op) *pending { return &pending{op: op, done: make(chan struct{})} }

// begin marks the operation as sent. It reports false if its caller has left.
func (p *pending) begin(id string, index int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.left || p.ended {
		return false
	}
	p.sent = true
	p.receipt = Receipt{ID: id, Index: index}
	return true
}

// unsend records that no append so far has taken effect.
func (p *pending) unsend() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sent = false
}

// end sets the outcome once.
func (p *pending) end(offset hv.Offset, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return
	}
	p.ended, p.err, p.receipt.Offset = true, err, offset
	close(p.done)
}

// stop ends the operation when its writer stops.
func (p *pending) stop() {
	p.mu.Lock()
	sent := p.sent
	p.mu.Unlock()
	if sent {
		p.end(0, errorf("append", hv.Uncertain, "the writer stopped before the record was read back"))
		return
	}
	p.end(0, errorf("append", hv.Unavailable, "the writer stopped; the record was not appended"))
}

// leave returns the outcome for a caller that no longer waits.
func (p *pending) leave() (Receipt, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.ended:
		return p.receipt, p.err
	case p.sent:
		p.left = true
		return p.receipt, errorf("append", hv.Uncertain, "record %s was sent but not read back in time", p.receipt.ID)
	}
	p.left = true
	return Receipt{}, errorf("append", hv.Unavailable, "the record was not appended in time")
}
