// Package hvquorum tracks for how long a gate may rely on what it knows of a stream,
// that is, for how long no ownership record that it does not know can be in effect.
package hvquorum

import (
	"slices"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Config holds the constants of a Tracker.
type Config struct {
	// Gate and Incarnation identify this process.
	Gate          string
	Incarnation   string
	LeaseDuration time.Duration
	ClockMargin   time.Duration
}

// reachableWindow is the time after the last successful read for which the log
// counts as reachable. It exceeds the wait of a read at the head of a stream, which
// is one second at most.
const reachableWindow = 3 * time.Second

// Tracker tracks the streams and the peers of a gate. It is safe for concurrent
// use.
type Tracker struct {
	mu        sync.Mutex
	config    Config
	clock     hv.Clock
	gates     []string
	streams   map[string]*stream
	peers     map[string]*peer
	lastRead  time.Time
	lastRound uint64
}

type stream struct {
	// epoch is the highest epoch that the gate knows from the stream or from a
	// peer, and knownSince is when it learned of it. A gate that knows an epoch
	// confirms no older one, whether it has read the records or not.
	epoch      int64
	knownSince time.Time
	// confirmsFrom is the time from which on the gate may confirm rounds. Zero
	// means never.
	confirmsFrom time.Time
	// readStart and roundStart are when the last successful read to the head of
	// the stream and the last successful majority round began.
	readStart  time.Time
	roundStart time.Time
	openRound  *round
}

// New returns a tracker for the gates that the settings list.
func New(config Config, clock hv.Clock, gates []string) *Tracker {
	return &Tracker{
		config: config, clock: clock, gates: slices.Clone(gates),
		streams: make(map[string]*stream), peers: make(map[string]*peer),
	}
}

// SetGates replaces the list of gates, of which a majority must confirm.
func (t *Tracker) SetGates(gates []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gates = slices.Clone(gates)
	for name := range t.peers {
		if !slices.Contains(t.gates, name) {
			delete(t.peers, name)
		}
	}
}

func (t *Tracker) stream(name string) *stream {
	s := t.streams[name]
	if s == nil {
		s = &stream{}
		t.streams[name] = s
	}
	return s
}

// RecordEpoch records the epoch of a stream after its records were applied.
func (t *Tracker) RecordEpoch(name string, epoch int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stream(name).recordEpoch(epoch, t.clock.Now())
}

func (s *stream) recordEpoch(epoch int64, now time.Time) {
	if epoch > s.epoch {
		s.epoch, s.knownSince = epoch, now
	}
}

// Epoch returns the highest known epoch of a stream, which heartbeats carry to
// other gates. It returns false while the gate may not confirm rounds of the
// stream.
func (t *Tracker) Epoch(name string) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	return s.epoch, t.mayConfirm(s)
}

// RecordRead records a read to the head of a stream that began at start. The epochs
// of the records that the read returned must be passed to RecordEpoch before.
func (t *Tracker) RecordRead(name string, start time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	now := t.clock.Now()
	t.lastRead = later(t.lastRead, now)
	s.readStart = later(s.readStart, start)
	if s.confirmsFrom.IsZero() || s.confirmsFrom.After(now) {
		s.confirmsFrom = now
	}
}

// LoadedFromPeer records that the state of a stream was loaded from a peer because
// the log is not reachable. Before a restart this gate may have acknowledged a newer
// epoch, so it confirms rounds only after every lease that an older owner held at
// that time has expired.
func (t *Tracker) LoadedFromPeer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	if s.confirmsFrom.IsZero() {
		s.confirmsFrom = t.clock.Now().Add(t.config.LeaseDuration + t.config.ClockMargin)
	}
}

// RenewUntil returns the latest end for leases that the owner of a stream renews.
// It returns false if the epoch is not confirmed as the newest.
func (t *Tracker) RenewUntil(name string, epoch int64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	return t.leaseEnd(s, epoch, later(s.readStart, s.roundStart))
}

// StartUntil is like RenewUntil, for the first lease of an attempt. Only a read of
// the log confirms the epoch here. An owner that is disconnected from the log and
// whose confirmation had expired may renew leases of running attempts again after a
// round, but an attempt that it did not start in time may have been placed elsewhere
// since.
func (t *Tracker) StartUntil(name string, epoch int64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	return t.leaseEnd(s, epoch, s.readStart)
}

// leaseEnd returns the latest lease end for an epoch that was confirmed as of a
// point in time.
func (t *Tracker) leaseEnd(s *stream, epoch int64, confirmed time.Time) (time.Time, bool) {
	end := confirmed.Add(t.config.LeaseDuration)
	if confirmed.IsZero() || s.epoch != epoch || !end.After(t.clock.Now()) {
		return time.Time{}, false
	}
	return end, true
}

// LogReachable reports whether the gate has read from the log recently.
func (t *Tracker) LogReachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.logReachable()
}

func (t *Tracker) logReachable() bool {
	return !t.lastRead.IsZero() && t.clock.Now().Sub(t.lastRead) < reachableWindow
}

// IsMajority reports whether the named gates include a majority of the listed ones.
func (t *Tracker) IsMajority(names []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, name := range t.gates {
		if slices.Contains(names, name) {
			n++
		}
	}
	return n >= t.majority()
}

// majority returns the smallest number of gates that is more than half.
func (t *Tracker) majority() int { return len(t.gates)/2 + 1 }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
