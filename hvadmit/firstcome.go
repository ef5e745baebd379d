package hvadmit

import hv "hibiscusvane.example/hibiscusvane"

// NewFIFO returns the baseline: one queue per service in the order of
// arrival, without classes, callers or shares.
func NewFIFO(clock hv.Clock, set Settings, violations func(invariant int, message string)) *Admitter {
	a := New(clock, set, violations)
	a.flat = true
	return a
}
