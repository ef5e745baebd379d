package hvadmit

import hv "hibiscusvane.example/hibiscusvane"

// NewFIFO returns an admitter with one first-in, first-out queue per service
// that ignores classes, callers and shares. It is the baseline of comparisons.
func NewFIFO(clock hv.Clock, settings Settings, violations func(invariant int, message string)) *Admitter {
	a := New(clock, settings, violations)
	a.singleQueue = true
	return a
}
