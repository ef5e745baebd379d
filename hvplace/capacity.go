package hvplace

import hv "hibiscusvane.example/hibiscusvane"

// capacities tracks the largest host sizes of the fleet, so that a task that no
// host can hold is recognized without a scan of the hosts. A fleet has few
// distinct host sizes, and only the maximal ones have to be checked.
type capacities struct {
	hostsBySize map[hv.Resources]int
	maximal     []hv.Resources
}

func newCapacities() *capacities { return &capacities{hostsBySize: map[hv.Resources]int{}} }

func (c *capacities) add(r hv.Resources) {
	c.hostsBySize[r]++
	if c.hostsBySize[r] > 1 || c.fitsAny(r) {
		return
	}
	c.rebuild()
}

func (c *capacities) remove(r hv.Resources) {
	c.hostsBySize[r]--
	if c.hostsBySize[r] > 0 {
		return
	}
	delete(c.hostsBySize, r)
	c.rebuild()
}

func (c *capacities) rebuild() {
	c.maximal = c.maximal[:0]
	for r := range c.hostsBySize {
		if !c.dominated(r) {
			c.maximal = append(c.maximal, r)
		}
	}
}

func (c *capacities) dominated(r hv.Resources) bool {
	for q := range c.hostsBySize {
		if q != r && r.Fits(q) {
			return true
		}
	}
	return false
}

// fitsAny reports whether an empty host of some size can hold r.
func (c *capacities) fitsAny(r hv.Resources) bool {
	for _, m := range c.maximal {
		if r.Fits(m) {
			return true
		}
	}
	return false
}
