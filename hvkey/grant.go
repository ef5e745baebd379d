package hvkey

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// ownership is the state of one slot at its owner.
type ownership struct {
	// since is the start of the ownership by the record in the log.
	since int64
	// completeSince is when this side began to serve, or its predecessor if that one
	// handed its memory over. Keys from before may have run elsewhere.
	completeSince time.Time
	// leaseEnd is the end of the lease.
	leaseEnd time.Time
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
func (st *Store) ApplyGrant(g Grant) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if g.Offset < st.grantOffset {
		return
	}
	st.grantOffset = g.Offset
	now := st.clock.Now()
	var listed [SlotCount]bool
	for _, s := range g.Slots {
		if s.Slot < 0 || s.Slot >= SlotCount {
			continue
		}
		listed[s.Slot] = true
		if s.Wait {
			continue
		}
		st.extendLease(s, g.HeartbeatSent.Add(g.LeaseDuration), now)
	}
	for i := range st.slots {
		if !listed[i] {
			st.slots[i] = ownership{}
		}
	}
}

func (st *Store) extendLease(s SlotGrant, leaseEnd, now time.Time) {
	o := &st.slots[s.Slot]
	if o.since != s.Since || o.completeSince.IsZero() {
		*o = ownership{since: s.Since, completeSince: st.completeSince(s, now)}
		delete(st.imported, s.Slot)
	}
	if leaseEnd.After(o.leaseEnd) {
		o.leaseEnd = leaseEnd
	}
}

// completeSince is now for a new ownership, because the previous owner may have run
// keys until its lease lapsed, which is later than the record in the log.
// A memory that was handed over continues the previous ownership.
// Nothing can have run before the first ownership of a slot.
func (st *Store) completeSince(s SlotGrant, now time.Time) time.Time {
	if s.FirstOwner {
		return time.Unix(0, 0)
	}
	if in, ok := st.imported[s.Slot]; ok && in.since == s.Since {
		return in.completeSince
	}
	if since := time.UnixMilli(s.Since); since.After(now) {
		return since
	}
	return now
}

func (st *Store) checkServed(key string, now time.Time) error {
	o := st.slots[SlotOf(key)]
	switch {
	case o.completeSince.IsZero() || o.released:
		return errorf("begin", hv.NotFound, "key slot %d is not served here", SlotOf(key))
	case !now.Before(o.leaseEnd):
		return errorf("begin", hv.Expired, "the lease of key slot %d has lapsed", SlotOf(key))
	}
	return nil
}

// ServedSlots returns the slots that the side serves now.
func (st *Store) ServedSlots() []int {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clock.Now()
	var served []int
	for i, o := range st.slots {
		if !o.completeSince.IsZero() && !o.released && now.Before(o.leaseEnd) {
			served = append(served, i)
		}
	}
	return served
}
