package hvguard

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// None is the baseline: it never acts.
type None struct{}

var _ hv.Guard = None{}

// Decide implements hibiscusvane.Guard.
func (None) Decide(time.Time, float64, []hv.RunningAttempt) []hv.GuardAction { return nil }
