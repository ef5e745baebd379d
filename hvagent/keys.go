package hvagent

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// keys is the key memory with what heartbeats and handovers need to know.
type keys struct {
	clock       hv.Clock
	memory      *hvkey.Memory
	incarnation string
	logger      log.Logger

	mu     sync.Mutex
	offset hv.Offset
	// granted holds the start of the ownership of each confirmed slot.
	granted map[int]int64
	// released holds the same for slots that the side has stopped to serve.
	released map[int]int64
	// lastRequested is when a part of the memory was last asked for.
	lastRequested time.Time
	// running counts the requests in each slot that have not ended.
	running [hvkey.SlotCount]int
	// export is the last memory that was asked for.
	export struct {
		request string
		parts   []hvkey.Part
	}
}

func newKeys(a *Agent) *keys {
	return &keys{
		clock:       a.clock,
		memory:      hvkey.New(hvkey.Config{}, a.clock, a.violation),
		incarnation: a.incarnation, logger: a.logs.Part("keys"),
		granted: map[int]int64{}, released: map[int]int64{},
	}
}

// grant applies the key slots that a gate confirms.
func (k *keys) grant(g hvwire.KeyGrant, sent time.Time) {
	slots := make([]hvkey.Slot, 0, len(g.Slots))
	for _, s := range g.Slots {
		slots = append(slots, hvkey.Slot{Slot: s.Slot, Since: s.Since, Wait: s.Wait, First: s.FirstOwner})
	}
	k.memory.Grant(hvkey.Grant{Slots: slots, Offset: g.Offset, Sent: sent, Lease: g.Lease.Std()})
	k.mu.Lock()
	defer k.mu.Unlock()
	if g.Offset < k.offset {
		return
	}
	k.offset = g.Offset
	clear(k.granted)
	for _, s := range g.Slots {
		k.granted[s.Slot] = s.Since
	}
	for slot, since := range k.released {
		if k.granted[slot] != since {
			delete(k.released, slot)
			k.export.request = ""
		}
	}
}

// owned returns how many slots the log gives to this side, or is about to give
// to it as their heir.
func (k *keys) owned() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.granted) + k.memory.Imported()
}

// handoverFailedAfter is the time after the last question of a handover from which
// on it has failed. A gate takes up to 10 s to append the release.
const handoverFailedAfter = 15 * time.Second

// failedHandovers lists slots that the log gives to this side after it has stopped to
// serve them. A gate frees them without an heir, so they are not listed while
// the handover may still be recorded.
func (k *keys) failedHandovers() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var slots []int
	if k.clock.Now().Sub(k.lastRequested) < handoverFailedAfter {
		return nil
	}
	for slot, since := range k.released {
		if granted, ok := k.granted[slot]; ok && granted == since {
			slots = append(slots, slot)
		}
	}
	slices.Sort(slots)
	return slots
}

// trackRequest counts a request until it has ended.
func (k *keys) trackRequest(key string) (release func()) {
	slot := hvkey.SlotOf(key)
	k.addRunning(slot, 1)
	return func() { k.addRunning(slot, -1) }
}

func (k *keys) addRunning(slot, n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.running[slot] += n
}

// serveHandover gives parts of the memory to a gate, or takes one from it.
func (s *service) serveHandover(_ context.Context, _ *hvwire.Conn, m hvwire.Handover) (hvwire.HandoverAck, error) {
	switch {
	case m.Service != s.name:
		return hvwire.HandoverAck{}, errorf("handover", hv.Invalid, "service: %q is not here", m.Service)
	case m.Part != nil:
		done, err := s.keys.memory.Import(*m.Part)
		return hvwire.HandoverAck{Done: done}, err
	}
	part, err := s.keys.exportPart(m)
	return hvwire.HandoverAck{Part: part}, err
}

// exportPart stops to serve the slots and returns a part of their memory when the
// last request with one of their keys has ended.
func (k *keys) exportPart(m hvwire.Handover) (*hvkey.Part, error) {
	slots := slices.DeleteFunc(slices.Clone(m.Slots), func(i int) bool { return i < 0 || i >= hvkey.SlotCount })
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastRequested = k.clock.Now()
	request := fmt.Sprint(m.Successor, slots)
	if k.export.request != request {
		for _, i := range slots {
			if k.memory.AwaitsGrant(i) {
				return nil, errorf("handover", hv.Unavailable, "the grant of slot %d has not come yet", i)
			}
		}
		// The slots are released first, so that the count only falls.
		parts := k.memory.Release(k.incarnation, slots)
		k.markReleased(parts)
		for _, i := range slots {
			if k.running[i] > 0 {
				return nil, errorf("handover", hv.Unavailable, "%d requests run with keys of slot %d", k.running[i], i)
			}
		}
		k.export.request, k.export.parts = request, k.memory.Release(k.incarnation, slots)
		logInfo(k.logger, "msg", "key slots are handed over", "to", m.Successor, "slots", len(slots), "parts", len(parts))
	}
	if m.PartNumber < 0 || m.PartNumber >= len(k.export.parts) {
		return nil, errorf("handover", hv.Invalid, "number: %d of %d", m.PartNumber, len(k.export.parts))
	}
	part := k.export.parts[m.PartNumber]
	return &part, nil
}

func (k *keys) markReleased(parts []hvkey.Part) {
	for _, s := range parts[0].Slots {
		k.released[s.Slot] = s.Since
	}
}
