package hvnode

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against an executor that is not used any more because the exit notice of its last
// start was handled after the first heartbeat of the present one, and against one that is used
// again although it has exited.
func TestExitNoticeOfEarlierStartIsUndone(t *testing.T) {
	for name, c := range map[string]struct {
		incarnation string
		requested   time.Duration
		exiting     bool
	}{
		"goes on":            {"1", exitTimeout, false},
		"call before exit":   {"1", exitTimeout / 2, true},
		"another executor":   {"2", exitTimeout, true},
		"call long before":   {"1", -time.Second, true},
		"goes on for longer": {"1", time.Minute, false},
	} {
		t.Run(name, func(t *testing.T) {
			n, clock := newClockedNode(t)
			n.Leave("i-1")
			n.Leave("i-1")
			version := n.currentVersion()
			version.requestedAt = version.requestedAt.Add(c.requested)
			clock.advance(time.Hour)
			n.applyState(hv.ExecutorState{Incarnation: c.incarnation, ClockMS: 1}, version)
			if n.host.Exiting != c.exiting || n.host.Draining != c.exiting {
				t.Fatalf("host is %+v, want exiting %v", *n.host, c.exiting)
			}
			if got := n.crash.leaving != ""; got != c.exiting {
				t.Errorf("an end of the executor is expected: %v, want %v", got, c.exiting)
			}
		})
	}
}

// Guards against tasks that are started on an executor that has exited, and against its
// registration that is kept for good: a heartbeat from before its exit arrives after it on
// another connection.
func TestHeartbeatAfterExitIsIgnored(t *testing.T) {
	n, _ := newClockedNode(t)
	n.Leave("i-1")
	n.Announce("i-1", hvorder.Host{Incarnation: "1"})
	if !n.host.Exiting {
		t.Fatalf("host is %+v after a late heartbeat, want it exiting", *n.host)
	}
	n.Announce("i-1", hvorder.Host{Incarnation: "2"})
	if n.host.Exiting || n.host.Incarnation != "2" {
		t.Fatalf("host is %+v after the next start of the executor, want that one", *n.host)
	}
}
