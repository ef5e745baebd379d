package hvcell

import "testing"

// Guards against a node that was restarted beside its executor and does not know which of
// the runs there have a latency target: it slows nothing down for them.
func TestRestartedNodeGetsProfiles(t *testing.T) {
	w := newSimCluster(t, 1)
	w.attachAll()
	serving := testStep(1, 1000)
	serving.LatencyTarget, serving.LongRunning, serving.Image = 50, true, "service"
	w.submit(urgentJob(serving))
	w.exchange()
	w.cell.NodeDetached(w.now, "host-0")
	w.attach("host-0")
	o := w.deliver("host-0")
	if len(o.Profiles) != 1 || o.Profiles[0].LatencyTarget != 50 {
		t.Fatalf("orders after the attachment are %+v, want the profile of the run", o)
	}
}
