package hvguard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Noop is the baseline guard: it never acts.
type Noop struct{}

var _ hv.Guard = Noop{}

// Decide implements hibiscusvane.Guard.
func (Noop) Decide(time.Time, float64, []hv.RunningAttempt) []hv.GuardAction { return nil }
