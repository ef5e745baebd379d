package hvcell

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// clockDrift is the greatest fraction by which an executor's clock may run slow.
	clockDrift = 0.03
	// leaseExpirySlack is the time that an executor may take to end runs after their
	// lease has expired.
	leaseExpirySlack = 300 * time.Millisecond
)

// maxLeaseDuration returns the time after a grant at which all runs under its lease
// have ended.
func (c *Cell) maxLeaseDuration() time.Duration {
	return c.options.LeaseDuration + time.Duration(float64(c.options.LeaseDuration)*clockDrift) + leaseExpirySlack
}

// grant renews the lease of all runs on the host.
func (c *Cell) grant(now time.Time, h *host, r hvorder.Report) hvorder.Grant {
	if r.Incarnation == "" {
		return hvorder.Grant{}
	}
	h.ackedEnd = h.storedEnd
	if c.suspended {
		return hvorder.Grant{AckedEnd: h.storedEnd}
	}
	h.leaseEnd = max(h.leaseEnd, r.Clock+c.options.LeaseDuration.Milliseconds())
	if r.Clock > h.clock || h.respondedAt.IsZero() {
		// A lease ends at a time of the executor's clock, so that a report without a new
		// response of the executor extends nothing.
		h.clock, h.respondedAt = r.Clock, now
		h.silent = false
		if expiry := now.Add(c.maxLeaseDuration()); expiry.After(h.leaseExpiry) || h.reconciled {
			h.leaseExpiry = expiry
		}
	} else {
		h.silent = now.Sub(h.respondedAt) > maxSilence
	}
	return hvorder.Grant{LeaseEnd: h.leaseEnd, AckedEnd: h.storedEnd, Effects: c.effects(h)}
}

// maxSilence is the time after the last response of an executor from which no task starts
// there. Executors respond at least every 0.8 s, and nodes report every 0.7 s.
const maxSilence = 3 * time.Second

// leasesExpired reports whether all runs on a host have ended for certain and no other
// owner can have learned of their ends. A host that this owner cannot reach may have
// reported them to a newer owner, so this gate must have been the owner after the expiry.
func (c *Cell) leasesExpired(now time.Time, h *host) bool {
	return now.After(h.leaseExpiry) && c.confirmedAt.After(h.leaseExpiry)
}
