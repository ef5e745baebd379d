package hvmember_test

import (
	"fmt"
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Guards against gates that are counted although they are silent, replaced or
// beyond the bound: the count divides the slots between gates.
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
	// The clock of a host may go back, so an older time loses only against a
	// process that is alive.
	m.PeerHeartbeat(hvwire.PeerHeartbeat{Name: "g2", Incarnation: first})
	expect("older time after silence", "g1/"+second, "g2/"+first)
	for i := range 100 {
		m.PeerHeartbeat(hvwire.PeerHeartbeat{Name: fmt.Sprint("x", i), Incarnation: first})
	}
	if n := len(m.Gates()); n != 64 {
		t.Errorf("%d gates are kept, the bound is 64", n)
	}
}
