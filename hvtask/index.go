package hvtask

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
)

// index provides lookups that need no scan of all tasks. It is derived from the
// entries, and Restore rebuilds it.
type index struct {
	// queue is sorted by compareUrgency. Its length is limited by
	// Limits.MaxActive; up to that length, moving pointers is cheaper than a
	// tree.
	queue []*Entry
	// awaitingStart holds the tasks whose start has not been recorded yet.
	awaitingStart map[string]*Entry
	// byHost holds, by host, the tasks that occupy it.
	byHost map[string]map[string]*Entry
	// teamUsage holds, by team, the sum of the needs of tasks that occupy a
	// host.
	teamUsage map[string]hv.Resources
	// terminal lists terminal tasks that occupy no host, in the order of their
	// ends.
	terminal []*Entry
}

func newIndex() index {
	return index{
		awaitingStart: make(map[string]*Entry),
		byHost:        make(map[string]map[string]*Entry),
		teamUsage:     make(map[string]hv.Resources),
	}
}

func (s *Shard) enqueue(e *Entry) {
	i, found := slices.BinarySearchFunc(s.queue, e, compareUrgency)
	if !found {
		s.queue = slices.Insert(s.queue, i, e)
	}
}

func (s *Shard) dequeue(e *Entry) {
	i, found := slices.BinarySearchFunc(s.queue, e, compareUrgency)
	if !found {
		s.violations(10, fmt.Sprintf("queued task %s is not in the queue", e.Task.ID))
		return
	}
	s.queue = slices.Delete(s.queue, i, i+1)
}

// setPlacement is the only place where an attempt is assigned a host.
func (s *Shard) setPlacement(e *Entry, h *Placement) {
	if e.Placement != nil {
		s.violations(2, fmt.Sprintf("task %s is placed on host %s while attempt %d occupies host %s", e.Task.ID, h.Host, e.Placement.Number, e.Placement.Host))
		return
	}
	e.Placement = h
	s.indexPlacement(e)
}

func (s *Shard) indexPlacement(e *Entry) {
	tasks := s.byHost[e.Placement.Host]
	if tasks == nil {
		tasks = make(map[string]*Entry)
		s.byHost[e.Placement.Host] = tasks
	}
	tasks[e.Task.ID] = e
	s.teamUsage[e.Task.Team] = s.teamUsage[e.Task.Team].Add(e.Task.Need)
}

func (s *Shard) clearPlacement(e *Entry) {
	tasks := s.byHost[e.Placement.Host]
	delete(tasks, e.Task.ID)
	if len(tasks) == 0 {
		delete(s.byHost, e.Placement.Host)
	}
	usage := s.teamUsage[e.Task.Team].Sub(e.Task.Need)
	if usage == (hv.Resources{}) {
		delete(s.teamUsage, e.Task.Team)
	} else {
		s.teamUsage[e.Task.Team] = usage
	}
	e.Placement = nil
	delete(s.awaitingStart, e.Task.ID)
}

func (s *Shard) updateAwaitingStart(e *Entry) {
	if e.State == Placed {
		s.awaitingStart[e.Task.ID] = e
		return
	}
	delete(s.awaitingStart, e.Task.ID)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
