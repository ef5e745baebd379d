package hvnode

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// progressInterval is the least age of a run whose progress is reported without a new
// saved state, and the least time between two such reports of it. Shorter runs end before
// the owner could act on them.
const progressInterval = time.Second

// progressReports decides which runs are reported because of their progress. They are
// added to reports that are sent anyway.
type progressReports struct {
	// wanted is true if the owner has asked for them.
	wanted bool
	// reported holds the last reported percentage of each run, or the first listed one.
	reported map[hvorder.Run]reportedPercent
}

type reportedPercent struct {
	percent int
	at      time.Time
}

// selectDue returns the listed runs whose progress is due. Those in sent are in the report
// with their saved states.
func (p *progressReports) selectDue(now time.Time, listed []hv.RunState, sent map[hvorder.Run]bool) []hv.RunState {
	if !p.wanted {
		return nil
	}
	var out []hv.RunState
	current := make(map[hvorder.Run]reportedPercent, len(listed))
	for _, r := range listed {
		run := runOf(r)
		last, known := p.reported[run]
		switch {
		case !known || sent[run]:
			last = reportedPercent{r.Percent, now}
		case r.Percent != last.percent && now.Sub(last.at) >= progressInterval:
			last = reportedPercent{r.Percent, now}
			out = append(out, hv.RunState{Task: r.Task, Run: r.Run, Percent: r.Percent})
		}
		current[run] = last
	}
	p.reported = current
	return out
}
