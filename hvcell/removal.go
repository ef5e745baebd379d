package hvcell

import (
	"time"

	"github.com/go-kit/log/level"
)

const (
	// dropDelay is the time after the expiry of its leases at which a disconnected node
	// is dropped, so that no later owner waits for it. A node that reconnects registers
	// again.
	dropDelay = 8 * time.Second
	// removalReadLimit is the time after which a stored removal has been read. An owner that
	// reads only the newest records may miss it if the node has registered again since.
	removalReadLimit = 5 * time.Second
)

// removal is the state of the removal of a node's registration.
type removal struct {
	// ordered is true once a batch has held the removal, and stored once the batch is
	// stored, which was first seen at seenAt.
	ordered, stored bool
	seenAt          time.Time
}

// isStale reports whether a host without runs can be removed: its executor has exited,
// or its node has been disconnected for dropDelay after the lease expired.
func (h *host) isStale(now time.Time) bool {
	if len(h.runs) > 0 {
		return false
	}
	if h.info.Exiting {
		return h.incarnation == "" || now.After(h.leaseExpiry)
	}
	return !h.connected && now.Sub(h.leaseExpiry) > dropDelay
}

func (c *Cell) dropStaleHosts(now time.Time) []string {
	var out []string
	for name, h := range c.hosts {
		if !h.removal.ordered && h.isStale(now) {
			h.removal.ordered = true
			out = append(out, name)
			_ = level.Info(c.options.Logger).Log("msg", "registration of an exited or disconnected node is removed", "host", name, "life", h.incarnation, "silent", now.Sub(h.leaseExpiry))
		}
	}
	return out
}

// MayAttach reports whether a node may be attached. While the removal of its registration is
// on its way it may not: the next owner would not know that tasks may run beside it.
func (c *Cell) MayAttach(now time.Time, name string) bool {
	h := c.hosts[name]
	if h == nil || !h.removal.ordered {
		return true
	}
	if h.removal.stored && h.removal.seenAt.IsZero() {
		h.removal.seenAt = now
	}
	return h.removal.stored && now.Sub(h.removal.seenAt) > removalReadLimit
}
