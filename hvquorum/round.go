package hvquorum

import (
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// round is a majority round. Its map holds the gates that have confirmed that they
// know no newer epoch.
type round struct {
	number    uint64
	epoch     int64
	start     time.Time
	confirmed map[string]bool
}

// BeginRound starts a majority round for a stream and returns the request for all
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

// RecordResponse records the response of a gate to the current round. It returns
// true if that gate knows a higher epoch or reaches the log, so that the missing
// records can be fetched from it.
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

// addConfirmation counts a gate for the open round. With a majority, the known epoch
// is confirmed as of the start of the round.
func (t *Tracker) addConfirmation(s *stream, gate string) {
	if slices.Contains(t.gates, gate) {
		s.openRound.confirmed[gate] = true
	}
	if len(s.openRound.confirmed) >= t.majority() && s.openRound.epoch == s.epoch {
		s.roundStart = later(s.roundStart, s.openRound.start)
	}
}

// Confirm returns the response to a round of another gate.
func (t *Tracker) Confirm(req hvwire.Confirm) hvwire.ConfirmAck {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(req.Stream)
	return hvwire.ConfirmAck{Round: req.Round, Loaded: t.mayConfirm(s), LogReachable: t.logReachable(), Epoch: s.epoch}
}

// mayConfirm reports whether this gate may take part in rounds of a stream: only
// once it cannot have acknowledged a newer epoch before a restart and lost it.
func (t *Tracker) mayConfirm(s *stream) bool {
	return !s.confirmsFrom.IsZero() && !s.confirmsFrom.After(t.clock.Now())
}
