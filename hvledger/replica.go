package hvledger

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

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

	mu          sync.RWMutex
	loaded      bool
	next        int64
	jobs        map[string]*Entry
	nodes       map[string]Node
	claim       Claim
	claimOffset int64
	// claimedAt is when the first record of the claim arrived.
	claimedAt time.Time
	// lastOwnerRecord is when the last record of the owner arrived or, after failed
	// reads, when a read succeeded again.
	lastOwnerRecord time.Time
	// lastRead is when the last successful read ended.
	lastRead time.Time
	// readFailing is true from a failed read until the next successful one.
	readFailing bool
	// loadedOffsets holds, by key, the offsets of loaded records at or after next.
	loadedOffsets map[string]int64
	// learned holds the stored learned state of the last owner, still encoded.
	learned []byte
}

// NewReplica returns an empty replica.
func NewReplica(clock hv.Clock, logger log.Logger, observer Observer) *Replica {
	return &Replica{clock: clock, logger: logger, observer: observer, jobs: map[string]*Entry{}, nodes: map[string]Node{}, loadedOffsets: map[string]int64{}, lastOwnerRecord: clock.Now()}
}

// Load applies the newest records of all keys and continues from page.Next. Jobs and nodes
// whose keys are not among them have been removed.
func (r *Replica) Load(page hv.KeyedPage) {
	r.mu.Lock()
	removed := r.removeUnlisted(page)
	r.next = page.Next
	r.loadedOffsets = map[string]int64{}
	for _, rec := range page.Records {
		if rec.Offset >= page.Next {
			r.loadedOffsets[rec.Key] = rec.Offset
		}
	}
	r.mu.Unlock()
	for _, n := range removed {
		r.observer.NodeChanged(n, true)
	}
	for _, rec := range jobsFirst(page.Records) {
		r.apply(rec)
	}
	r.mu.Lock()
	r.loaded = true
	r.recordRead()
	r.mu.Unlock()
}

// removeUnlisted removes the jobs and nodes that a page of the newest records does not list,
// and returns the nodes. The lock is held.
func (r *Replica) removeUnlisted(page hv.KeyedPage) []Node {
	if page.Next < r.next {
		// The page is older than what was read.
		return nil
	}
	listed := make(map[string]bool, len(page.Records))
	for _, rec := range page.Records {
		listed[rec.Key] = true
	}
	maps.DeleteFunc(r.jobs, func(id string, _ *Entry) bool { return !listed[jobPrefix+id] })
	var removed []Node
	for name, n := range r.nodes {
		if !listed[nodePrefix+name] {
			delete(r.nodes, name)
			removed = append(removed, n)
		}
	}
	return removed
}

// jobsFirst moves the records of jobs before those that refer to jobs.
func jobsFirst(recs []hv.KeyedRecord) []hv.KeyedRecord {
	var jobs, rest []hv.KeyedRecord
	for _, rec := range recs {
		if prefix, _ := cutKey(rec.Key); prefix == jobPrefix {
			jobs = append(jobs, rec)
		} else {
			rest = append(rest, rec)
		}
	}
	return append(jobs, rest...)
}

