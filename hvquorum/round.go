package hvquorum

import (
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// round is one majority round: who has said that the view still holds.
type round struct {
	number uint64
	epoch  int64
	start  time.Time
	yes    map[string]bool
}

// BeginRound starts a majority round for a stream and returns the question for all
// other gates. It ends an earlier round of the stream.
func (t *Tracker) BeginRound(name string) hvwire.Confirm {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	t.rounds++
	s.open = &round{number: t.rounds, epoch: s.epoch, start: t.clock.Now(), yes: make(map[string]bool)}
	if t.vouches(s) {
		t.count(s, t.config.Gate)
	}
	return hvwire.Confirm{Gate: t.config.Gate, Stream: name, Epoch: s.epoch, Round: t.rounds}
}

// RecordResponse adds the answer of a gate. It reports whether the gate knows a higher
// epoch or reaches the log, so that the missing records can be had from it.
func (t *Tracker) RecordResponse(name, gate string, ack hvwire.ConfirmAck) (ahead bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	if !ack.Loaded {
		return false
	}
	if ack.LogReachable || ack.Epoch > s.epoch {
		return true
	}
	if s.open != nil && s.open.number == ack.Round && slices.Contains(t.gates, gate) {
		t.count(s, gate)
	}
	return false
}

func (t *Tracker) count(s *stream, gate string) {
	if slices.Contains(t.gates, gate) {
		s.open.yes[gate] = true
	}
	if len(s.open.yes) >= t.majority() && s.open.epoch == s.epoch {
		s.round = later(s.round, s.open.start)
	}
}

// Confirm answers the question of another gate.
func (t *Tracker) Confirm(q hvwire.Confirm) hvwire.ConfirmAck {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(q.Stream)
	return hvwire.ConfirmAck{Round: q.Round, Loaded: t.vouches(s), LogReachable: t.reachable(), Epoch: s.epoch}
}

// vouches reports whether this gate cannot have forgotten a newer epoch.
func (t *Tracker) vouches(s *stream) bool {
	return !s.vouched.IsZero() && !s.vouched.After(t.clock.Now())
}
