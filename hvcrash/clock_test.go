package hvcrash

import (
	"testing"
	"time"
)

// Guards against crashes and rates of an owner whose clock is ahead that count at the next
// owner until its clock has caught up: a rack counts as losing its hosts for all that time,
// which explains each crash there, and a queue stays under suspicion.
func TestStateOfOwnerWithClockAheadIsForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, ahead := range []time.Duration{5 * time.Second, time.Hour} {
		earlier := now.Add(ahead)
		var history, next History
		history.Add(earlier, "first", "rack", 1)
		next.Restore(history.State())
		if next.RackUnsteady(now, "rack") {
			t.Errorf("%v ahead: the rack is unsteady", ahead)
		}
		if got := next.Background(now, "second", "rack", 11); got > 2*minBackground {
			t.Errorf("%v ahead: a host beside it crashes at a rate of %.3f, want about %.3f", ahead, got, minBackground)
		}
	}
	var history History
	history.Add(now.Add(time.Hour), "first", "rack", 1)
	if got := history.Background(now, "first", "rack", 1); got != minBackground {
		t.Errorf("the host crashes at a rate of %.3f, want %.3f without the crash an hour ahead", got, minBackground)
	}
	var rates, next Rates
	rates.Observe(now.Add(time.Hour), "queue", true)
	next.Restore(rates.State())
	if got := next.Prior(now, "queue"); got > 2*basePrior {
		t.Errorf("a job of the queue crashes hosts with a probability of %.5f, want about %.5f", got, basePrior)
	}
}
