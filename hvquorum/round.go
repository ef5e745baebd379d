package hvquorum

import (
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// round is one majority round: who has said that the view still holds.
type round struct {
	number    uint64
	epoch     int64
	start     time.Time
	confirmed map[string]bool
}

// BeginRound starts a majority round for a stream and returns the question for all
// other gates. It ends an earlier round of the stream.
func (t *Tracker) BeginRound(name string) hvwire.Confirm {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	t.lastRound++
	s.openRound = &round{number: t.lastRound, epoch: s.epoch, start: t.clock.Now(), confirmed: make(map[string]bool)}
	if t.mayConfirm(s) {
		t.addConfirmation(s, t.config.Gate)
	}
	return hvwire.Confirm{Gate: t.config.Gate, Stream: name, Epoch: s.epoch, Round: t.lastRound}
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
	if s.openRound != nil && s.openRound.number == ack.Round && slices.Contains(t.gates, gate) {
		t.addConfirmation(s, gate)
	}
	return false
}

func (t *Tracker) addConfirmation(s *stream, gate string) {
	if slices.Contains(t.gates, gate) {
		s.openRound.confirmed[gate] = true
	}
	if len(s.openRound.confirmed) >= t.majority() && s.openRound.epoch == s.epoch {
		s.roundStart = later(s.roundStart, s.openRound.start)
	}
}

// Confirm answers the question of another gate.
func (t *Tracker) Confirm(req hvwire.Confirm) hvwire.ConfirmAck {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(req.Stream)
	return hvwire.ConfirmAck{Round: req.Round, Loaded: t.mayConfirm(s), LogReachable: t.logReachable(), Epoch: s.epoch}
}

// mayConfirm reports whether this gate cannot have forgotten a newer epoch.
func (t *Tracker) mayConfirm(s *stream) bool {
	return !s.confirmsFrom.IsZero() && !s.confirmsFrom.After(t.clock.Now())
}
