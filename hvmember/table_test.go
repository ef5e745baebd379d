package hvmember_test

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

// conn is a connection that is never called. It has a field because pointers to
// empty structs may be equal.
type conn struct{ _ int }

func (*conn) Call(context.Context, string, any, any) error { return nil }
func (*conn) Done() <-chan struct{}                        { return nil }

func newIncarnation(t *testing.T) string {
	u, err := uuid.NewV7()
	if err != nil {
		t.Fatal(err)
	}
	return u.String()
}

func newAnnounce(inc string) hvwire.Announce {
	return hvwire.Announce{Host: hv.Host{Name: "h1"}, Incarnation: inc, Service: "labels", Slots: 8}
}

func usableIncarnation(m *hvmember.Table) string {
	list := m.Usable("labels")
	if len(list) == 0 {
		return ""
	}
	return list[0].Incarnation
}

// Guards against late messages of a replaced process that change the state of the
// new one.
func TestLateMessagesOfReplacedIncarnation(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	m := hvmember.New(c)
	first, second := newIncarnation(t), newIncarnation(t)
	c1, c2 := &conn{}, &conn{}
	for _, step := range []struct {
		inc  string
		conn *conn
	}{{first, c1}, {second, c2}} {
		if err := m.Announce(newAnnounce(step.inc), step.conn); err != nil {
			t.Fatal(err)
		}
	}
	if err := m.Announce(newAnnounce(first), c1); hv.KindOf(err) != hv.Conflict {
		t.Errorf("late announcement: %v, want a conflict", err)
	}
	if err := m.Heartbeat(hvwire.Heartbeat{Incarnation: first, Sequence: 9}, c1); hv.KindOf(err) != hv.NotFound {
		t.Errorf("late heartbeat: %v, want not found", err)
	}
	m.Leave(hvwire.Leave{Host: "h1", Incarnation: first})
	m.ConnectionLost("h1", c1)
	for range 5 {
		m.CallFailed("h1", first)
	}
	if got := usableIncarnation(m); got != second {
		t.Errorf("usable incarnation is %q, want %q", got, second)
	}
	third := newIncarnation(t)
	fresh := hvmember.New(c)
	if err := fresh.Announce(newAnnounce(third), c2); err != nil {
		t.Fatal(err)
	}
	if err := fresh.Announce(newAnnounce(second), c1); hv.KindOf(err) != hv.Conflict {
		t.Errorf("announcement of an older, unknown incarnation: %v, want a conflict", err)
	}
}

// Guards against new work for a side that is silent, disconnected, failing or
// leaving.
func TestUnusableSides(t *testing.T) {
	inc := newIncarnation(t)
	for _, test := range []struct {
		name     string
		event    func(*clock, *hvmember.Table, *conn)
		recovers bool // the side is usable again after its next heartbeat
	}{
		{"silent", func(c *clock, _ *hvmember.Table, _ *conn) { c.now = c.now.Add(hvmember.HeartbeatTimeout) }, true},
		{"connection lost", func(_ *clock, m *hvmember.Table, cn *conn) { m.ConnectionLost("h1", cn) }, false},
		{"failed calls", func(_ *clock, m *hvmember.Table, _ *conn) {
			for range 3 {
				m.CallFailed("h1", inc)
			}
		}, true},
		{"leave", func(_ *clock, m *hvmember.Table, _ *conn) { m.Leave(hvwire.Leave{Incarnation: inc}) }, false},
		{"leaving heartbeat", func(_ *clock, m *hvmember.Table, cn *conn) {
			_ = m.Heartbeat(hvwire.Heartbeat{Incarnation: inc, Sequence: 2, Leaving: true}, cn)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c, cn := &clock{now: time.Unix(1000, 0)}, &conn{}
			m := hvmember.New(c)
			if err := m.Announce(newAnnounce(inc), cn); err != nil || usableIncarnation(m) != inc {
				t.Fatalf("announced side is not usable: %v", err)
			}
			test.event(c, m, cn)
			if got := usableIncarnation(m); got != "" {
				t.Errorf("side %s is still usable", got)
			}
			if err := m.Heartbeat(hvwire.Heartbeat{Incarnation: inc, Sequence: 3}, cn); err != nil {
				t.Fatal(err)
			}
			if recovers := usableIncarnation(m) == inc; recovers != test.recovers {
				t.Errorf("usable after the next heartbeat: %v, want %v", recovers, test.recovers)
			}
		})
	}
}
