package hvmember

import (
	"sort"
	"time"

	"hibiscusvane.example/hibiscusvane/hvwire"
)

// maxGates bounds the number of gates in the table.
const maxGates = 64

type gate struct {
	heartbeat hvwire.PeerHeartbeat
	lastSeen  time.Time
}

// PeerHeartbeat records the heartbeat of another gate. It ignores an incarnation
// that is older than the current one while that is alive.
func (t *Table) PeerHeartbeat(p hvwire.PeerHeartbeat) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	g, ok := t.gates[p.Name]
	switch {
	case !ok && len(t.gates) >= maxGates:
		return
	case ok && older(p.Incarnation, g.heartbeat.Incarnation) && now.Sub(g.lastSeen) < HeartbeatTimeout:
		return
	}
	t.gates[p.Name] = gate{heartbeat: p, lastSeen: now}
	for name, g := range t.gates {
		if now.Sub(g.lastSeen) > removeAfter {
			delete(t.gates, name)
		}
	}
}

// Gates returns the other gates that are alive, sorted by name.
func (t *Table) Gates() []hvwire.PeerHeartbeat {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var list []hvwire.PeerHeartbeat
	for _, g := range t.gates {
		if now.Sub(g.lastSeen) < HeartbeatTimeout {
			list = append(list, g.heartbeat)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}
