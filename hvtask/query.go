package hvtask

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Owner describes who owns the shard.
type Owner struct {
	Epoch       int64
	Incarnation string
	Gate        string
	// Released is set once the owner has released the shard.
	Released bool
}

// Owner returns the current owner; its epoch is 0 before the first claim.
func (s *Shard) Owner() Owner {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return Owner{s.epoch, s.ownerIncarnation, s.ownerGate, s.released}
}

// NextOffset returns the offset after the last applied record.
func (s *Shard) NextOffset() hv.Offset {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.next
}

// Changed returns a channel that is closed when the next operations have been
// applied.
func (s *Shard) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Lookup returns a task by its identifier.
func (s *Shard) Lookup(id string) (Entry, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e := s.tasks[id]
	if e == nil {
		return Entry{}, false
	}
	return *e, true
}

// EachQueued calls f for the queued tasks, the most urgent first, until f
// returns false. f must not change the entries or call methods of the shard.
func (s *Shard) EachQueued(f func(e *Entry) bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, e := range s.queue {
		if !f(e) {
			return
		}
	}
}

// QueueLength returns the number of queued tasks.
func (s *Shard) QueueLength() int {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.queue)
}

// HasPending reports whether any task waits for a host or for its start.
func (s *Shard) HasPending() bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.queue) > 0 || len(s.awaitingStart) > 0
}

// AwaitingStart returns the tasks whose start has not been recorded yet, sorted
// by identifier.
func (s *Shard) AwaitingStart() []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return entries(s.awaitingStart)
}

// OnHost returns the tasks that occupy a host, sorted by identifier.
func (s *Shard) OnHost(host string) []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return entries(s.byHost[host])
}

// EachPlacement calls f for all tasks that occupy a host, sorted by host and
// identifier. f must not change the entries or call methods of the shard.
func (s *Shard) EachPlacement(f func(e *Entry)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for _, name := range sortedKeys(s.byHost) {
		tasks := s.byHost[name]
		for _, id := range sortedKeys(tasks) {
			f(tasks[id])
		}
	}
}

// TeamUsage returns the sum of the needs of a team's tasks that occupy a host.
func (s *Shard) TeamUsage(team string) hv.Resources {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.teamUsage[team]
}

// List returns up to limit tasks sorted by identifier; if label is not empty,
// only tasks with that label.
func (s *Shard) List(label string, limit int) []Entry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var list []Entry
	for _, id := range sortedKeys(s.tasks) {
		if len(list) == limit {
			break
		}
		if e := s.tasks[id]; label == "" || e.hasLabel(label) {
			list = append(list, *e)
		}
	}
	return list
}

// FromSettings returns the identifiers of the tasks that are defined in the
// settings and not terminal.
func (s *Shard) FromSettings() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var ids []string
	for id, e := range s.tasks {
		if e.FromSettings && !e.State.Terminal() {
			ids = append(ids, id)
		}
	}
	return ids
}

// LatestRecordTime returns the latest record time so far.
func (s *Shard) LatestRecordTime() time.Time {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.recordTime
}

func entries(m map[string]*Entry) []Entry {
	list := make([]Entry, 0, len(m))
	for _, id := range sortedKeys(m) {
		list = append(list, *m[id])
	}
	return list
}
