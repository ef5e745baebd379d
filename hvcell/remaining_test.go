package hvcell

import (
	"testing"
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// Guards against reservations and preemption that rest on estimates although runs report
// their progress: it is recorded under each policy, not only if slow runs are moved.
func TestRestIsMeasuredWithoutRelocation(t *testing.T) {
	w := newLoadedCluster(t, 1, 0, Policy{Backfill: true}, hvjob.Step{})
	w.savedStates, w.hosts["host-0"].speed = true, 10
	s := testStep(1, 1000)
	s.Estimate = 1000
	w.endless = w.submit(urgentJob(s)).ID
	w.run(2 * time.Second)
	runs := w.cell.hosts["host-0"].runs
	if len(runs) != 1 {
		t.Fatalf("%d runs, want 1", len(runs))
	}
	for _, r := range runs {
		// At 10 percent per second 8 s are left after 2 s.
		if after, ok := w.cell.expectedRelease(w.now, r); !ok || after < 7*time.Second || after > 9*time.Second {
			t.Errorf("the run is expected to end after %v, %v; want 7 to 9 s", after, ok)
		}
	}
}