// Apply applies the records of a page that was read from Next. It skips records
// that were applied or superseded by a load.
func (r *Replica) Apply(page hv.KeyedPage) {
	for _, rec := range page.Records {
		r.mu.Lock()
		old := rec.Offset < r.next
		if !old {
			r.next = rec.Offset + 1
		}
		loadedOffset, loaded := r.loadedOffsets[rec.Key]
		if loaded && loadedOffset <= rec.Offset {
			delete(r.loadedOffsets, rec.Key)
		}
		r.mu.Unlock()
		if old || loaded && loadedOffset >= rec.Offset {
			continue
		}
		r.apply(rec)
	}
	r.mu.Lock()
	r.recordRead()
	r.mu.Unlock()
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

func (r *Replica) apply(rec hv.KeyedRecord) {
	if rec.Key == ownerKey {
		r.applyClaim(rec)
		return
	}
	if rec.Key == learnedKey {
		r.applyLearned(rec)
		return
	}
	switch prefix, id := cutKey(rec.Key); prefix {
	case jobPrefix:
		r.applyJob(rec, id)
	case cancelPrefix:
		r.applyCancel(rec, id)
	case progressPrefix:
		r.applyProgress(rec, id)
	case nodePrefix:
		r.applyNode(rec, id)
	default:
		_ = level.Warn(r.logger).Log("msg", "record with an unknown key is skipped", "key", rec.Key, "offset", rec.Offset)
	}
}

func (r *Replica) applyLearned(rec hv.KeyedRecord) {
	value, err := decompress(rec.Value)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOwnerRecord = r.clock.Now()
	if err != nil {
		r.logUndecodable(rec, err)
		return
	}
	r.learned = value
}

func (r *Replica) applyClaim(rec hv.KeyedRecord) {
	var c Claim
	if err := json.Unmarshal(rec.Value, &c); err != nil {
		r.logUndecodable(rec, err)
		return
	}
	r.mu.Lock()
	changed := !c.SameOwnership(r.claim)
	if c.Epoch > r.claim.Epoch {
		r.claimOffset, r.claimedAt = rec.Offset, r.clock.Now()
	}
	if c.Epoch >= r.claim.Epoch {
		r.claim = c
		r.lastOwnerRecord = r.clock.Now()
	}
	r.mu.Unlock()
	if changed {
		r.observer.ClaimChanged(c)
	}
}

func (r *Replica) applyJob(rec hv.KeyedRecord, id string) {
	if len(rec.Value) == 0 {
		r.mu.Lock()
		delete(r.jobs, id)
		r.mu.Unlock()
		return
	}
	var j hvjob.Job
	if err := json.Unmarshal(rec.Value, &j); err != nil {
		r.logUndecodable(rec, err)
		return
	}
	r.mu.Lock()
	e := r.jobs[id]
	if e != nil && e.Job.ID != "" {
		// This is a repeated submission of the same job.
		r.mu.Unlock()
		return
	}
	if e == nil {
		e = &Entry{}
		r.jobs[id] = e
	}
	e.Job, e.Offset = j, rec.Offset
	changed := *e
	r.mu.Unlock()
	r.observer.JobChanged(changed)
}

func (r *Replica) applyCancel(rec hv.KeyedRecord, id string) {
	r.mu.Lock()
	e := r.jobs[id]
	if e == nil || len(rec.Value) == 0 {
		r.mu.Unlock()
		return
	}
	e.Cancelled = true
	changed := *e
	r.mu.Unlock()
	r.observer.JobChanged(changed)
}

func (r *Replica) applyProgress(rec hv.KeyedRecord, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastOwnerRecord = r.clock.Now()
	e := r.jobs[id]
	if e == nil || len(rec.Value) == 0 {
		return
	}
	p, err := decodeProgress(rec.Value, e.Job)
	if err != nil {
		r.logUndecodable(rec, err)
		return
	}
	e.Progress = p
}

// decodeProgress decodes progress and checks that it fits the job: an owner that
// applied other progress would read beyond the job's steps.
func decodeProgress(b []byte, j hvjob.Job) (hvjob.Progress, error) {
	var p hvjob.Progress
	if err := decode(b, &p); err != nil {
		return p, err
	}
	return p, p.Check(j)
}

func (r *Replica) applyNode(rec hv.KeyedRecord, name string) {
	n := Node{Name: name}
	if len(rec.Value) > 0 {
		if err := json.Unmarshal(rec.Value, &n); err != nil {
			r.logUndecodable(rec, err)
			return
		}
	}
	r.mu.Lock()
	if len(rec.Value) == 0 {
		delete(r.nodes, name)
	} else {
		r.nodes[name] = n
	}
	r.mu.Unlock()
	r.observer.NodeChanged(n, len(rec.Value) == 0)
}

func (r *Replica) logUndecodable(rec hv.KeyedRecord, err error) {
	_ = level.Error(r.logger).Log("msg", "record cannot be decoded and is skipped", "key", rec.Key, "offset", rec.Offset, "err", err)
}
