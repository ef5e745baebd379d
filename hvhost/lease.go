package hvhost

import (
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Renewal extends the leases of the attempts of one shard. The new lease begins
// when the side sent the heartbeat, so that it never ends later than the owner of
// the shard assumes.
type Renewal struct {
	Shard int
	Epoch int64
	Sent  time.Time
	Lease time.Duration
	// Except lists attempts that are not renewed.
	Except []hv.Attempt
}

// Renew applies a renewal and reports whether its epoch is current. An attempt
// whose lease has expired is not renewed.
func (l *Ledger) Renew(r Renewal) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Epoch < l.epochs[r.Shard] {
		return false
	}
	l.epochs[r.Shard] = r.Epoch
	now := l.clock.Now()
	for _, e := range l.sorted() {
		if e.run.Shard != r.Shard || e.phase == stopping || !now.Before(e.leaseEnd) || slices.Contains(r.Except, e.run.Attempt) {
			continue
		}
		e.run.Epoch = r.Epoch
		if end := r.Sent.Add(r.Lease); end.After(e.leaseEnd) {
			e.leaseEnd = end
		}
	}
	return true
}

// Lease returns the remaining time of an attempt's lease. It reads the clock
// again, so that a process that was paused notices that the lease has expired
// before it starts or renews the attempt at the worker.
func (l *Ledger) Lease(a hv.Attempt) (time.Duration, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.find(a)
	switch {
	case e == nil || e.phase == stopping:
		return 0, errorf("lease", hv.NotFound, "attempt %s has no lease", a)
	case !l.clock.Now().Before(e.leaseEnd):
		return 0, errorf("lease", hv.Expired, "the lease of %s has expired", a)
	}
	return e.leaseEnd.Sub(l.clock.Now()), nil
}

// ExpireLeases marks the attempts whose leases have expired as stopping and
// returns them.
func (l *Ledger) ExpireLeases() []hv.RunningAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var expired []hv.RunningAttempt
	for _, e := range l.sorted() {
		if e.phase != stopping && !now.Before(e.leaseEnd) {
			e.phase = stopping
			expired = append(expired, e.run)
		}
	}
	return expired
}

// Live returns the running attempts whose leases have not expired.
func (l *Ledger) Live() []hv.RunningAttempt {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	var live []hv.RunningAttempt
	for _, e := range l.sorted() {
		if e.phase == running && now.Before(e.leaseEnd) {
			live = append(live, e.run)
		}
	}
	return live
}
