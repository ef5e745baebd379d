// Package hvquorum tells a gate how long it may rely on its view of a stream:
// whether any newer ownership record can be in effect that it does not know.
package hvquorum

import (
	"slices"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Config holds the constants of a tracker.
type Config struct {
	// Gate and Incarnation name this process.
	Gate          string
	Incarnation   string
	LeaseDuration time.Duration
	ClockMargin   time.Duration
}

// reachableWindow is how long after its last successful read a gate says that it
// reaches the log. Readers wait at most one second at the head of a stream.
const reachableWindow = 3 * time.Second

// Tracker follows the streams and the peers of one gate.
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
	// epoch is the highest epoch that the gate knows from the stream or from
	// a peer, and known is when it learnt of it. A gate that knows an epoch
	// confirms no older one, whether it has read the records or not.
	epoch      int64
	knownSince time.Time
	// confirmsFrom is when the gate may begin to answer rounds; zero means never.
	confirmsFrom time.Time
	// readStart and round are the starts of the last successful read to the head
	// and of the last successful majority round.
	readStart  time.Time
	roundStart time.Time
	openRound  *round
}

// New returns a tracker for the gates that the settings name.
func New(config Config, clock hv.Clock, gates []string) *Tracker {
	return &Tracker{
		config: config, clock: clock, gates: slices.Clone(gates),
		streams: make(map[string]*stream), peers: make(map[string]*peer),
	}
}

// SetGates replaces the list of gates that majorities are taken of.
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

// RecordEpoch notes the epoch of a stream after the application of its records.
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

// Epoch returns the highest epoch known of a stream, for the heartbeats to
// other gates. It reports false while the gate does not vouch for it.
func (t *Tracker) Epoch(name string) (int64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	return s.epoch, t.mayConfirm(s)
}

// RecordRead notes a read to the head of a stream that began at start. The epochs of
// the records that it returned must have been passed to Learn before.
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

// LoadedFromPeer notes that the state of a stream came from a peer, because
// the log is down. The process may have acknowledged a newer epoch before it
// was restarted, so it answers rounds only after every lease that an older
// owner held at that time has lapsed.
func (t *Tracker) LoadedFromPeer(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	if s.confirmsFrom.IsZero() {
		s.confirmsFrom = t.clock.Now().Add(t.config.LeaseDuration + t.config.ClockMargin)
	}
}

// RenewUntil returns the time up to which the owner of a stream may let leases
// run, or false if its view of the epoch is not confirmed.
func (t *Tracker) RenewUntil(name string, epoch int64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	return t.leaseEnd(s, epoch, later(s.readStart, s.roundStart))
}

// StartUntil is like RenewUntil for the first lease of an attempt. Only a read
// of the log counts: after a lapse of its view an owner that is cut off from
// the log may renew again what still runs, but an attempt that it did not
// start in time may have been placed elsewhere since.
func (t *Tracker) StartUntil(name string, epoch int64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stream(name)
	return t.leaseEnd(s, epoch, s.readStart)
}

func (t *Tracker) leaseEnd(s *stream, epoch int64, confirmed time.Time) (time.Time, bool) {
	end := confirmed.Add(t.config.LeaseDuration)
	if confirmed.IsZero() || s.epoch != epoch || !end.After(t.clock.Now()) {
		return time.Time{}, false
	}
	return end, true
}

// LogReachable reports whether the gate reached the log lately.
func (t *Tracker) LogReachable() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.logReachable()
}

func (t *Tracker) logReachable() bool {
	return !t.lastRead.IsZero() && t.clock.Now().Sub(t.lastRead) < reachableWindow
}

// majority is the least number of gates that is more than half.
func (t *Tracker) majority() int { return len(t.gates)/2 + 1 }

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
