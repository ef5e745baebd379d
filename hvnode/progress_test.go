package hvnode

import (
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Guards against slow runs without checkpoints that the owner never hears of, and against
// reports that list every run every time.
func TestProgressOfOldRunsIsReported(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := progressReports{wanted: true}
	rows, percent := 0, 0
	for i := range 101 {
		// The percentage of the run changes every 0.2 s, that of the other never; a third is
		// in the report anyway.
		percent = i / 2
		listed := []hv.RunState{{Task: "moving", Run: 1, Percent: percent, SavedState: "state"}, {Task: "serving", Run: 1, Percent: 100}, {Task: "saved", Run: 1, Percent: percent}}
		for _, r := range p.selectDue(now, listed, map[hvorder.Run]bool{{Task: "saved", Run: 1}: true}) {
			if rows++; r != (hv.RunState{Task: "moving", Run: 1, Percent: percent}) {
				t.Fatalf("reported %+v at %d%%", r, percent)
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	if rows < 9 || rows > 10 {
		t.Errorf("%d rows within 10 s, want one a second", rows)
	}
	p.wanted = false
	if got := p.selectDue(now.Add(time.Minute), []hv.RunState{{Task: "moving", Run: 1, Percent: 60}}, nil); got != nil {
		t.Errorf("reported %v, which the owner has not asked for", got)
	}
}
