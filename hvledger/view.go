package hvledger

import (
	"encoding/json"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
)

// notice tells an observer of a change.
type notice func(Observer)

// view is the state that the records of the topic before an offset amount to.
type view struct {
	// next is the offset of the next record.
	next        int64
	jobs        map[string]*Entry
	nodes       map[string]Node
	claim       Claim
	claimOffset int64
	// claimedAt is when the first record of the claim arrived.
	claimedAt time.Time
	// learned holds the stored learned state of the last owner, still encoded.
	learned []byte
	// earlyCancels holds the jobs that are cancelled and not in the topic, and when that was
	// last read. Their submissions may still be on the way.
	earlyCancels map[string]time.Time
	// loading is true for the state of a load, which lacks the keys that changed while its
	// pages were read. Progress may then come before its job: earlyProgress holds it.
	loading       bool
	earlyProgress map[string]hv.KeyedRecord
}

func newView(next int64) *view {
	return &view{next: next, jobs: map[string]*Entry{}, nodes: map[string]Node{}, earlyProgress: map[string]hv.KeyedRecord{}, earlyCancels: map[string]time.Time{}}
}

// endLoading drops progress of jobs that do not exist.
func (v *view) endLoading() {
	v.loading = false
	clear(v.earlyProgress)
}

// errUnknownKey is the error of a record of a newer build.
var errUnknownKey = failure("apply", hv.Invalid, "unknown key")

// apply applies a record and returns the changes. An error means that the record was skipped.
func (v *view) apply(rec hv.KeyedRecord, now time.Time) ([]notice, error) {
	switch rec.Key {
	case ownerKey:
		return v.applyClaim(rec, now)
	case learnedKey:
		return nil, v.applyLearned(rec)
	}
	switch prefix, id := cutKey(rec.Key); prefix {
	case jobPrefix:
		return v.applyJob(rec, id)
	case cancelPrefix:
		return v.applyCancel(rec, id, now), nil
	case progressPrefix:
		return nil, v.applyProgress(rec, id)
	case nodePrefix:
		return v.applyNode(rec, id)
	}
	return nil, errUnknownKey
}

func (v *view) applyLearned(rec hv.KeyedRecord) error {
	value, err := decompress(rec.Value)
	if err != nil {
		return err
	}
	v.learned = value
	return nil
}

func (v *view) applyClaim(rec hv.KeyedRecord, now time.Time) ([]notice, error) {
	var c Claim
	if err := json.Unmarshal(rec.Value, &c); err != nil {
		return nil, err
	}
	changed := !c.SameOwnership(v.claim)
	if c.Epoch > v.claim.Epoch {
		v.claimOffset, v.claimedAt = rec.Offset, now
	}
	if c.Epoch >= v.claim.Epoch {
		v.claim = c
	}
	if !changed {
		return nil, nil
	}
	return []notice{claimChanged(c)}, nil
}

func (v *view) applyJob(rec hv.KeyedRecord, id string) ([]notice, error) {
	if len(rec.Value) == 0 {
		delete(v.jobs, id)
		delete(v.earlyProgress, id)
		return nil, nil
	}
	var j hvjob.Job
	if err := json.Unmarshal(rec.Value, &j); err != nil {
		return nil, err
	}
	if v.jobs[id] != nil {
		// This is a repeated submission of the same job.
		return nil, nil
	}
	_, cancelled := v.earlyCancels[id]
	delete(v.earlyCancels, id)
	e := &Entry{Job: j, Offset: rec.Offset, Cancelled: cancelled}
	v.jobs[id] = e
	var err error
	if early, ok := v.earlyProgress[id]; ok {
		delete(v.earlyProgress, id)
		err = v.applyProgress(early, id)
	}
	return []notice{jobChanged(*e)}, err
}

// applyCancel cancels a job, also one whose record is still to come. A tombstone ends the
// cancellation of a job that is not in the topic; others are removed together with their jobs.
func (v *view) applyCancel(rec hv.KeyedRecord, id string, now time.Time) []notice {
	if len(rec.Value) == 0 {
		delete(v.earlyCancels, id)
		return nil
	}
	if e := v.jobs[id]; e != nil {
		e.Cancelled = true
		return []notice{jobChanged(*e)}
	}
	v.earlyCancels[id] = now
	return nil
}

func (v *view) applyProgress(rec hv.KeyedRecord, id string) error {
	e := v.jobs[id]
	if e == nil && v.loading {
		v.earlyProgress[id] = rec
	}
	if e == nil || len(rec.Value) == 0 {
		return nil
	}
	p, err := decodeProgress(rec.Value, e.Job)
	if err != nil {
		return err
	}
	e.Progress = p
	return nil
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

func (v *view) applyNode(rec hv.KeyedRecord, name string) ([]notice, error) {
	n := Node{Name: name}
	if len(rec.Value) == 0 {
		delete(v.nodes, name)
		return []notice{nodeChanged(n, true)}, nil
	}
	if err := json.Unmarshal(rec.Value, &n); err != nil {
		return nil, err
	}
	v.nodes[name] = n
	return []notice{nodeChanged(n, false)}, nil
}

// replace takes the place of an older state. It keeps what only the records in between tell,
// and returns the changes.
func (v *view) replace(old *view) []notice {
	var out []notice
	if v.claim.Epoch == old.claim.Epoch {
		v.claimOffset, v.claimedAt = old.claimOffset, old.claimedAt
	}
	if !v.claim.SameOwnership(old.claim) {
		out = append(out, claimChanged(v.claim))
	}
	for name, n := range old.nodes {
		if _, ok := v.nodes[name]; !ok {
			out = append(out, nodeChanged(n, true))
		}
	}
	for _, n := range v.nodes {
		out = append(out, nodeChanged(n, false))
	}
	for id, e := range v.jobs {
		before := old.jobs[id]
		if before == nil || !e.continues(*before) {
			out = append(out, jobChanged(*e))
			continue
		}
		e.Offset = before.Offset
		if e.Cancelled != before.Cancelled {
			out = append(out, jobChanged(*e))
		}
	}
	return out
}

// continues reports whether an entry is a later state of the same job, and not that of a job
// that was submitted again after its removal: neither progress nor a cancellation is ever
// taken back.
func (e Entry) continues(before Entry) bool {
	return (e.Progress.State != "" || before.Progress.State == "") && (e.Cancelled || !before.Cancelled)
}

func jobChanged(e Entry) notice { return func(o Observer) { o.JobChanged(e) } }

func nodeChanged(n Node, dropped bool) notice {
	return func(o Observer) { o.NodeChanged(n, dropped) }
}

func claimChanged(c Claim) notice { return func(o Observer) { o.ClaimChanged(c) } }
