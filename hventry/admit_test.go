package hventry

import (
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvshed"
)

// Guards against requests that are refused because the queue of the owner before was full.
func TestQueueOfEarlierOwnerDoesNotCount(t *testing.T) {
	g := New(Options{Name: "gate", Clock: hv.SystemClock{}, Metrics: hvmetric.New(4), Logger: log.NewNopLogger()})
	g.ClaimChanged(hvledger.Claim{Epoch: 1, Name: "first", Process: "first"})
	full := hvshed.Load{ResponseMS: 300, Records: hvshed.MaxQueued, Bytes: hvshed.MaxBytes}
	g.admission.putEnds(g.admission.putBegins(), full, nil)
	g.ClaimChanged(hvledger.Claim{Epoch: 1, Name: "first", Process: "first", Released: true})
	g.ClaimChanged(hvledger.Claim{Epoch: 2, Name: "second", Process: "second"})
	load := g.admission.remoteLoad()
	if d := hvshed.Decide(g.admission.state(load), 3*time.Second, false); d.Outcome == hvshed.Refused {
		t.Errorf("a request to the second owner is refused: %+v", d)
	}
	if !g.admission.storeIsSlow() {
		t.Error("the store no longer counts as slow, although only the owner changed")
	}
}
