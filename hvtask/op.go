// Package hvtask implements the state machine of one shard of tasks. The state
// is a pure function of the records of the shard's stream: the package reads no
// clock and performs no I/O.
package hvtask

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	hv "hibiscusvane.example/hibiscusvane"
)

// Shards is the number of shards in a region.
const Shards = 16

// ShardOf returns the shard that a task belongs to.
func ShardOf(id string) int { return int(xxhash.Sum64String(id) % Shards) }

// KindOps is the kind of the records that this package applies.
const KindOps = "ops"

// The names of the operations.
const (
	OpClaim   = "claim"
	OpRelease = "release"
	OpSubmit  = "submit"
	OpCancel  = "cancel"
	OpPlace   = "place"
	OpRefuse  = "refuse"
	OpRun     = "run"
	OpEnd     = "end"
	OpEvict   = "evict"
	OpLose    = "lose"
	OpDrop    = "drop"
	// OpRequestQuota, OpGiveQuota and OpTakeQuota move parts of a team's quota
	// between shards.
	OpRequestQuota = "ask"
	OpGiveQuota    = "give"
	OpTakeQuota    = "take"
)

// Op is one operation. Which fields it uses depends on its name.
type Op struct {
	Op     string `json:"op"`
	TaskID string `json:"task,omitempty"`
	Number int    `json:"number,omitempty"`
	// Host and SideIncarnation are where a place operation puts an attempt: the
	// host and its side process at the time of the decision.
	Host            string `json:"host,omitempty"`
	SideIncarnation string `json:"side,omitempty"`
	// NewTask is the submitted task.
	NewTask *hv.Task `json:"body,omitempty"`
	// FromSettings marks a submitted task that is defined in the settings.
	FromSettings bool `json:"settings,omitempty"`
	// State is done or failed for an end operation, failed or impossible for a
	// drop operation.
	State State `json:"state,omitempty"`
	// NeverStarted marks a lost attempt that is known not to have started.
	NeverStarted bool   `json:"never,omitempty"`
	Reason       string `json:"reason,omitempty"`
	Checkpoint   string `json:"checkpoint,omitempty"`
	// TaskIDs and Label ("key=value") select the tasks that a cancel operation
	// ends.
	TaskIDs []string `json:"tasks,omitempty"`
	Label   string   `json:"label,omitempty"`
	// Gate is the name of the claiming gate.
	Gate string `json:"gate,omitempty"`
	// Team, Shard and Amount belong to the quota operations. The amounts of
	// give and take are totals since the beginning of the stream, so that
	// applying an operation twice has no further effect.
	Team   string        `json:"team,omitempty"`
	Shard  int           `json:"shard,omitempty"`
	Amount *hv.Resources `json:"amount,omitempty"`
}

// Ops is the body of a record of kind ops.
type Ops struct {
	// Epoch and OwnerIncarnation identify the ownership under which the
	// operations are valid. Submit and cancel are always valid.
	Epoch            int64  `json:"epoch,omitempty"`
	OwnerIncarnation string `json:"owner,omitempty"`
	Ops              []Op   `json:"ops"`
}

// Submit returns the operation that submits a task.
func Submit(t hv.Task) Op { return Op{Op: OpSubmit, NewTask: &t} }

// Cancel returns the operation that cancels tasks by identifier.
func Cancel(ids ...string) Op { return Op{Op: OpCancel, TaskIDs: ids} }

// CancelLabel returns the operation that cancels all tasks with a label.
func CancelLabel(label string) Op { return Op{Op: OpCancel, Label: label} }

// Checksum returns a checksum of a task, which tells a repeated submission from
// a conflicting one.
func Checksum(t hv.Task) uint64 {
	b, err := json.Marshal(t)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}
