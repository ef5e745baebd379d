package hvplace

import hv "hibiscusvane.example/hibiscusvane"

// capacities knows the largest hosts of the fleet, so that a task that fits no
// host is recognised without looking at the hosts. A fleet has few distinct
// host sizes; the maximal ones among them are fewer still.
type capacities struct {
	count   map[hv.Resources]int
	maximal []hv.Resources
}

func newCapacities() *capacities { return &capacities{count: map[hv.Resources]int{}} }

func (c *capacities) add(r hv.Resources) {
	c.count[r]++
	if c.count[r] > 1 || c.holds(r) {
		return
	}
	c.rebuild()
}

func (c *capacities) remove(r hv.Resources) {
	c.count[r]--
	if c.count[r] > 0 {
		return
	}
	delete(c.count, r)
	c.rebuild()
}

func (c *capacities) rebuild() {
	c.maximal = c.maximal[:0]
	for r := range c.count {
		if !c.dominated(r) {
			c.maximal = append(c.maximal, r)
		}
	}
}

func (c *capacities) dominated(r hv.Resources) bool {
	for q := range c.count {
		if q != r && r.Fits(q) {
			return true
		}
	}
	return false
}

// holds reports whether some host, when empty, has room for r.
func (c *capacities) holds(r hv.Resources) bool {
	for _, m := range c.maximal {
		if r.Fits(m) {
			return true
		}
	}
	return false
}
