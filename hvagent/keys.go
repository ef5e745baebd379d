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

// keys is the key memory of the service, together with the state that
// heartbeats and handovers need.
type keys struct {
	clock       hv.Clock
	memory      *hvkey.Store
	incarnation string
	logger      log.Logger

	mu     sync.Mutex
	offset hv.Offset
	// granted holds, for each granted slot, when its ownership began.
	granted map[int]int64
	// released holds the same for slots that the side has stopped serving.
	released map[int]int64
	// lastRequested is when a gate last requested a part of the memory.
	lastRequested time.Time
	// running is the number of requests in each slot that have not ended.
	running [hvkey.SlotCount]int
	// export is the memory that was last requested. request identifies its
	// successor and slots.
	export struct {
		request string
		parts   []hvkey.HandoverPart
	}
}

func newKeys(a *Agent) *keys {
	return &keys{
		clock:       a.clock,
		memory:      hvkey.New(hvkey.Config{}, a.clock, a.violation),
		incarnation: a.incarnation, logger: a.logs.Component("keys"),
		granted: map[int]int64{}, released: map[int]int64{},
	}
}

// grant applies a grant of key slots by a gate.
func (k *keys) grant(g hvwire.KeyGrant, sent time.Time) {
	slots := make([]hvkey.SlotGrant, 0, len(g.Slots))
	for _, s := range g.Slots {
		slots = append(slots, hvkey.SlotGrant{Slot: s.Slot, Since: s.Since, Wait: s.Wait, FirstOwner: s.FirstOwner})
	}
	k.memory.ApplyGrant(hvkey.Grant{Slots: slots, Offset: g.Offset, HeartbeatSent: sent, LeaseDuration: g.Lease.Std()})
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

// owned returns the number of slots that this side owns according to the log,
// plus those whose memory it has imported as their successor.
func (k *keys) owned() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.granted) + k.memory.ImportedCount()
}

// handoverFailedAfter is the time after the last request of a handover after
// which the handover counts as failed. A gate takes up to 10 s to append the
// release record.
const handoverFailedAfter = 15 * time.Second

// failedHandovers returns the slots that this side has stopped serving but
// still owns according to the log. A gate frees them without a successor, so
// they are not returned while the handover may still be recorded.
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

// trackRequest counts a request as running in the slot of its key until release
// is called.
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

// serveHandover returns a part of the memory to a gate, or imports one from it.
func (s *service) serveHandover(_ context.Context, _ *hvwire.Conn, m hvwire.Handover) (hvwire.HandoverAck, error) {
	switch {
	case m.Service != s.name:
		return hvwire.HandoverAck{}, errorf("handover", hv.Invalid, "service: %q is not served by this side", m.Service)
	case m.Part != nil:
		done, err := s.keys.memory.Import(*m.Part)
		return hvwire.HandoverAck{Done: done}, err
	}
	part, err := s.keys.exportPart(m)
	return hvwire.HandoverAck{Part: part}, err
}

// exportPart stops serving the slots and returns a part of their memory. It
// returns an error of kind Unavailable while requests with keys of these slots
// still run.
func (k *keys) exportPart(m hvwire.Handover) (*hvkey.HandoverPart, error) {
	slots := slices.DeleteFunc(slices.Clone(m.Slots), func(i int) bool { return i < 0 || i >= hvkey.SlotCount })
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lastRequested = k.clock.Now()
	request := fmt.Sprint(m.Successor, slots)
	if k.export.request != request {
		for _, i := range slots {
			if k.memory.AwaitsGrant(i) {
				return nil, errorf("handover", hv.Unavailable, "slot %d has not been granted yet", i)
			}
		}
		// The slots are released first, so that the number of running requests
		// can only decrease.
		parts := k.memory.Release(k.incarnation, slots)
		k.markReleased(parts)
		for _, i := range slots {
			if k.running[i] > 0 {
				return nil, errorf("handover", hv.Unavailable, "%d requests with keys of slot %d are still running", k.running[i], i)
			}
		}
		k.export.request, k.export.parts = request, k.memory.Release(k.incarnation, slots)
		logInfo(k.logger, "msg", "handing over key slots to successor", "to", m.Successor, "slots", len(slots), "parts", len(parts))
	}
	if m.PartNumber < 0 || m.PartNumber >= len(k.export.parts) {
		return nil, errorf("handover", hv.Invalid, "number: no part %d of %d", m.PartNumber, len(k.export.parts))
	}
	part := k.export.parts[m.PartNumber]
	return &part, nil
}

func (k *keys) markReleased(parts []hvkey.HandoverPart) {
	for _, s := range parts[0].Slots {
		k.released[s.Slot] = s.Since
	}
}
