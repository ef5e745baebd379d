package hvkey

import (
	"encoding/json"

	hv "hibiscusvane.example/hibiscusvane"
)

// Kinds of records in the keys stream.
const (
	KindMove     = "move"
	KindRelease  = "release"
	KindSnapshot = "keep"
)

// Move assigns a slot to another incarnation of a side. It is valid only if From
// is the current owner. From is empty for a slot without an owner.
type Move struct {
	Slot int    `json:"slot"`
	From string `json:"from,omitempty"`
	To   string `json:"to"`
}

// Moves is the body of a move record. Each move is valid or invalid independently
// of the others.
type Moves struct {
	Service string `json:"service"`
	Moves   []Move `json:"moves"`
}

// Release is the body of a release record: From has stopped serving the slots.
// Successor is the incarnation that received all key records of the slots, or
// empty if there is none.
type Release struct {
	Service   string `json:"service"`
	From      string `json:"from"`
	Slots     []int  `json:"slots"`
	Successor string `json:"heir,omitempty"`
}

// snapshot is the body of a snapshot record.
type snapshot struct {
	Services map[string]snapshotService `json:"services"`
}

// snapshotService refers to incarnations by their index in Names, because a few
// incarnations own hundreds of slots.
type snapshotService struct {
	Names []string       `json:"names"`
	Slots []snapshotSlot `json:"slots"`
}

type snapshotSlot struct {
	Slot                 int       `json:"slot"`
	Owner                int       `json:"owner"`
	Successor            int       `json:"heir,omitempty"`
	Since                int64     `json:"since"`
	Offset               hv.Offset `json:"offset"`
	PreviousOwnerStopped bool      `json:"clean,omitempty"`
	FirstOwner           bool      `json:"first,omitempty"`
}

// Snapshot returns the body of a snapshot record with the state as of Next.
func (t *Table) Snapshot() ([]byte, error) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := snapshot{Services: make(map[string]snapshotService, len(t.services))}
	for name, slots := range t.services {
		s.Services[name] = packSlots(slots)
	}
	b, err := json.Marshal(s)
	if err != nil {
		return nil, &Error{Op: "snapshot", Kind: hv.Internal, Err: err}
	}
	return b, nil
}

func packSlots(slots *[SlotCount]SlotState) snapshotService {
	p := snapshotService{Names: []string{""}}
	index := map[string]int{"": 0}
	nameIndex := func(name string) int {
		if _, ok := index[name]; !ok {
			index[name] = len(p.Names)
			p.Names = append(p.Names, name)
		}
		return index[name]
	}
	for i, s := range slots {
		if s != (SlotState{}) {
			p.Slots = append(p.Slots, snapshotSlot{i, nameIndex(s.Owner), nameIndex(s.Successor), s.Since, s.Offset, s.PreviousOwnerStopped, s.FirstOwner})
		}
	}
	return p
}

// Restore replaces the state with that of a snapshot. The argument next is the
// offset of the first record that the snapshot does not include.
func (t *Table) Restore(body []byte, next hv.Offset) error {
	var s snapshot
	if err := json.Unmarshal(body, &s); err != nil {
		return &Error{Op: "restore", Kind: hv.Invalid, Err: err}
	}
	services := make(map[string]*[SlotCount]SlotState, len(s.Services))
	for name, p := range s.Services {
		slots, err := unpackSlots(p)
		if err != nil {
			return err
		}
		services[name] = slots
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services, t.next = services, next
	return nil
}

func unpackSlots(p snapshotService) (*[SlotCount]SlotState, error) {
	var slots [SlotCount]SlotState
	for _, s := range p.Slots {
		if s.Slot < 0 || s.Slot >= SlotCount || s.Owner < 0 || s.Owner >= len(p.Names) || s.Successor < 0 || s.Successor >= len(p.Names) {
			return nil, errorf("restore", hv.Invalid, "slot %d of a snapshot, or the index of its owner or successor, is out of range", s.Slot)
		}
		slots[s.Slot] = SlotState{Owner: p.Names[s.Owner], Successor: p.Names[s.Successor], Since: s.Since, Offset: s.Offset, PreviousOwnerStopped: s.PreviousOwnerStopped, FirstOwner: s.FirstOwner}
	}
	return &slots, nil
}
