package hvslot

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Bounds of the recorded answers. They only serve gates that lost an answer;
// without one the outcome is unknown.
const (
	answerLimit = 1024
	answerBytes = 8 << 20
)

type answer struct {
	hv.Response
	at time.Time
}

// answers keeps the newest answers for the horizon.
type answers struct {
	byID  map[string]answer
	order []string
	bytes int
}

func newAnswers() *answers { return &answers{byID: map[string]answer{}} }

func (a *answers) add(ans hv.Response, now time.Time) {
	if _, ok := a.byID[ans.ID]; ok || len(ans.Body) > answerBytes {
		return
	}
	a.byID[ans.ID] = answer{ans, now}
	a.order = append(a.order, ans.ID)
	a.bytes += len(ans.Body)
	for len(a.order) > answerLimit || a.bytes > answerBytes || now.Sub(a.byID[a.order[0]].at) > horizon {
		first := a.order[0]
		a.bytes -= len(a.byID[first].Body)
		delete(a.byID, first)
		a.order = a.order[1:]
	}
}
