package hvnode

import (
	"testing"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// Guards against tasks that run again although they were done: their executor has ended, and
// the owner that got their ends was replaced before it had stored them.
func TestLastEndsAreKeptUntilStored(t *testing.T) {
	n, _ := newClockedNode(t)
	done := hv.RunEnd{Number: 1, Task: "done", Run: 1, Reason: hv.EndDone}
	n.applyState(hv.ExecutorState{Incarnation: "1", ClockMS: 1, Ended: []hv.RunEnd{done}}, n.currentVersion())
	n.refuse()
	conn := &hvwire.Conn{}
	n.attachConn(t, conn, 3)
	_, r, _ := n.nextReport()
	n.handleGrant(conn, r, hvorder.Grant{})
	r = n.attachConn(t, conn, 4)
	if len(r.LastEnds) != 1 || r.LastEndNumber != 1 {
		t.Fatalf("last ends in the report to the next owner are %v up to %d, want that of the task", r.LastEnds, r.LastEndNumber)
	}
	if _, r, _ := n.nextReport(); len(r.LastEnds) > 0 {
		t.Fatalf("last ends are repeated on one connection: %v", r.LastEnds)
	}
	n.handleGrant(conn, r, hvorder.Grant{AckedLastEnd: 1})
	if r := n.attachConn(t, conn, 4); len(r.LastEnds) > 0 {
		t.Fatalf("last ends that are stored are reported again: %v", r.LastEnds)
	}
}

// attachConn attaches a connection of an owner and returns the first report.
func (n *Node) attachConn(t *testing.T, conn *hvwire.Conn, epoch int64) hvorder.Report {
	t.Helper()
	r, err := n.attach(t.Context(), conn, hvorder.Attach{Epoch: epoch, Owner: "gate"})
	if err != nil {
		t.Fatal(err)
	}
	return r
}
