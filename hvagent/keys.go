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
	memory      *hvkey.Store
	incarnation string
	logger      log.Logger

	mu     sync.Mutex
	offset hv.Offset
	// granted holds the start of the ownership of each confirmed slot.
	granted map[int]int64
	// released holds the same for slots that the side has stopped to serve.
	released map[int]int64
	// asked is when a part of the memory was last asked for.
	asked time.Time
	// running counts the requests in each slot that have not ended.
	running [hvkey.SlotCount]int
	// export is the last memory that was asked for.
	export struct {
		question string
		parts    []hvkey.HandoverPart
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
			k.export.question = ""
		}
	}
}

// owned returns how many slots the log gives to this side, or is about to give
// to it as their heir.
func (k *keys) owned() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.granted) + k.memory.ImportedCount()
}

// strandedAfter is the time after the last question of a handover from which
// on it has failed. A gate takes up to 10 s to append the release.
const strandedAfter = 15 * time.Second

// stranded lists slots that the log gives to this side after it has stopped to
// serve them. A gate frees them without an heir, so they are not listed while
// the handover may still be recorded.
func (k *keys) stranded() []int {
	k.mu.Lock()
	defer k.mu.Unlock()
	var slots []int
	if k.clock.Now().Sub(k.asked) < strandedAfter {
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

// enter counts a request until it has ended.
func (k *keys) enter(key string) (release func()) {
	slot := hvkey.SlotOf(key)
	k.count(slot, 1)
	return func() { k.count(slot, -1) }
}

func (k *keys) count(slot, n int) {
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
	part, err := s.keys.part(m)
	return hvwire.HandoverAck{Part: part}, err
}

// part stops to serve the slots and returns a part of their memory when the
// last request with one of their keys has ended.
func (k *keys) part(m hvwire.Handover) (*hvkey.HandoverPart, error) {
	slots := slices.DeleteFunc(slices.Clone(m.Slots), func(i int) bool { return i < 0 || i >= hvkey.SlotCount })
	k.mu.Lock()
	defer k.mu.Unlock()
	k.asked = k.clock.Now()
	question := fmt.Sprint(m.Successor, slots)
	if k.export.question != question {
		for _, i := range slots {
			if k.memory.AwaitsGrant(i) {
				return nil, errorf("handover", hv.Unavailable, "the grant of slot %d has not come yet", i)
			}
		}
		// The slots are released first, so that the count only falls.
		parts := k.memory.Release(k.incarnation, slots)
		k.release(parts)
		for _, i := range slots {
			if k.running[i] > 0 {
				return nil, errorf("handover", hv.Unavailable, "%d requests run with keys of slot %d", k.running[i], i)
			}
		}
		k.export.question, k.export.parts = question, k.memory.Release(k.incarnation, slots)
		logInfo(k.logger, "msg", "key slots are handed over", "to", m.Successor, "slots", len(slots), "parts", len(parts))
	}
	if m.PartNumber < 0 || m.PartNumber >= len(k.export.parts) {
		return nil, errorf("handover", hv.Invalid, "number: %d of %d", m.PartNumber, len(k.export.parts))
	}
	part := k.export.parts[m.PartNumber]
	return &part, nil
}

func (k *keys) release(parts []hvkey.HandoverPart) {
	for _, s := range parts[0].Slots {
		k.released[s.Slot] = s.Since
	}
}
