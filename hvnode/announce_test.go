package hvnode

import (
	"testing"

	"hibiscusvane.example/hibiscusvane/hvorder"
)

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
