package hvshed

import "time"

// slotTolerance is how far the callers that return may be ahead of the capacity: those
// that return together wait for each other no longer than this.
const slotTolerance = 500 * time.Millisecond

// Slots assigns the times at which refused callers return: spread over the expected
// capacity, and in the order in which they were refused. The zero value is ready to use.
type Slots struct {
	// last is the latest time at which a caller returns.
	last time.Time
	// free is when the callers that return by then have been served.
	free time.Time
}

// Next returns the whole number of seconds after which a caller that is refused now
// returns. The store takes appends again after wait, and serving one caller then takes
// interval.
func (s *Slots) Next(now time.Time, wait, interval time.Duration) time.Duration {
	after := wholeSeconds(max(wait, minRetry, s.last.Sub(now), s.free.Add(-slotTolerance).Sub(now)))
	back := now.Add(after)
	s.last = back
	if s.free.Before(back) {
		s.free = back
	}
	s.free = s.free.Add(interval)
	return after
}

// SlotInterval returns the time in which a gate stores one record, if the given number of
// gates share the appends of the owner.
func SlotInterval(response time.Duration, gates int) time.Duration {
	return (response + appendInterval) * time.Duration(max(gates, 1)) / MaxRecords
}
