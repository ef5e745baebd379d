package hvledger

import (
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// Entry is a job with its state in the topic.
type Entry struct {
	Job hvjob.Job
	// Offset is the offset of the record that accepted the job.
	Offset    int64
	Cancelled bool
	Progress  hvjob.Progress
}

// State returns the state that callers see. A cancelled job is Cancelled at once
// unless it ended before.
func (e Entry) State() hvjob.State {
	switch {
	case e.Progress.State.Final():
		return e.Progress.State
	case e.Cancelled:
		return hvjob.Cancelled
	case e.Progress.State == "":
		return hvjob.Queued
	}
	return e.Progress.State
}

// Observer is notified of changes in the order of the topic.
type Observer interface {
	// JobChanged is called when a job is accepted or cancelled.
	JobChanged(e Entry)
	// NodeChanged is called when a node registers or is removed.
	NodeChanged(n Node, dropped bool)
	// ClaimChanged is called when the owner changes.
	ClaimChanged(c Claim)
}

// Replica holds the state of the topic up to an offset. Its methods are safe for
// concurrent use.
type Replica struct {
	clock    hv.Clock
	logger   log.Logger
	observer Observer

	mu     sync.RWMutex
	loaded bool
	// view is the state that readers see.
	view *view
	// loading is the state of a load whose pages were read at different times, or nil. It
	// replaces view once the records up to loadEnd, the end of the topic at the last page, are
	// applied to it.
	loading *view
	loadEnd int64
	// lastOwnerRecord is when the last record of the owner arrived or, after failed
	// reads, when a read succeeded again.
	lastOwnerRecord time.Time
	// lastRead is when the last successful read ended.
	lastRead time.Time
	// readFailing is true from a failed read until the next successful one.
	readFailing bool
}

// NewReplica returns an empty replica.
func NewReplica(clock hv.Clock, logger log.Logger, observer Observer) *Replica {
	return &Replica{clock: clock, logger: logger, observer: observer, view: newView(0), lastOwnerRecord: clock.Now()}
}

// Load begins anew from the newest records of all keys. Their pages are no snapshot: a key may
// have been read before a change and another one after it. The records from page.Next on are
// therefore left to Apply, and the state before the load stays visible until Apply has reached
// the end of the topic as of the last page.
func (r *Replica) Load(page hv.KeyedPage) {
	r.mu.Lock()
	r.loading = newView(page.Next)
	r.loading.loading = true
	r.loadEnd = max(page.Next, page.End, r.view.next)
	for _, rec := range page.Records {
		r.loadEnd = max(r.loadEnd, rec.Offset+1)
		if rec.Offset < page.Next {
			r.applyTo(r.loading, rec)
		}
	}
	notices := r.completeLoad()
	r.recordRead()
	r.mu.Unlock()
	r.notify(notices)
}

// completeLoad makes the state of a load visible if it has reached the end of the load, and
// returns the changes. The lock is held.
func (r *Replica) completeLoad() []notice {
	if r.loading == nil || r.loading.next < r.loadEnd {
		return nil
	}
	old := r.view
	r.view, r.loading, r.loaded = r.loading, nil, true
	r.view.endLoading()
	_ = level.Info(r.logger).Log("msg", "newest records of the topic are loaded", "end", r.loadEnd, "jobs", len(r.view.jobs), "nodes", len(r.view.nodes), "owner", r.view.claim.Name, "epoch", r.view.claim.Epoch)
	return r.view.replace(old)
}

// Apply applies the records of a page that was read from Next, and skips those that were
// applied before.
func (r *Replica) Apply(page hv.KeyedPage) {
	for _, rec := range page.Records {
		r.notify(r.applyNext(rec))
	}
	r.mu.Lock()
	r.recordRead()
	r.mu.Unlock()
}

// applyNext applies a record unless it was applied before, and returns the changes.
func (r *Replica) applyNext(rec hv.KeyedRecord) []notice {
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.reading()
	if rec.Offset < v.next {
		return nil
	}
	v.next = rec.Offset + 1
	notices := r.applyTo(v, rec)
	if r.loading != nil {
		return r.completeLoad()
	}
	return notices
}

// applyTo applies a record to a state and returns the changes. The lock is held.
func (r *Replica) applyTo(v *view, rec hv.KeyedRecord) []notice {
	now := r.clock.Now()
	if showsOwner(rec) {
		r.lastOwnerRecord = now
	}
	notices, err := v.apply(rec, now)
	switch {
	case errors.Is(err, errUnknownKey):
		_ = level.Warn(r.logger).Log("msg", "record with an unknown key is skipped", "key", rec.Key, "offset", rec.Offset)
	case err != nil:
		_ = level.Error(r.logger).Log("msg", "record cannot be decoded and is skipped", "key", rec.Key, "offset", rec.Offset, "err", err)
	}
	return notices
}

// reading returns the state to which the records that are read are applied. The lock is held.
func (r *Replica) reading() *view {
	if r.loading != nil {
		return r.loading
	}
	return r.view
}

func (r *Replica) notify(notices []notice) {
	for _, n := range notices {
		n(r.observer)
	}
}

// recordRead records a successful read. After failed reads it restarts the time
// since the owner's last record, because no record could arrive meanwhile. The
// lock is held.
func (r *Replica) recordRead() {
	r.lastRead = r.clock.Now()
	if r.readFailing {
		r.readFailing = false
		r.lastOwnerRecord = r.lastRead
	}
}

// ReadFailed records that the topic could not be read.
func (r *Replica) ReadFailed() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.readFailing = true
}
