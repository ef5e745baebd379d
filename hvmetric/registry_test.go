package hvmetric_test

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmetric"
)

// Guards against a registry that grows without bound when callers send arbitrary
// names.
func TestCallersAreBounded(t *testing.T) {
	r := hvmetric.New(2)
	for i := range 100 {
		r.Count("hv_requests_total", fmt.Sprint("caller", i), hv.Batch, 1)
		r.Observe("hv_took_us", fmt.Sprint("caller", i), hv.Batch, time.Millisecond)
	}
	var b strings.Builder
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(b.String(), "hv_requests_total"); n != 3 {
		t.Errorf("%d series, want 3:\n%s", n, &b)
	}
	if !strings.Contains(b.String(), `hv_requests_total{caller="other",class="batch"} 98`) {
		t.Errorf("callers beyond the limit are not counted under other:\n%s", &b)
	}
}

func ExampleRegistry_Write() {
	r := hvmetric.New(hvmetric.DefaultCallerLimit)
	r.Count("hv_requests_total", "weights", hv.Urgent, 2, "outcome", "done")
	r.ReportViolation(5, "request 17 was run after all")
	_ = r.Write(os.Stdout)
	// Output:
	// hv_requests_total{caller="weights",class="urgent",outcome="done"} 2
	// hv_series_dropped_total 0
	// hv_violations_total{invariant="5"} 1
}
