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

const (
	// maxJobBytes limits the record of a job. The store refuses an append with a record
	// over 256 KiB, and an owner whose append is refused gives up the cell.
	maxJobBytes = 128 << 10
	// maxProgressBytes is the size from which the record of a job's progress is stored
	// without saved states, which the hosts have too.
	maxProgressBytes = 240 << 10
)

// JobRecord returns the record that accepts a job. An error of kind Invalid means that
// the job is too large.
func JobRecord(j hvjob.Job) (hv.KeyedRecord, error) {
	rec, err := encode(jobPrefix+j.ID, j)
	if err == nil && len(rec.Value) > maxJobBytes {
		err = failure("encode", hv.Invalid, "job %s takes %d bytes, the limit is %d", j.ID, len(rec.Value), maxJobBytes)
	}
	return rec, err
}

// CancelRecord returns the record that cancels a job.
func CancelRecord(id string) hv.KeyedRecord {
	return hv.KeyedRecord{Key: cancelPrefix + id, Value: []byte("1")}
}

// ProgressRecord returns the record that stores a job's progress.
func ProgressRecord(id string, p hvjob.Progress) (hv.KeyedRecord, error) {
	rec, err := encode(progressPrefix+id, p)
	if err == nil && len(rec.Value) > maxProgressBytes {
		return encode(progressPrefix+id, p.WithoutSavedStates())
	}
	return rec, err
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

// JobTombstones returns the records that delete a job, its progress and its
// cancellation.
func JobTombstones(id string) []hv.KeyedRecord {
	return []hv.KeyedRecord{{Key: progressPrefix + id}, {Key: cancelPrefix + id}, {Key: jobPrefix + id}}
}

// LearnedRecord returns the record that stores the state learned by owners, such
// as run times and interference.
func LearnedRecord(v any) (hv.KeyedRecord, error) { return encode(learnedKey, v) }

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
