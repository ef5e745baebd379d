package hvwire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChecksumAttempts identifies a list of attempts; it is 0 for an empty one.
func ChecksumAttempts(list []AttemptState) uint64 {
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

// ChecksumSlots identifies the slots of a grant; it is 0 for none.
func ChecksumSlots(list []SlotGrant) uint64 {
	var b []byte
	for _, s := range list {
		b = binary.AppendVarint(b, int64(s.Slot))
		b = binary.AppendVarint(b, s.Since)
		b = append(b, bit(s.Wait), bit(s.FirstOwner))
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

// ListCache is what a side knows of the lists that a gate holds. It belongs to one
// connection and is not safe for concurrent use. A heartbeat whose answer is
// lost changes nothing, because the gate compares the sums.
type ListCache struct {
	// held is the sum of the attempts that the gate holds, or 0.
	held  uint64
	slots []SlotGrant
}

// OmitAttempts leaves out of a heartbeat what the gate holds, and names the grant
// that need not be repeated.
func (l *ListCache) OmitAttempts(b Heartbeat) Heartbeat {
	if s := ChecksumAttempts(b.Attempts); s != 0 && s == l.held {
		b.Attempts, b.AttemptsChecksum = nil, s
	}
	b.SlotsChecksum = ChecksumSlots(l.slots)
	return b
}

// RestoreSlots restores the grant in the answer to a heartbeat that was sent.
func (l *ListCache) RestoreSlots(sent Heartbeat, ack HeartbeatAck) HeartbeatAck {
	l.held = 0
	if ack.AttemptsStored {
		l.held = max(sent.AttemptsChecksum, ChecksumAttempts(sent.Attempts))
	}
	switch {
	case ack.Grant == nil:
	case !ack.Grant.SlotsUnchanged:
		l.slots = ack.Grant.Slots
	case len(l.slots) == 0:
		// A grant without slots would end the ownership of all.
		ack.Grant = nil
	default:
		g := *ack.Grant
		g.Slots, g.SlotsUnchanged = l.slots, false
		ack.Grant = &g
	}
	return ack
}

// RestoreAttempts restores the attempts of a heartbeat from those of the last one. It
// reports false if these are not the ones that the heartbeat names.
func (b Heartbeat) RestoreAttempts(last []AttemptState) (Heartbeat, bool) {
	if b.AttemptsChecksum == 0 {
		return b, true
	}
	if ChecksumAttempts(last) != b.AttemptsChecksum {
		return b, false
	}
	b.Attempts, b.AttemptsChecksum = last, 0
	return b, true
}

// OmitSlots leaves out the slots if they are those that the heartbeat names.
func (g *KeyGrant) OmitSlots(b Heartbeat) {
	if s := ChecksumSlots(g.Slots); s != 0 && s == b.SlotsChecksum {
		g.Slots, g.SlotsUnchanged = nil, true
	}
}
