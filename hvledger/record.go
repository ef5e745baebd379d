// Package hvledger replicates the jobs, nodes and the owner of a cell from a
// keyed topic of the platform's store, and elects the owner.
package hvledger

import (
	"context"
	"encoding/json"
	"strings"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// Keys of the topic. Prefixes end in a slash and are followed by an identifier.
const (
	jobPrefix      = "job/"
	cancelPrefix   = "cancel/"
	progressPrefix = "progress/"
	nodePrefix     = "node/"
	ownerKey       = "owner"
	learnedKey     = "learned"
)

// Node is the registration of a gate or side process.
type Node struct {
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Addr is the address that other gates and sides connect to.
	Addr string `json:"addr"`
	Gate bool   `json:"gate,omitempty"`
	// Capacity is the capacity of a gate's machine in thousandths of a core.
	Capacity int64 `json:"capacity,omitempty"`
	// Host is set once the executor beside the node has announced itself.
	Host *hvorder.Host `json:"host,omitempty"`
}

// Claim names the owner of the cell.
type Claim struct {
	Epoch int64  `json:"epoch"`
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	// Process distinguishes the incarnations of a gate.
	Process string `json:"process"`
	// Released is true once the owner has released the cell.
	Released bool `json:"released,omitempty"`
	// EarlierAuthority is how many milliseconds after the claim owners before this one may
	// still grant leases. Records of the claim leave it out once the time has passed.
	EarlierAuthority int64 `json:"earlier,omitempty"`
	// LeaseOverhang is how many milliseconds the leases of the owner last beyond its
	// authority. Owners of earlier builds do not state it.
	LeaseOverhang int64 `json:"overhang,omitempty"`
}

// SameOwnership reports whether two claims differ in no more than EarlierAuthority.
func (c Claim) SameOwnership(d Claim) bool {
	c.EarlierAuthority = d.EarlierAuthority
	return c == d
}

// maxJobBytes limits the record of a job, besides the limit of the store.
const maxJobBytes = 128 << 10

// JobRecord returns the record that accepts a job. An error of kind Invalid means that
// the store could not hold the job or its progress.
func (l Limits) JobRecord(j hvjob.Job) (hv.KeyedRecord, error) {
	rec, err := encode(jobPrefix+j.ID, j)
	if err != nil {
		return rec, err
	}
	if limit := min(maxJobBytes, l.valueBytes(rec.Key)); len(rec.Value) > limit {
		return rec, failure("encode", hv.Invalid, "job %s takes %d bytes, the limit is %d", j.ID, len(rec.Value), limit)
	}
	if n, limit := hvjob.RoundBytes(j), l.valueBytes(progressPrefix+j.ID); n > limit {
		return rec, failure("encode", hv.Invalid, "steps: the progress of job %s takes %d bytes, the limit is %d", j.ID, n, limit)
	}
	return rec, nil
}

// CancelRecord returns the record that cancels a job.
func CancelRecord(id string) hv.KeyedRecord {
	return hv.KeyedRecord{Key: cancelPrefix + id, Value: []byte("1")}
}

// ProgressRecord returns the record that stores a job's progress. One that is too large is
// stored without saved states, which the hosts have too, then compressed, and then without
// what is known of crashes. An error of kind Invalid means that it is too large even so.
func (l Limits) ProgressRecord(id string, p hvjob.Progress) (hv.KeyedRecord, error) {
	key := progressPrefix + id
	rec, err := encode(key, p)
	if err != nil || l.fits(rec) {
		return rec, err
	}
	p = p.WithoutSavedStates()
	if rec, err = encode(key, p); err != nil || l.fits(rec) {
		return rec, err
	}
	if rec = compress(rec); l.fits(rec) {
		return rec, nil
	}
	if rec, err = encode(key, p.WithoutCrashes()); err != nil {
		return rec, err
	}
	if rec = compress(rec); !l.fits(rec) {
		return rec, failure("encode", hv.Invalid, "progress of job %s takes %d bytes, the limit is %d", id, len(rec.Value), l.valueBytes(key))
	}
	return rec, nil
}

// Register stores the registration of a node.
func Register(ctx context.Context, store hv.KeyedStore, topic string, n Node) error {
	rec, err := encode(nodePrefix+n.Name, n)
	if err != nil {
		return err
	}
	_, err = store.Append(ctx, topic, []hv.KeyedRecord{rec}, hv.Fence{ExpectedEnd: -1})
	return err
}

// Unregister removes the registration of a node.
func Unregister(ctx context.Context, store hv.KeyedStore, topic, name string) error {
	_, err := store.Append(ctx, topic, []hv.KeyedRecord{NodeTombstone(name)}, hv.Fence{ExpectedEnd: -1})
	return err
}

// NodeTombstone returns the record that deletes the registration of a node.
func NodeTombstone(name string) hv.KeyedRecord { return hv.KeyedRecord{Key: nodePrefix + name} }

// JobTombstones returns the records that delete a job, its progress and its cancellation.
// The job comes first: they may be divided between two appends, and it must not be there
// without the others.
func JobTombstones(id string) []hv.KeyedRecord {
	return []hv.KeyedRecord{{Key: jobPrefix + id}, {Key: progressPrefix + id}, CancelTombstone(id)}
}

// CancelTombstone returns the record that deletes the cancellation of a job.
func CancelTombstone(id string) hv.KeyedRecord { return hv.KeyedRecord{Key: cancelPrefix + id} }

// LearnedRecord returns the record that stores the state learned by owners, such as run
// times and interference: the first of the versions that fits, which come in the order of
// preference. An error of kind Invalid means that none does.
func (l Limits) LearnedRecord(versions ...any) (hv.KeyedRecord, error) {
	var rec hv.KeyedRecord
	for _, v := range versions {
		var err error
		if rec, err = encode(learnedKey, v); err != nil || l.fits(rec) {
			return rec, err
		}
		if rec = compress(rec); l.fits(rec) {
			return rec, nil
		}
	}
	return rec, failure("encode", hv.Invalid, "learned state takes %d bytes, the limit is %d", len(rec.Value), l.valueBytes(learnedKey))
}

// IsLearned reports whether a record stores the learned state.
func IsLearned(rec hv.KeyedRecord) bool { return rec.Key == learnedKey }

// ProgressJob returns the identifier of the job whose progress a record stores, or false for
// other records.
func ProgressJob(rec hv.KeyedRecord) (id string, ok bool) {
	prefix, id := cutKey(rec.Key)
	return id, prefix == progressPrefix && len(rec.Value) > 0
}

func claimRecord(c Claim) (hv.KeyedRecord, error) { return encode(ownerKey, c) }

// showsOwner reports whether gates take a record for a sign of the owner: nobody else
// writes such records.
func showsOwner(rec hv.KeyedRecord) bool {
	return rec.Key == ownerKey || rec.Key == learnedKey || strings.HasPrefix(rec.Key, progressPrefix)
}

func encode(key string, v any) (hv.KeyedRecord, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return hv.KeyedRecord{}, &Error{Op: "encode", Kind: hv.Invalid, Err: err}
	}
	return hv.KeyedRecord{Key: key, Value: b}, nil
}

// cutKey splits a key into its prefix and identifier. The prefix is empty if the
// key has no slash.
func cutKey(key string) (prefix, id string) {
	i := strings.IndexByte(key, '/')
	return key[:i+1], key[i+1:]
}
