package hvkey

import (
	"encoding/json"
	"fmt"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
)

// maxServices bounds the table.
const maxServices = 256

// SlotState is the owner of a key slot.
type SlotState struct {
	// Owner is the incarnation of a side, or empty.
	Owner string
	// Successor is the incarnation that has the memory of the last owner, while the
	// slot has no owner.
	Successor string
	// Since is the start of the ownership in Unix milliseconds of the log
	// service. It is kept when the memory was handed over.
	Since int64
	// Offset is the record that made Owner the owner.
	Offset hv.Offset
	// PreviousOwnerStopped reports that the previous owner had stopped before, so that the
	// owner can serve at once.
	PreviousOwnerStopped bool
	// FirstOwner reports that the slot had no owner before, so that no key of it
	// can have run.
	FirstOwner bool
}

// Table is the owner of each key slot by the records of the keys stream. It is
// safe for concurrent use.
type Table struct {
	violations hv.ViolationReporter

	mu       sync.RWMutex
	services map[string]*[SlotCount]SlotState
	next     hv.Offset
}

// NewTable returns the table of an empty stream.
func NewTable(violations hv.ViolationReporter) *Table {
	return &Table{violations: violations, services: make(map[string]*[SlotCount]SlotState)}
}

// Next returns the offset of the first record that was not applied.
func (t *Table) Next() hv.Offset {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.next
}

// Apply applies one record. Every reader ignores the same invalid records.
func (t *Table) Apply(rec hv.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if rec.Offset < t.next {
		return
	}
	t.next = rec.Offset + 1
	switch rec.Kind {
	case KindMove:
		var b Moves
		if json.Unmarshal(rec.Body, &b) == nil {
			t.applyMoves(rec, b)
		}
	case KindRelease:
		var b Release
		if json.Unmarshal(rec.Body, &b) == nil {
			t.applyRelease(b)
		}
	}
}

func (t *Table) applyMoves(rec hv.Record, b Moves) {
	slots := t.serviceSlots(b.Service)
	if slots == nil {
		return
	}
	for _, m := range b.Moves {
		if m.Slot < 0 || m.Slot >= SlotCount || m.To == "" || m.To == m.From || slots[m.Slot].Owner != m.From {
			continue
		}
		t.move(&slots[m.Slot], rec, m)
	}
}

// move is the only place where a slot gets an owner.
func (t *Table) move(s *SlotState, rec hv.Record, m Move) {
	old := *s
	if old.Owner != m.From || rec.Offset <= old.Offset && old.Offset > 0 {
		t.violations(6, fmt.Sprintf("slot %d moves from %q while %q owns it", m.Slot, m.From, old.Owner))
		return
	}
	*s = SlotState{Owner: m.To, Since: rec.Time.UnixMilli(), Offset: rec.Offset, PreviousOwnerStopped: m.From == "", FirstOwner: old == (SlotState{})}
	switch {
	case m.From == "" && old.Successor == m.To:
		s.Since = old.Since
	case s.Since <= old.Since:
		// Two ownerships never share a start, whatever the clock of the log
		// service does, because a side tells them apart by it.
		s.Since = old.Since + 1
	}
}

func (t *Table) applyRelease(b Release) {
	slots := t.services[b.Service]
	if slots == nil || b.From == "" {
		return
	}
	for _, i := range b.Slots {
		if i >= 0 && i < SlotCount && slots[i].Owner == b.From {
			slots[i].Owner, slots[i].Successor = "", b.Successor
		}
	}
}

func (t *Table) serviceSlots(name string) *[SlotCount]SlotState {
	slots := t.services[name]
	if slots == nil && name != "" && len(t.services) < maxServices {
		slots = new([SlotCount]SlotState)
		t.services[name] = slots
	}
	return slots
}

// Slot returns the state of one slot of a service.
func (t *Table) Slot(service string, slot int) SlotState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if slots := t.services[service]; slots != nil && slot >= 0 && slot < SlotCount {
		return slots[slot]
	}
	return SlotState{}
}

// Slots returns the state of all slots of a service.
func (t *Table) Slots(service string) [SlotCount]SlotState {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if slots := t.services[service]; slots != nil {
		return *slots
	}
	return [SlotCount]SlotState{}
}
