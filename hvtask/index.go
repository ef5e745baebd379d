package hvtask

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
)

// index finds tasks without a scan. It follows from the entries and is built
// again by Restore.
type index struct {
	// queue is sorted by before. Its length is bounded by Limits.Active, for
	// which moving pointers is cheaper than a tree.
	queue []*Entry
	// placed holds the tasks whose start is not recorded yet.
	placed map[string]*Entry
	// hosts holds the tasks that hold each host.
	hosts map[string]map[string]*Entry
	// teams sums the needs of the tasks that hold a host.
	teams map[string]hv.Resources
	// ended lists terminal tasks without a hold in the order of their ends.
	ended []*Entry
}

func newIndex() index {
	return index{
		placed: make(map[string]*Entry),
		hosts:  make(map[string]map[string]*Entry),
		teams:  make(map[string]hv.Resources),
	}
}

func (s *Shard) enqueue(e *Entry) {
	i, found := slices.BinarySearchFunc(s.queue, e, before)
	if !found {
		s.queue = slices.Insert(s.queue, i, e)
	}
}

func (s *Shard) dequeue(e *Entry) {
	i, found := slices.BinarySearchFunc(s.queue, e, before)
	if !found {
		s.violations(10, fmt.Sprintf("queued task %s is not in the queue", e.Task.ID))
		return
	}
	s.queue = slices.Delete(s.queue, i, i+1)
}

// hold is the only place where an attempt gets a host.
func (s *Shard) hold(e *Entry, h *Placement) {
	if e.Placement != nil {
		s.violations(2, fmt.Sprintf("task %s is placed on host %s while attempt %d holds host %s", e.Task.ID, h.Host, e.Placement.Number, e.Placement.Host))
		return
	}
	e.Placement = h
	s.indexHold(e)
}

func (s *Shard) indexHold(e *Entry) {
	on := s.hosts[e.Placement.Host]
	if on == nil {
		on = make(map[string]*Entry)
		s.hosts[e.Placement.Host] = on
	}
	on[e.Task.ID] = e
	s.teams[e.Task.Team] = s.teams[e.Task.Team].Add(e.Task.Need)
}

func (s *Shard) unhold(e *Entry) {
	on := s.hosts[e.Placement.Host]
	delete(on, e.Task.ID)
	if len(on) == 0 {
		delete(s.hosts, e.Placement.Host)
	}
	used := s.teams[e.Task.Team].Sub(e.Task.Need)
	if used == (hv.Resources{}) {
		delete(s.teams, e.Task.Team)
	} else {
		s.teams[e.Task.Team] = used
	}
	e.Placement = nil
	delete(s.placed, e.Task.ID)
}

func (s *Shard) reindexPlaced(e *Entry) {
	if e.State == Placed {
		s.placed[e.Task.ID] = e
		return
	}
	delete(s.placed, e.Task.ID)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
