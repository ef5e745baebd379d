package hvdispatch

import (
	"slices"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvretry"
)

// chooseSide returns the side for the next dispatch, or the reason why no side
// can take the request.
func (d *Dispatcher) chooseSide(req hv.Request, tried []string) (side *hvmember.Side, reason string) {
	sides := d.deps.Members.Usable(req.Service)
	if req.IdempotencyKey != "" && !req.Idempotent {
		return d.ownerSide(req, sides, tried)
	}
	targets := hvretry.Untried(d.targets(sides), tried)
	i := d.deps.Picker.Pick(req.Service, targets)
	if i < 0 {
		return nil, "no upstream of service " + req.Service + " is usable"
	}
	return findSide(sides, targets[i].Host), ""
}

// ownerSide returns the side that owns the idempotency key. Any other side could
// run a request a second time that the owner has already run.
func (d *Dispatcher) ownerSide(req hv.Request, sides []*hvmember.Side, tried []string) (side *hvmember.Side, reason string) {
	if d.deps.KeyOwners == nil {
		return nil, "the table of key slots is not loaded"
	}
	host, ok := d.deps.KeyOwners.Owner(req.Service, req.IdempotencyKey)
	if !ok {
		return nil, "the slot of the idempotency key has no owner"
	}
	side = findSide(sides, host)
	if side == nil || slices.Contains(tried, host) {
		return nil, "the owner of the idempotency key is not usable or was already tried"
	}
	return side, ""
}

// findSide returns the side on a host, or nil if there is none.
func findSide(sides []*hvmember.Side, host string) *hvmember.Side {
	for _, s := range sides {
		if s.Host.Name == host {
			return s
		}
	}
	return nil
}

func (d *Dispatcher) targets(sides []*hvmember.Side) []hv.UpstreamView {
	targets := make([]hv.UpstreamView, len(sides))
	for i, s := range sides {
		targets[i] = hv.UpstreamView{
			Host: s.Host.Name, Zone: s.Host.Zone, Slots: s.Slots,
			Outstanding: d.outstanding.get(s.Host.Name), Load: s.Heartbeat.Running + s.Heartbeat.Waiting,
		}
	}
	return targets
}

// hostCounts counts the requests in flight by host.
type hostCounts struct {
	mu     sync.Mutex
	values map[string]int
}

func newHostCounts() *hostCounts { return &hostCounts{values: map[string]int{}} }

func (c *hostCounts) get(host string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[host]
}

// add adds n to a count and deletes the count at zero.
func (c *hostCounts) add(host string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.values[host] += n; c.values[host] == 0 {
		delete(c.values, host)
	}
}
