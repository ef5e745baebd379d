package hvwire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// SumAttempts identifies a list of attempts; it is 0 for an empty one.
func SumAttempts(list []AttemptState) uint64 {
	var b []byte
	for _, a := range list {
		b = appendText(b, a.Attempt.Task)
		b = binary.AppendVarint(b, int64(a.Attempt.Number))
		b = binary.AppendVarint(b, int64(a.Shard))
		b = binary.AppendVarint(b, a.Epoch)
		b = appendText(b, a.State)
		b = binary.AppendVarint(b, int64(a.Share))
	}
	return sum(b)
}

// SumSlots identifies the slots of a grant; it is 0 for none.
func SumSlots(list []SlotGrant) uint64 {
	var b []byte
	for _, s := range list {
		b = binary.AppendVarint(b, int64(s.Slot))
		b = binary.AppendVarint(b, s.Since)
		b = append(b, bit(s.Wait), bit(s.First))
	}
	return sum(b)
}

func bit(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// appendText writes the length first, so that different lists differ in bytes.
func appendText(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func sum(b []byte) uint64 {
	if len(b) == 0 {
		return 0
	}
	return max(1, xxhash.Sum64(b))
}

// Lists is what a side knows of the lists that a gate holds. It belongs to one
// connection and is not safe for concurrent use. A heartbeat whose answer is
// lost changes nothing, because the gate compares the sums.
type Lists struct {
	// held is the sum of the attempts that the gate holds, or 0.
	held  uint64
	slots []SlotGrant
}

// Shorten leaves out of a heartbeat what the gate holds, and names the grant
// that need not be repeated.
func (l *Lists) Shorten(b Beat) Beat {
	if s := SumAttempts(b.Attempts); s != 0 && s == l.held {
		b.Attempts, b.Same = nil, s
	}
	b.Grant = SumSlots(l.slots)
	return b
}

// Complete restores the grant in the answer to a heartbeat that was sent.
func (l *Lists) Complete(sent Beat, ack BeatAck) BeatAck {
	l.held = 0
	if ack.Held {
		l.held = max(sent.Same, SumAttempts(sent.Attempts))
	}
	switch {
	case ack.Keys == nil:
	case !ack.Keys.Same:
		l.slots = ack.Keys.Slots
	case len(l.slots) == 0:
		// A grant without slots would end the ownership of all.
		ack.Keys = nil
	default:
		g := *ack.Keys
		g.Slots, g.Same = l.slots, false
		ack.Keys = &g
	}
	return ack
}

// Complete restores the attempts of a heartbeat from those of the last one. It
// reports false if these are not the ones that the heartbeat names.
func (b Beat) Complete(last []AttemptState) (Beat, bool) {
	if b.Same == 0 {
		return b, true
	}
	if SumAttempts(last) != b.Same {
		return b, false
	}
	b.Attempts, b.Same = last, 0
	return b, true
}

// Shorten leaves out the slots if they are those that the heartbeat names.
func (g *KeyGrant) Shorten(b Beat) {
	if s := SumSlots(g.Slots); s != 0 && s == b.Grant {
		g.Slots, g.Same = nil, true
	}
}
