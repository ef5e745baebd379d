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
func (o Options) maxLeaseDuration() time.Duration {
	return o.LeaseDuration + o.leaseEndSlack()
}

// leaseEndSlack returns how long after the end of a lease all runs under it have ended.
func (o Options) leaseEndSlack() time.Duration {
	return time.Duration(float64(o.LeaseDuration)*clockDrift) + leaseExpirySlack
}

// maxLeaseOverhang returns how long after the end of the authority of an owner all runs
// under its leases have ended.
func (o Options) maxLeaseOverhang() time.Duration {
	return min(o.LeaseOverhang, o.LeaseDuration) + o.leaseEndSlack()
}

// previousLeasesEnd returns when all runs under leases of earlier owners have ended.
func (o Options) previousLeasesEnd() time.Time {
	left := o.PreviousAuthority + o.maxLeaseOverhang()
	if o.PreviousAuthority <= o.EarlierAuthority {
		// The previous owner may have granted a lease of the full duration until now.
		left = max(left, o.maxLeaseDuration())
	}
	return o.ClaimedAt.Add(left)
}

// LimitLeases sets the time at which all leases end that this owner grants, so that a new
// owner knows when they have expired although it cannot reach their hosts.
func (c *Cell) LimitLeases(end time.Time) { c.leaseLimit = end }

// leaseDuration returns the duration of a lease that is granted now.
func (c *Cell) leaseDuration(now time.Time) time.Duration {
	if c.leaseLimit.IsZero() {
		return c.options.LeaseDuration
	}
	return max(min(c.options.LeaseDuration, c.leaseLimit.Sub(now)), 0)
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
	h.leaseEnd = max(h.leaseEnd, r.Clock+c.leaseDuration(now).Milliseconds())
	if r.Clock > h.clock || h.respondedAt.IsZero() {
		// A lease ends at a time of the executor's clock, so that a report without a new
		// response of the executor extends nothing.
		h.clock, h.respondedAt = r.Clock, now
		h.silent = false
		if expiry := now.Add(c.options.longestLease(h)); expiry.After(h.leaseExpiry) || h.reconciled {
			h.leaseExpiry = expiry
		}
	} else {
		h.silent = now.Sub(h.respondedAt) > maxSilence
	}
	return hvorder.Grant{LeaseEnd: h.leaseEnd, AckedEnd: h.storedEnd, Effects: c.effects(h)}
}

// boundLeases records until when late calls for an earlier incarnation of the executor may have
// extended the leases of a new one. A node that was restarted bounds the leases of every
// incarnation, as it does not know whether it is the first; a host that is new to the cell
// had none before.
func (h *host) boundLeases(r hvorder.Report) {
	if h.lastIncarnation == r.Incarnation {
		return
	}
	h.leaseBound = 0
	if h.inherited || h.lastIncarnation != "" {
		h.leaseBound = r.LeaseBound
	}
	h.lastIncarnation = r.Incarnation
}

// longestLease returns the time after a report of a host at which all runs there have ended.
// Late calls for an earlier incarnation may have extended the leases beyond what this owner
// grants.
func (o Options) longestLease(h *host) time.Duration {
	left := time.Duration(h.leaseBound-h.clock) * time.Millisecond
	return max(o.maxLeaseDuration(), time.Duration(float64(left)*(1+clockDrift))+leaseExpirySlack)
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
