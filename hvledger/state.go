package hvledger

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// Next returns the offset to read from next.
func (r *Replica) Next() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.reading().next
}

// Loading reports whether records up to Next are not yet visible, as a load is incomplete.
func (r *Replica) Loading() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loading != nil
}

// End returns the offset before which all records are visible.
func (r *Replica) End() int64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.view.next
}

// Loaded reports whether the state has been loaded.
func (r *Replica) Loaded() bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.loaded
}

// SinceLastRead returns the time since the last successful read.
func (r *Replica) SinceLastRead() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.clock.Now().Sub(r.lastRead)
}

// Claim returns the claim of the owner and the offset of its first record.
func (r *Replica) Claim() (Claim, int64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.view.claim, r.view.claimOffset
}

// EarlierAuthority returns how long owners before the last one may still grant leases.
func (r *Replica) EarlierAuthority() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	total := time.Duration(r.view.claim.EarlierAuthority) * time.Millisecond
	return max(total-r.clock.Now().Sub(r.view.claimedAt), 0)
}

// Learned returns the stored learned state of the last owner, still encoded, or
// nil.
func (r *Replica) Learned() []byte {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.view.learned
}

// SinceOwnerRecord returns how long no record of the owner has arrived although
// the topic could be read. It is 0 while reads fail.
func (r *Replica) SinceOwnerRecord() time.Duration {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if r.readFailing {
		return 0
	}
	return r.clock.Now().Sub(r.lastOwnerRecord)
}

// Job returns a job by its identifier.
func (r *Replica) Job(id string) (Entry, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if e := r.view.jobs[id]; e != nil {
		return *e, true
	}
	return Entry{}, false
}

// EarlyCancels returns the number of jobs that are cancelled and not in the topic.
func (r *Replica) EarlyCancels() int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return len(r.view.earlyCancels)
}

// CancelledEarly reports whether a job is cancelled and not in the topic.
func (r *Replica) CancelledEarly(id string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, ok := r.view.earlyCancels[id]
	return ok
}

// ExpiredCancels returns up to limit jobs that were last cancelled longer than age ago and are
// not in the topic, and the end of the records of which that holds.
func (r *Replica) ExpiredCancels(age time.Duration, limit int) (ids []string, end int64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	now := r.clock.Now()
	for id, at := range r.view.earlyCancels {
		if len(ids) < limit && now.Sub(at) > age {
			ids = append(ids, id)
		}
	}
	return ids, r.view.next
}

// Jobs returns all jobs.
func (r *Replica) Jobs() []Entry {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Entry, 0, len(r.view.jobs))
	for _, e := range r.view.jobs {
		out = append(out, *e)
	}
	return out
}

// Nodes returns all registered nodes.
func (r *Replica) Nodes() []Node {
	r.mu.RLock()
	defer r.mu.RUnlock()
	out := make([]Node, 0, len(r.view.nodes))
	for _, n := range r.view.nodes {
		out = append(out, n)
	}
	return out
}

// Node returns a registered node by its name.
func (r *Replica) Node(name string) (Node, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	n, ok := r.view.nodes[name]
	return n, ok
}

// Pending counts the jobs of a queue that have not started a task.
func (r *Replica) Pending(queue string) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	n := 0
	for _, e := range r.view.jobs {
		if e.Job.Queue == queue && e.State() == hvjob.Queued {
			n++
		}
	}
	return n
}
