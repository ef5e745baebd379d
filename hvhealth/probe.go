package hvhealth

import "time"

const (
	// A worker that was restarted or repaired returns after the first probes;
	// the delay doubles while it keeps failing.
	firstDelay = time.Minute
	maxDelay   = 15 * time.Minute
	// probeWindow is the time for which a host in quarantine is usable for a
	// probe. It ends early with the first result.
	probeWindow = 5 * time.Second
	// probesNeeded is the number of successes that end a quarantine.
	probesNeeded = 2
)

// probe is the state of the quarantine of one host. The zero value is a host
// that is not in quarantine.
type probe struct {
	active bool
	delay  time.Duration
	// opens is when the next window for a probe opens.
	opens  time.Time
	passes int
}

func (p *probe) start(now time.Time) {
	p.delay = max(p.delay, firstDelay)
	p.active, p.passes, p.opens = true, 0, now.Add(p.delay)
}

func (p *probe) usable(now time.Time) bool {
	if !p.active {
		return true
	}
	since := now.Sub(p.opens)
	if since < 0 {
		return false
	}
	// An unused window opens again after each delay.
	return since%p.delay < probeWindow
}

// result takes the end of an attempt. Results from before the first window
// belong to tasks that started before the quarantine.
func (p *probe) result(now time.Time, ok bool) {
	if !p.active || now.Before(p.opens) {
		return
	}
	if ok {
		p.passes++
		p.opens = now
		return
	}
	p.delay = min(2*p.delay, maxDelay)
	p.passes, p.opens = 0, now.Add(p.delay)
}

func (p *probe) passed() bool { return p.active && p.passes >= probesNeeded }
