package hibiscusvane

import "time"

// Times that all processes of a deployment must agree on. They are not settings:
// a change that reaches one process before another would let a lease last longer
// than its owner assumes.
const (
	// LeaseDuration is how long an attempt lasts without renewal.
	LeaseDuration = 10 * time.Second
	// ClockMargin bounds the drift between two clocks during a lease.
	ClockMargin = 500 * time.Millisecond
)
