package hvkey

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

type fixedClock struct{ now time.Time }

func (c *fixedClock) Now() time.Time { return c.now }

// Guards against two errors in applying a grant with Wait, which a newly started
// gate sends while it cannot tell whether an earlier owner has stopped: starting
// to serve the slot, and ending the lease that another gate has granted.
func TestWaitingSlotIsNeitherStartedNorStopped(t *testing.T) {
	clock := &fixedClock{now: time.Now()}
	m := New(Config{}, clock, func(_ int, message string) { t.Error(message) })
	grant := func(offset hv.Offset, wait bool) {
		m.ApplyGrant(Grant{Slots: []SlotGrant{{Slot: 7, Since: 1, Wait: wait}}, Offset: offset, HeartbeatSent: clock.now, LeaseDuration: 10 * time.Second})
	}
	grant(1, true)
	if served := m.ServedSlots(); len(served) != 0 {
		t.Fatalf("slots %v are served after a grant with Wait, want none", served)
	}
	grant(1, false)
	clock.now = clock.now.Add(5 * time.Second)
	grant(2, true)
	if served := m.ServedSlots(); len(served) != 1 {
		t.Errorf("slots %v are served, want the one that another gate granted", served)
	}
	clock.now = clock.now.Add(6 * time.Second)
	if served := m.ServedSlots(); len(served) != 0 {
		t.Errorf("slots %v are served after the lease, want none: a grant with Wait must not renew it", served)
	}
}
