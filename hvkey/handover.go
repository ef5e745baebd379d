package hvkey

import (
	"cmp"
	"maps"
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// HandoverPart is one message of a handover. A successor that has all parts
// serves the slots as if it had owned them since the predecessor did.
type HandoverPart struct {
	// From is the incarnation of the predecessor.
	From string `json:"from"`
	// Index counts from 0 to Parts-1.
	Index int            `json:"part"`
	Parts int            `json:"parts"`
	Slots []HandoverSlot `json:"slots"`
	Keys  []HandoverKey  `json:"keys,omitempty"`
}

// HandoverSlot is a key slot that is handed over.
type HandoverSlot struct {
	Slot int `json:"slot"`
	// Since is the start of the predecessor's ownership as recorded in the keys
	// stream. CompleteSince is the time since when the key records are
	// complete. Both are in Unix milliseconds.
	Since         int64 `json:"since"`
	CompleteSince int64 `json:"start"`
}

// HandoverKey is a key record in a handover.
type HandoverKey struct {
	Key    string `json:"key"`
	Digest uint64 `json:"digest,string"`
	// Age is the time since the request ended.
	Age      hv.Duration `json:"age"`
	Response hv.Response `json:"answer"`
}

const (
	// maxPartBytes bounds the response bodies in a part, which keeps the part
	// below the size limit of a message.
	maxPartBytes = 1 << 20
	// maxPartKeys bounds the keys in a part. It is the limit that applies when
	// the responses are small.
	maxPartKeys = 2048
	// maxTransfers bounds the handovers that a side receives at the same time.
	maxTransfers = 16
)

// transfer is an incoming handover of which parts are still missing.
type transfer struct {
	received map[int]bool
}

// ImportedCount returns the number of slots whose key records were handed over
// to this side and that have not been granted to it yet.
func (st *Store) ImportedCount() int {
	st.mu.Lock()
	defer st.mu.Unlock()
	return len(st.imported)
}

// AwaitsGrant reports whether the key records of a slot were handed over to this
// side and the slot has not been granted to it yet. Until then the side cannot
// hand the slot over to another.
func (st *Store) AwaitsGrant(slot int) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	_, imported := st.imported[slot]
	return imported && st.slots[slot].completeSince.IsZero()
}

// Release stops serving slots and returns their key records in parts. Requests
// that are still running are handed over with the outcome unknown.
func (st *Store) Release(from string, slots []int) []HandoverPart {
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clock.Now()
	st.removeExpired(now)
	var released []HandoverSlot
	var picked [SlotCount]bool
	for _, i := range slots {
		o := &st.slots[i]
		if o.completeSince.IsZero() || picked[i] {
			continue
		}
		o.released, picked[i] = true, true
		released = append(released, HandoverSlot{Slot: i, Since: o.since, CompleteSince: o.completeSince.UnixMilli()})
	}
	return splitParts(from, released, st.export(picked, now))
}

func (st *Store) export(picked [SlotCount]bool, now time.Time) []HandoverKey {
	var keys []HandoverKey
	for _, e := range slices.SortedFunc(maps.Values(st.entries), func(a, b *Entry) int { return cmp.Compare(a.key, b.key) }) {
		if !picked[SlotOf(e.key)] {
			continue
		}
		k := HandoverKey{Key: e.key, Digest: e.digest, Response: e.response}
		if e.running() {
			k.Response = hv.Response{Outcome: hv.Unknown, Reason: "the request was running when its key slot changed owner"}
		} else {
			k.Age = hv.Duration(max(0, now.Sub(e.finishedAt)))
		}
		keys = append(keys, k)
	}
	return keys
}

func splitParts(from string, slots []HandoverSlot, keys []HandoverKey) []HandoverPart {
	parts := []HandoverPart{{From: from, Slots: slots}}
	bytes := 0
	for _, k := range keys {
		last := &parts[len(parts)-1]
		if len(last.Keys) >= maxPartKeys || bytes+len(k.Response.Body) > maxPartBytes && len(last.Keys) > 0 {
			parts = append(parts, HandoverPart{From: from, Index: len(parts), Slots: slots})
			last, bytes = &parts[len(parts)-1], 0
		}
		last.Keys = append(last.Keys, k)
		bytes += len(k.Response.Body)
	}
	for i := range parts {
		parts[i].Parts = len(parts)
	}
	return parts
}

// Import adds the key records of one part of a handover. It reports true once all
// parts have arrived. A part that would exceed the limit of keys is refused as a
// whole, and the handover is abandoned.
func (st *Store) Import(p HandoverPart) (bool, error) {
	if p.Index < 0 || p.Index >= p.Parts || len(p.Slots) > SlotCount {
		return false, errorf("import", hv.Invalid, "part %d of %d, or its number of slots, is out of range", p.Index, p.Parts)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	now := st.clock.Now()
	st.removeExpired(now)
	t := st.transfers[p.From]
	if t == nil {
		if len(st.transfers) >= maxTransfers {
			return false, errorf("import", hv.Full, "%d handovers are already in progress", len(st.transfers))
		}
		t = &transfer{received: map[int]bool{}}
		st.transfers[p.From] = t
	}
	if len(st.entries)+len(p.Keys) > st.config.MaxKeys {
		delete(st.transfers, p.From)
		return false, errorf("import", hv.Full, "the handover would exceed the limit of stored keys by adding %d keys", len(p.Keys))
	}
	st.merge(p.Keys, now)
	t.received[p.Index] = true
	if len(t.received) < p.Parts {
		return false, nil
	}
	delete(st.transfers, p.From)
	st.setImported(p.Slots)
	return true, nil
}

func (st *Store) merge(keys []HandoverKey, now time.Time) {
	for _, k := range keys {
		if st.entries[k.Key] != nil {
			continue
		}
		e := &Entry{key: k.Key, digest: k.Digest, done: make(chan struct{})}
		st.entries[k.Key] = e
		st.complete(e, k.Response, now.Add(-k.Age.Std()))
	}
	slices.SortStableFunc(st.finished, func(a, b *Entry) int { return a.finishedAt.Compare(b.finishedAt) })
}

func (st *Store) setImported(slots []HandoverSlot) {
	for _, s := range slots {
		if s.Slot >= 0 && s.Slot < SlotCount {
			st.imported[s.Slot] = ownership{since: s.Since, completeSince: time.UnixMilli(s.CompleteSince)}
			if st.slots[s.Slot].released {
				st.slots[s.Slot] = ownership{}
			}
		}
	}
}
