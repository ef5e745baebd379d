package hibiscusvane

import "time"

// Times that all processes of a deployment must agree on. They are not
// settings, because a change that reaches one process before another would let
// a lease outlast what its owner assumes.
const (
	// Lease is how long an attempt lasts without renewal.
	Lease = 10 * time.Second
	// Margin bounds the drift between two clocks within a lease.
	Margin = 500 * time.Millisecond
)
