package hvowner

import (
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvcell"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvwire"
	"hibiscusvane.example/hibiscusvane/hvwire/hvwiretest"
)

// ownerWithReplacedLink returns an owner that is attached to the node side at its second
// address, and the link to the first one with its connection.
func ownerWithReplacedLink(t *testing.T) (*Owner, *link, *hvwire.Conn) {
	t.Helper()
	logger := log.NewNopLogger()
	o := &Owner{options: Options{Clock: hv.SystemClock{}, Logger: logger}, links: map[string]*link{}}
	o.cell = hvcell.New(hvcell.Options{Logger: logger, LeaseDuration: time.Second, Health: hvhealth.New(hvhealth.Options{HostCount: o.hostCount})})
	attach := func(l *link, c *hvwire.Conn) {
		l.conn = c
		o.cell.NodeAttached(time.Now(), l.name, hvorder.Report{Incarnation: "1", Full: true, Host: &hvorder.Host{Incarnation: "1", Zone: "north"}})
	}
	node := hvledger.Node{Name: "side", Addr: "127.0.0.1:1"}
	o.NodeChanged(node, false)
	conn, err := hvwire.Dial(t.Context(), hvwiretest.Serve(t, hvwire.Mux{}), hvwire.Mux{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	old := o.links["side"]
	attach(old, conn)
	node.Addr = "127.0.0.1:2"
	o.NodeChanged(node, false)
	attach(o.links["side"], &hvwire.Conn{})
	return o, old, conn
}

// checkOrders checks that the node is connected and has orders: an evacuation has some for
// each such node.
func (o *Owner) checkOrders(t *testing.T) {
	t.Helper()
	if got := o.cell.HostsWithOrders(); !slices.Equal(got, []string{"side"}) {
		t.Fatalf("hosts %v are connected and have orders, want that with the new link", got)
	}
}

// Guards against a node that counts as disconnected although its new link is attached,
// because the link to its earlier address ends later: it gets no work any more.
func TestReplacedLinkDoesNotDetachNode(t *testing.T) {
	o, old, conn := ownerWithReplacedLink(t)
	old.detach(conn)
	o.cell.SetEvacuated([]string{"north"})
	o.checkOrders(t)
}

// Guards against orders of a new link that the link to the earlier address sends on its
// own connection, where they are lost.
func TestReplacedLinkTakesNoOrders(t *testing.T) {
	o, old, conn := ownerWithReplacedLink(t)
	o.cell.SetEvacuated([]string{"north"})
	if err := old.send(t.Context(), conn); hv.KindOf(err) != hv.Unavailable {
		t.Errorf("orders on the replaced link: %v, want kind unavailable", err)
	}
	o.checkOrders(t)
}
