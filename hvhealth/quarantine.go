package hvhealth

import "time"

const (
	// A worker that was restarted or repaired leaves quarantine after the first
	// probes. The delay doubles, up to maxDelay, while probes keep failing.
	minDelay = time.Minute
	maxDelay = 15 * time.Minute
	// probeWindow is how long a quarantined host is usable for a probe. The
	// window ends early with the first result.
	probeWindow = 5 * time.Second
	// requiredProbes is the number of consecutive successes that end a
	// quarantine.
	requiredProbes = 2
)

// quarantine is the quarantine state of one host. The zero value is a host that
// is not quarantined.
type quarantine struct {
	active bool
	delay  time.Duration
	// nextProbe is when the next probe window opens.
	nextProbe time.Time
	successes int
}

func (q *quarantine) start(now time.Time) {
	q.delay = max(q.delay, minDelay)
	q.active, q.successes, q.nextProbe = true, 0, now.Add(q.delay)
}

func (q *quarantine) usable(now time.Time) bool {
	if !q.active {
		return true
	}
	elapsed := now.Sub(q.nextProbe)
	if elapsed < 0 {
		return false
	}
	// A window that passes unused opens again after each delay.
	return elapsed%q.delay < probeWindow
}

// record takes the result of an attempt. Results from before the first window
// belong to tasks that started before the quarantine and are ignored.
func (q *quarantine) record(now time.Time, ok bool) {
	if !q.active || now.Before(q.nextProbe) {
		return
	}
	if ok {
		q.successes++
		q.nextProbe = now
		return
	}
	q.delay = min(2*q.delay, maxDelay)
	q.successes, q.nextProbe = 0, now.Add(q.delay)
}

func (q *quarantine) completed() bool { return q.active && q.successes >= requiredProbes }
