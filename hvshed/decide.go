package hvshed

import "time"

const (
	// RespondReserve is the part of a deadline that is left for the response to the
	// caller.
	RespondReserve = 300 * time.Millisecond
	// minRetry is the shortest Retry-After, which is a whole number of seconds.
	minRetry = time.Second
	// usualOutage is the time by which most outages of the store have ended: they
	// last 5 to 6 s.
	usualOutage = 6 * time.Second
	// maxRetry limits the time to wait: a caller that waits longer is late even if
	// the store is back soon.
	maxRetry = 8 * time.Second
)

// Outcome is the result of a decision.
type Outcome string

// Outcomes of a decision. A held request is admitted and waits for a slow store.
const (
	Admitted Outcome = "admitted"
	Held     Outcome = "held"
	Refused  Outcome = "refused"
)

// Reasons of a refusal.
const (
	StoreDown   = "store-down"
	QueueFull   = "queue-full"
	MissesLimit = "deadline"
)

// State is what a gate knows when a request arrives.
type State struct {
	// Down is true while the store responds to nobody; Outage is how long it has been
	// down or slow.
	Down   bool
	Outage time.Duration
	Load   Load
}

// Decision tells what happens to a request.
type Decision struct {
	Outcome Outcome
	// Reason is set for a refused request.
	Reason string
	// Wait is the expected time until the record is stored.
	Wait time.Duration
}

// Decide decides on a request whose response must be with the caller within left. The
// request is refused if it cannot be on time, so that no caller waits in vain; first is
// true for a request that goes before the submissions in the queue.
func Decide(s State, left time.Duration, first bool) Decision {
	d := Decision{Outcome: Admitted, Wait: s.Load.Wait(first)}
	switch {
	case s.Down:
		d.Outcome, d.Reason = Refused, StoreDown
	case s.Load.Records >= MaxQueued:
		d.Outcome, d.Reason = Refused, QueueFull
	case d.Wait > left-RespondReserve:
		d.Outcome, d.Reason = Refused, MissesLimit
	case d.Wait >= SlowResponse:
		d.Outcome = Held
	}
	return d
}

// RetryWait returns the expected time until a request can be served that was refused with
// the given time left. If the store is down or too slow for it, that is the end of the
// outage; otherwise the queue ahead must only become short enough.
func (s State) RetryWait(left time.Duration) time.Duration {
	wait := minRetry
	if s.Down || s.Load.Wait(true) > left-RespondReserve {
		wait = expectedRest(s.Outage)
	} else {
		wait = max(wait, s.Load.Wait(false)-(left-RespondReserve))
	}
	return min(wholeSeconds(wait), maxRetry)
}

// expectedRest returns the expected remaining time of an outage: half its age, because
// a caller has four retries and must not use them up in the first seconds, but not
// beyond the time at which most outages have ended.
func expectedRest(age time.Duration) time.Duration {
	rest := max(age/2, minRetry)
	if age < usualOutage {
		rest = min(rest, max(usualOutage-age, minRetry))
	}
	return rest
}

// wholeSeconds rounds up to whole seconds.
func wholeSeconds(d time.Duration) time.Duration {
	return (d + time.Second - 1).Truncate(time.Second)
}
