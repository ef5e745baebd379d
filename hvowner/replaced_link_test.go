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
)

// Guards against a node that counts as disconnected although its new link is attached,
// because the link to its earlier address ends later: it gets no work any more.
func TestReplacedLinkDoesNotDetachNode(t *testing.T) {
	logger := log.NewNopLogger()
	o := &Owner{options: Options{Clock: hv.SystemClock{}, Logger: logger}, links: map[string]*link{}}
	o.cell = hvcell.New(hvcell.Options{Logger: logger, LeaseDuration: time.Second, Health: hvhealth.New(hvhealth.Options{HostCount: o.hostCount})})
	attach := func(l *link, c *hvwire.Conn) {
		l.conn = c
		o.cell.NodeAttached(time.Now(), l.name, hvorder.Report{Incarnation: "1", Full: true, Host: &hvorder.Host{Incarnation: "1", Zone: "north"}})
	}
	node := hvledger.Node{Name: "side", Addr: "127.0.0.1:1"}
	o.NodeChanged(node, false)
	old, oldConn := o.links["side"], &hvwire.Conn{}
	attach(old, oldConn)
	node.Addr = "127.0.0.1:2"
	o.NodeChanged(node, false)
	attach(o.links["side"], &hvwire.Conn{})
	old.detach(oldConn)
	// An evacuation has orders for each node that is connected.
	o.cell.SetEvacuated([]string{"north"})
	if got := o.cell.HostsWithOrders(); !slices.Equal(got, []string{"side"}) {
		t.Fatalf("hosts %v are connected, want that with the new link", got)
	}
}
