package hvmember_test

import (
	"fmt"
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Guards against counting gates that are silent, replaced or over the limit: the
// slots are divided by the number of gates.
func TestGates(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	m := hvmember.New(c)
	first, second := newIncarnation(t), newIncarnation(t)
	expect := func(what string, want ...string) {
		t.Helper()
		var got []string
		for _, g := range m.Gates() {
			got = append(got, g.Name+"/"+g.Incarnation)
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Errorf("%s: gates are %v, want %v", what, got, want)
		}
	}
	expect("empty table")
	m.PeerHeartbeat(hvwire.PeerHeartbeat{Name: "g2", Incarnation: second})
	m.PeerHeartbeat(hvwire.PeerHeartbeat{Name: "g1", Incarnation: first})
	expect("two gates", "g1/"+first, "g2/"+second)
	m.PeerHeartbeat(hvwire.PeerHeartbeat{Name: "g2", Incarnation: first})
	expect("late heartbeat of a replaced process", "g1/"+first, "g2/"+second)
	m.PeerHeartbeat(hvwire.PeerHeartbeat{Name: "g1", Incarnation: second})
	expect("new process", "g1/"+second, "g2/"+second)
	c.now = c.now.Add(hvmember.HeartbeatTimeout - 1)
	m.PeerHeartbeat(hvwire.PeerHeartbeat{Name: "g1", Incarnation: second})
	c.now = c.now.Add(1)
	expect("silent gate", "g1/"+second)
	// The clock of a host may go back, so an older creation time is refused only
	// while the current process is alive.
	m.PeerHeartbeat(hvwire.PeerHeartbeat{Name: "g2", Incarnation: first})
	expect("older creation time after the timeout", "g1/"+second, "g2/"+first)
	for i := range 100 {
		m.PeerHeartbeat(hvwire.PeerHeartbeat{Name: fmt.Sprint("x", i), Incarnation: first})
	}
	if n := len(m.Gates()); n != 64 {
		t.Errorf("got %d gates, want the limit of 64", n)
	}
}
