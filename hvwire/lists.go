package hvwire

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ChecksumAttempts returns a checksum of a list of attempts; 0 for an empty list.
func ChecksumAttempts(list []AttemptState) uint64 {
	var b []byte
	for _, a := range list {
		b = appendString(b, a.Attempt.Task)
		b = binary.AppendVarint(b, int64(a.Attempt.Number))
		b = binary.AppendVarint(b, int64(a.Shard))
		b = binary.AppendVarint(b, a.Epoch)
		b = appendString(b, a.State)
		b = binary.AppendVarint(b, int64(a.Share))
	}
	return checksum(b)
}

// ChecksumSlots returns a checksum of the slots of a grant; 0 for no slots.
func ChecksumSlots(list []SlotGrant) uint64 {
	var b []byte
	for _, s := range list {
		b = binary.AppendVarint(b, int64(s.Slot))
		b = binary.AppendVarint(b, s.Since)
		b = append(b, boolByte(s.Wait), boolByte(s.FirstOwner))
	}
	return checksum(b)
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// appendString appends the length before the text, so that different lists have
// different encodings.
func appendString(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func checksum(b []byte) uint64 {
	if len(b) == 0 {
		return 0
	}
	return max(1, xxhash.Sum64(b))
}

// ListCache is a side's record of the lists that a gate holds, so that unchanged
// ones are omitted from heartbeats. It belongs to one connection and is not safe
// for concurrent use. Losing the response to a heartbeat does no harm, because the
// gate compares the checksums.
type ListCache struct {
	// attemptsChecksum is the checksum of the attempts that the gate holds, or 0.
	attemptsChecksum uint64
	slots            []SlotGrant
}

// OmitAttempts replaces the attempts of a heartbeat by their checksum if the gate
// holds them, and adds the checksum of the slots that the gate need not repeat.
func (l *ListCache) OmitAttempts(b Heartbeat) Heartbeat {
	if s := ChecksumAttempts(b.Attempts); s != 0 && s == l.attemptsChecksum {
		b.Attempts, b.AttemptsChecksum = nil, s
	}
	b.SlotsChecksum = ChecksumSlots(l.slots)
	return b
}

// RestoreSlots restores omitted slots in the response to a heartbeat.
func (l *ListCache) RestoreSlots(heartbeat Heartbeat, ack HeartbeatAck) HeartbeatAck {
	l.attemptsChecksum = 0
	if ack.AttemptsStored {
		l.attemptsChecksum = max(heartbeat.AttemptsChecksum, ChecksumAttempts(heartbeat.Attempts))
	}
	switch {
	case ack.Grant == nil:
	case !ack.Grant.SlotsUnchanged:
		l.slots = ack.Grant.Slots
	case len(l.slots) == 0:
		// A grant without slots would end the ownership of all slots.
		ack.Grant = nil
	default:
		grant := *ack.Grant
		grant.Slots, grant.SlotsUnchanged = l.slots, false
		ack.Grant = &grant
	}
	return ack
}

// RestoreAttempts restores omitted attempts from those of the last heartbeat. It
// reports false if their checksum is not the one in this heartbeat.
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

// OmitSlots omits the slots if their checksum is the one in the heartbeat.
func (g *KeyGrant) OmitSlots(b Heartbeat) {
	if s := ChecksumSlots(g.Slots); s != 0 && s == b.SlotsChecksum {
		g.Slots, g.SlotsUnchanged = nil, true
	}
}
