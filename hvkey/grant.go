package hvkey

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// ownership is the state of one slot at its owner.
type ownership struct {
	// since is the start of the ownership by the record in the log.
	since int64
	// start is when this side began to serve, or its predecessor if that one
	// handed its memory over. Keys from before may have run elsewhere.
	start time.Time
	// end is the end of the lease.
	end time.Time
	// released slots are served no more under this ownership.
	released bool
}

// SlotGrant is a key slot with the start of its ownership in Unix milliseconds, as
// the keys stream has it.
type SlotGrant struct {
	Slot  int
	Since int64
	// Wait is set while the gate cannot exclude that an earlier owner still
	// serves the slot. Such a slot is neither begun nor renewed by the grant,
	// but another gate may have begun it.
	Wait bool
	// FirstOwner is set for a slot that had no owner before.
	FirstOwner bool
}

// Grant confirms the slots of a side. The lease counts from the time at which
// the side sent the heartbeat.
type Grant struct {
	Slots         []SlotGrant
	Offset        hv.Offset
	HeartbeatSent time.Time
	LeaseDuration time.Duration
}

// ApplyGrant applies a grant. One that reflects an older offset than an earlier one
// is ignored; slots that a newer one does not list are served no more.
func (m *Store) ApplyGrant(g Grant) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g.Offset < m.offset {
		return
	}
	m.offset = g.Offset
	now := m.clock.Now()
	var listed [SlotCount]bool
	for _, s := range g.Slots {
		if s.Slot < 0 || s.Slot >= SlotCount {
			continue
		}
		listed[s.Slot] = true
		if s.Wait {
			continue
		}
		m.grant(s, g.HeartbeatSent.Add(g.LeaseDuration), now)
	}
	for i := range m.slots {
		if !listed[i] {
			m.slots[i] = ownership{}
		}
	}
}

func (m *Store) grant(s SlotGrant, end, now time.Time) {
	o := &m.slots[s.Slot]
	if o.since != s.Since || o.start.IsZero() {
		*o = ownership{since: s.Since, start: m.start(s, now)}
		delete(m.imported, s.Slot)
	}
	if end.After(o.end) {
		o.end = end
	}
}

// start is now for a new ownership, because the previous owner may have run
// keys until its lease lapsed, which is later than the record in the log.
// A memory that was handed over continues the previous ownership.
// Nothing can have run before the first ownership of a slot.
func (m *Store) start(s SlotGrant, now time.Time) time.Time {
	if s.FirstOwner {
		return time.Unix(0, 0)
	}
	if in, ok := m.imported[s.Slot]; ok && in.since == s.Since {
		return in.start
	}
	if since := time.UnixMilli(s.Since); since.After(now) {
		return since
	}
	return now
}

func (m *Store) serves(key string, now time.Time) error {
	o := m.slots[SlotOf(key)]
	switch {
	case o.start.IsZero() || o.released:
		return errorf("begin", hv.NotFound, "key slot %d is not served here", SlotOf(key))
	case !now.Before(o.end):
		return errorf("begin", hv.Expired, "the lease of key slot %d has lapsed", SlotOf(key))
	}
	return nil
}

// ServedSlots returns the slots that the side serves now.
func (m *Store) ServedSlots() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := m.clock.Now()
	var served []int
	for i, o := range m.slots {
		if !o.start.IsZero() && !o.released && now.Before(o.end) {
			served = append(served, i)
		}
	}
	return served
}
