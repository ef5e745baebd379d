package hvquorum

import (
	"slices"
	"time"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// KeysStream is the name of the stream of the key-slot table.
const KeysStream = "keys"

// SettingsStream is the name of the stream that holds the list of gates.
const SettingsStream = "config"

// peer is another gate as its heartbeats describe it.
type peer struct {
	incarnation string
	leaving     bool
	blind       bool
	seen        time.Time
	acks        map[string]ack
}

// ack is what a peer knows of a stream, and since when this gate knows that.
type ack struct {
	epoch int64
	since time.Time
}

// Peer is a gate that was heard of lately.
type Peer struct {
	Name        string
	Incarnation string
	Leaving     bool
	// NoSides gates hear no side.
	NoSides bool
}

// RecordHeartbeat notes a heartbeat of another gate. Stream maps the index of a shard to
// the name of its stream.
func (t *Tracker) RecordHeartbeat(m hvwire.PeerHeartbeat, stream func(shard int) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Contains(t.gates, m.Name) || m.Name == t.config.Gate {
		return
	}
	now := t.clock.Now()
	p := t.peers[m.Name]
	if p == nil || p.incarnation != m.Incarnation {
		// A restarted gate has forgotten what it acknowledged.
		p = &peer{incarnation: m.Incarnation, acks: make(map[string]ack)}
		t.peers[m.Name] = p
	}
	p.leaving, p.blind, p.seen = m.Leaving, m.NoSides, now
	for shard, epoch := range m.Epochs {
		name := stream(shard)
		p.hear(name, epoch, now)
		t.stream(name).learn(epoch, now)
	}
	if m.NextKeysOffset >= 0 {
		p.hear(KeysStream, int64(m.NextKeysOffset), now)
		t.stream(KeysStream).learn(int64(m.NextKeysOffset), now)
	}
}

func (p *peer) hear(name string, epoch int64, now time.Time) {
	if a, ok := p.acks[name]; !ok || epoch > a.epoch {
		p.acks[name] = ack{epoch, now}
	}
}

// AcknowledgedSince reports since when this gate knows that a majority of the gates
// knows an epoch of a stream.
//
// Of two gates one is enough, as every round of the other needs its answer;
// otherwise the loss of one gate would keep tasks from being placed again until
// it returns. A read of the settings after the acknowledgement must have shown
// that there are still two, because in a list of three the other two gates are
// a majority.
func (t *Tracker) AcknowledgedSince(name string, epoch int64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var times []time.Time
	for _, gate := range t.gates {
		if since, ok := t.acked(gate, name, epoch); ok {
			times = append(times, since)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	if len(times) == 1 && len(t.gates) == 2 {
		return times[0], t.stream(SettingsStream).read.After(times[0])
	}
	if len(times) < t.majority() {
		return time.Time{}, false
	}
	return times[t.majority()-1], true
}

func (t *Tracker) acked(gate, name string, epoch int64) (time.Time, bool) {
	if gate == t.config.Gate {
		s := t.stream(name)
		return s.known, s.epoch >= epoch && !s.known.IsZero()
	}
	if p := t.peers[gate]; p != nil {
		a, ok := p.acks[name]
		return a.since, ok && a.epoch >= epoch
	}
	return time.Time{}, false
}

// Live returns the gates heard within a period, this one included, by name.
func (t *Tracker) Live(within time.Duration) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	live := []Peer{{Name: t.config.Gate, Incarnation: t.config.Incarnation}}
	for name, p := range t.peers {
		if now.Sub(p.seen) < within {
			live = append(live, Peer{Name: name, Incarnation: p.incarnation, Leaving: p.leaving, NoSides: p.blind})
		}
	}
	slices.SortFunc(live, func(a, b Peer) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return live
}
