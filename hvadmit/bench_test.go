package hvadmit

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// BenchmarkRefuse measures the cost of each refused request under overload.
func BenchmarkRefuse(b *testing.B) {
	a := New(&fakeClock{now: time.Unix(1000, 0)}, simSettings(), func(n int, m string) { b.Errorf("invariant %d: %s", n, m) })
	a.SetLimit("labels", 1)
	req := hv.Request{Service: "labels", Class: hv.Batch, Caller: "sheets", Remaining: hv.Duration(simDeadline)}
	for range 100 {
		a.enqueue(req, nil)
	}
	b.ReportAllocs()
	for b.Loop() {
		if t, _ := a.enqueue(req, nil); t != nil {
			b.Fatal("the request was not refused")
		}
	}
}
