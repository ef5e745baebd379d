package hvcell

import (
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvorder"
)

// AddHost adds the host of a node. Until the cell has recovered, a new host may
// still run tasks under leases of the previous owner.
func (c *Cell) AddHost(now time.Time, name string, info *hvorder.Host) {
	h := c.hosts[name]
	if h == nil {
		h = &host{name: name, runs: map[hvorder.Run]*run{}, unneeded: map[hvorder.Run]bool{}, cpuShare: fullShare}
		c.hosts[name] = h
		h.leaseExpiry = now
		if !c.recovered {
			h.leaseExpiry = c.previousLeasesEnd
			h.inherited = info != nil
		}
	}
	if info != nil && !h.announced {
		h.setInfo(now, *info)
	}
}

// setInfo records an announcement of the host's executor.
func (h *host) setInfo(now time.Time, info hvorder.Host) {
	if info.Capacity != h.info.Capacity {
		// The refusals may be due to the capacity before.
		h.refusals, h.refusedUntil = 0, time.Time{}
	}
	h.info, h.announced = info, true
	h.coldUntil = now.Add(time.Duration(info.ColdMillis) * time.Millisecond)
}

// DropHost removes a host that is not connected and has no runs.
func (c *Cell) DropHost(name string) {
	if h := c.hosts[name]; h != nil && !h.connected && len(h.runs) == 0 {
		delete(c.hosts, name)
	}
}

// NodeAttached processes the first report of a node on a new connection.
func (c *Cell) NodeAttached(now time.Time, name string, r hvorder.Report) hvorder.Grant {
	c.AddHost(now, name, nil)
	h := c.hosts[name]
	h.connected, h.removal = true, removal{}
	h.batch = 0
	h.forgetBatches()
	// A node that was restarted numbers its crashes and last ends anew.
	h.processedCrash, h.storedCrash = 0, 0
	h.processedLastEnd, h.storedLastEnd = 0, 0
	h.attachments++
	if r.Host == nil {
		// The node has not heard its executor since its own start. What is known of
		// the host, from its registration or from before, may be out of date.
		h.announced = false
	}
	_ = level.Info(c.options.Logger).Log("msg", "node attached to this owner", "host", name, "life", r.Incarnation, "full", r.Full, "running", len(r.Running), "pending", len(r.Pending), "ended", len(r.Ended))
	return c.Report(now, name, r)
}

// NodeDetached records the end of the connection to a node. Its runs go on until
// their lease expires.
func (c *Cell) NodeDetached(now time.Time, name string) {
	h := c.hosts[name]
	if h == nil || !h.connected {
		return
	}
	h.connected = false
	h.reconciled = false
	// Pending orders are discarded; the full lists after the next attach show what the
	// host runs.
	h.orders = hvorder.Orders{}
	_ = level.Info(c.options.Logger).Log("msg", "connection to a node ended; its runs go on until their lease expires", "host", name, "runs", len(h.runs), "lapse", h.leaseExpiry.Sub(now))
}

// resetIncarnation records a new incarnation of the executor. A run that was ordered
// around the restart may run in the new incarnation, so runs are kept until its full
// lists are reconciled.
func (h *host) resetIncarnation(now time.Time, r hvorder.Report) {
	h.unreachableUntil = time.Time{}
	h.refusals, h.refusedUntil = 0, time.Time{}
	if h.crashedIncarnation != "" {
		h.recoveringUntil = now.Add(recoveryTime)
	}
	h.incarnation, h.clock, h.leaseEnd, h.respondedAt = r.Incarnation, 0, 0, time.Time{}
	h.boundLeases(r)
	h.silent = false
	h.processedEnd, h.storedEnd, h.ackedEnd = 0, 0, 0
	h.reconciled = false
	h.orders = hvorder.Orders{}
	h.forgetBatches()
}
