package hvkey

import (
	"encoding/json"
	"fmt"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
)

// maxServices bounds the number of services in the table.
const maxServices = 256

// SlotState describes the ownership of a key slot.
type SlotState struct {
	// Owner is the incarnation of the side that owns the slot, or empty.
	Owner string
	// Successor is the incarnation that received the key records of the last
	// owner. It is set only while the slot has no owner.
	Successor string
	// Since is the start of the ownership in Unix milliseconds, by the clock of
	// the log service. A successor that received the key records keeps the value
	// of its predecessor.
	Since int64
	// Offset is the offset of the move record that set Owner.
	Offset hv.Offset
	// PreviousOwnerStopped is set if the previous owner, if any, stopped serving
	// the slot before the move, so that the owner can serve at once.
	PreviousOwnerStopped bool
	// FirstOwner is set if the slot had no owner before, so that none of its keys
	// can have run.
	FirstOwner bool
}

// Table holds the owner of each key slot, derived from the records of the keys
// stream. It is safe for concurrent use.
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

// Next returns the offset of the first record that has not been applied.
func (t *Table) Next() hv.Offset {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.next
}

// Apply applies one record. Which records are invalid and ignored depends only on
// the stream, so all readers get the same table.
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

// move sets the owner of a slot. No other function does.
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
		// A side tells ownerships apart by their start, so no two may share one,
		// even if the clock of the log service goes back.
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
