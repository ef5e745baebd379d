package hvmember

import (
	"slices"
	"strings"
)

// index holds the entries of each service sorted by host, so that a request does
// not scan the hosts of other services.
type index map[string][]*entry

// search returns the index of a host in a sorted list and whether it is present.
func search(list []*entry, host string) (int, bool) {
	return slices.BinarySearchFunc(list, host, func(e *entry, host string) int {
		return strings.Compare(e.Host.Name, host)
	})
}

// add inserts an entry that is not in the index.
func (x index) add(e *entry) {
	i, _ := search(x[e.Service], e.Host.Name)
	x[e.Service] = slices.Insert(x[e.Service], i, e)
}

// remove deletes an entry. It must be called before the host or the service of the
// entry changes.
func (x index) remove(e *entry) {
	list := x[e.Service]
	i, ok := search(list, e.Host.Name)
	if !ok {
		return
	}
	if list = slices.Delete(list, i, i+1); len(list) == 0 {
		delete(x, e.Service)
		return
	}
	x[e.Service] = list
}

// snapshot returns a copy of the side that is never modified. All requests share
// it until the next change of the entry.
func (e *entry) snapshot() *Side {
	if e.cached == nil {
		side := e.Side
		e.cached = &side
	}
	return e.cached
}
