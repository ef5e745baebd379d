package hvkey

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// ownership is the state of a key slot at its owner.
type ownership struct {
	// since is the start of the ownership in Unix milliseconds, as recorded in
	// the keys stream.
	since int64
	// completeSince is the time since when the key records are complete: when
	// this side began to serve the slot, or its predecessor if that one handed
	// its key records over. Older keys may have run elsewhere.
	completeSince time.Time
	leaseEnd      time.Time
	// released is set once the slot was handed over; it is not served again
	// under this ownership.
	released bool
}

// SlotGrant is a key slot in a grant.
type SlotGrant struct {
	Slot int
	// Since is the start of the ownership in Unix milliseconds, as recorded in
	// the keys stream.
	Since int64
	// Wait is set while the gate cannot rule out that an earlier owner still
	// serves the slot. The grant then neither starts nor renews the lease of the
	// slot. A lease that another gate granted continues.
	Wait bool
	// FirstOwner is set if the slot had no owner before.
	FirstOwner bool
}

// Grant lists the key slots that a side serves, as of Offset in the keys stream.
// The lease starts when the side sent the heartbeat that the grant answers.
type Grant struct {
	Slots         []SlotGrant
	Offset        hv.Offset
	HeartbeatSent time.Time
	LeaseDuration time.Duration
}

// ApplyGrant applies a grant. A grant with an older offset than an earlier one is
// ignored. The side stops serving slots that the grant does not list.
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

// completeSince returns the time since when the key records of a newly granted
// slot are complete. That is the current time, because the previous owner may
// have run keys until its lease expired, which is later than the move record.
// Key records that were handed over are complete since the predecessor's time.
// No key of a slot can have run before its first owner.
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
		return errorf("begin", hv.NotFound, "this side does not serve key slot %d", SlotOf(key))
	case !now.Before(o.leaseEnd):
		return errorf("begin", hv.Expired, "the lease of key slot %d has expired", SlotOf(key))
	}
	return nil
}

// ServedSlots returns the slots that the side serves at present, in order.
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
