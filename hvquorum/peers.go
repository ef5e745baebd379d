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
	incarnation   string
	leaving       bool
	noSides       bool
	lastHeartbeat time.Time
	acked         map[string]ackedEpoch
}

// ackedEpoch is the epoch of a stream that a peer acknowledged, and when this gate
// learned of it.
type ackedEpoch struct {
	epoch int64
	since time.Time
}

// Peer is a gate that has sent a heartbeat recently, or this gate itself.
type Peer struct {
	Name        string
	Incarnation string
	Leaving     bool
	// NoSides is set if the gate receives heartbeats of no side.
	NoSides bool
}

// RecordHeartbeat records a heartbeat of another gate and the epochs in it. The
// function streamName maps the index of a shard to the name of its stream.
func (t *Tracker) RecordHeartbeat(hb hvwire.PeerHeartbeat, streamName func(shard int) string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Contains(t.gates, hb.Name) || hb.Name == t.config.Gate {
		return
	}
	now := t.clock.Now()
	p := t.peers[hb.Name]
	if p == nil || p.incarnation != hb.Incarnation {
		// A restarted gate no longer has the epochs that it acknowledged.
		p = &peer{incarnation: hb.Incarnation, acked: make(map[string]ackedEpoch)}
		t.peers[hb.Name] = p
	}
	p.leaving, p.noSides, p.lastHeartbeat = hb.Leaving, hb.NoSides, now
	for shard, epoch := range hb.Epochs {
		name := streamName(shard)
		p.recordEpoch(name, epoch, now)
		t.stream(name).recordEpoch(epoch, now)
	}
	if hb.NextKeysOffset >= 0 {
		p.recordEpoch(KeysStream, int64(hb.NextKeysOffset), now)
		t.stream(KeysStream).recordEpoch(int64(hb.NextKeysOffset), now)
	}
}

func (p *peer) recordEpoch(name string, epoch int64, now time.Time) {
	if a, ok := p.acked[name]; !ok || epoch > a.epoch {
		p.acked[name] = ackedEpoch{epoch, now}
	}
}

// AcknowledgedSince returns the time since when this gate has known that a majority
// of the gates knows an epoch of a stream.
//
// If there are two gates, the acknowledgement of one is enough, because every round
// of the other gate needs its response. Otherwise the loss of one gate would prevent
// tasks from being placed again until that gate returns. The settings must then
// have been read after the acknowledgement and still list two gates, because in a
// list of three the other two gates are a majority.
func (t *Tracker) AcknowledgedSince(name string, epoch int64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var times []time.Time
	for _, gate := range t.gates {
		if since, ok := t.gateAcknowledgedSince(gate, name, epoch); ok {
			times = append(times, since)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	if len(times) == 1 && len(t.gates) == 2 {
		return times[0], t.stream(SettingsStream).readStart.After(times[0])
	}
	if len(times) < t.majority() {
		return time.Time{}, false
	}
	return times[t.majority()-1], true
}

func (t *Tracker) gateAcknowledgedSince(gate, name string, epoch int64) (time.Time, bool) {
	if gate == t.config.Gate {
		s := t.stream(name)
		return s.knownSince, s.epoch >= epoch && !s.knownSince.IsZero()
	}
	if p := t.peers[gate]; p != nil {
		a, ok := p.acked[name]
		return a.since, ok && a.epoch >= epoch
	}
	return time.Time{}, false
}

// Live returns this gate and the gates that sent a heartbeat within a period,
// sorted by name.
func (t *Tracker) Live(within time.Duration) []Peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	live := []Peer{{Name: t.config.Gate, Incarnation: t.config.Incarnation}}
	for name, p := range t.peers {
		if now.Sub(p.lastHeartbeat) < within {
			live = append(live, Peer{Name: name, Incarnation: p.incarnation, Leaving: p.leaving, NoSides: p.noSides})
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
