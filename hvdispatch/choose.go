package hvdispatch

import (
	"slices"
	"sync"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvretry"
)

// choose returns the side for the next dispatch, or the reason why there is
// none.
func (d *Dispatcher) choose(req hv.Request, tried []string) (side *hvmember.Side, reason string) {
	sides := d.deps.Members.Usable(req.Service)
	if req.Key != "" && !req.Idempotent {
		return d.owner(req, sides, tried)
	}
	targets := hvretry.Untried(d.targets(sides), tried)
	i := d.deps.Picker.Pick(req.Service, targets)
	if i < 0 {
		return nil, "no upstream of service " + req.Service + " is usable"
	}
	return find(sides, targets[i].Host), ""
}

// owner returns the side that owns the key. Any other side could run a request
// again that the owner has already run.
func (d *Dispatcher) owner(req hv.Request, sides []*hvmember.Side, tried []string) (side *hvmember.Side, reason string) {
	if d.deps.KeyOwners == nil {
		return nil, "the table of key slots is not loaded"
	}
	host, ok := d.deps.KeyOwners.Owner(req.Service, req.Key)
	if !ok {
		return nil, "the slot of the idempotency key has no owner"
	}
	side = find(sides, host)
	if side == nil || slices.Contains(tried, host) {
		return nil, "the owner of the idempotency key takes no work now"
	}
	return side, ""
}

// find returns nil for a host that is not among the sides.
func find(sides []*hvmember.Side, host string) *hvmember.Side {
	for _, s := range sides {
		if s.Host.Name == host {
			return s
		}
	}
	return nil
}

func (d *Dispatcher) targets(sides []*hvmember.Side) []hv.Target {
	targets := make([]hv.Target, len(sides))
	for i, s := range sides {
		targets[i] = hv.Target{
			Host: s.Host.Name, Zone: s.Host.Zone, Slots: s.Slots,
			Outstanding: d.outstanding.get(s.Host.Name), Load: s.Beat.Running + s.Beat.Waiting,
		}
	}
	return targets
}

// counts holds the requests in flight by host.
type counts struct {
	mu     sync.Mutex
	values map[string]int
}

func newCounts() *counts { return &counts{values: map[string]int{}} }

func (c *counts) get(host string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.values[host]
}

// add changes a count and drops it at zero.
func (c *counts) add(host string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.values[host] += n; c.values[host] == 0 {
		delete(c.values, host)
	}
}
