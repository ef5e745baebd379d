package hvlog

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
)

// Kinds of snapshot records. The follower handles them itself and does not pass
// them to the applier. KindSnapshot is used in the task streams, KindKeep in the
// streams of settings and key slots.
const (
	KindSnapshot = "snap"
	KindKeep     = "keep"
)

// snapshot is the body of a snapshot record and of a response to a peer: the state
// after all records before AsOf. It includes the last record of each writer, so
// that a reader that starts from it drops the same duplicates as all others.
type snapshot struct {
	AsOf    hv.Offset             `json:"asof"`
	State   json.RawMessage       `json:"state"`
	Time    time.Time             `json:"time,omitzero"`
	Writers map[string]lastRecord `json:"seen"`
}

func decodeSnapshot(body []byte) (snapshot, error) {
	var snap snapshot
	if err := json.Unmarshal(body, &snap); err != nil {
		return snap, &Error{Op: "decode snapshot", Kind: hv.Invalid, Err: err}
	}
	if snap.AsOf < FirstOffset || len(snap.State) == 0 {
		return snap, errorf("decode snapshot", hv.Invalid, "asof is %d, want at least %d and a non-empty state", snap.AsOf, FirstOffset)
	}
	return snap, nil
}

func (snap snapshot) deduplicator() *deduplicator {
	d := newDeduplicator()
	d.streamTime = snap.Time
	for w, last := range snap.Writers {
		d.writers[w] = last
	}
	return d
}

func encodeSnapshot(next hv.Offset, state []byte, dedup *deduplicator) ([]byte, error) {
	dedup.prune()
	body, err := json.Marshal(snapshot{AsOf: next, State: state, Time: dedup.streamTime, Writers: dedup.writers})
	return body, errors.Wrap(err, "encode snapshot")
}

// decodeSnapshotRecord decodes a snapshot record. It reports false for other
// records and for a snapshot whose AsOf is after its own offset.
func decodeSnapshotRecord(rec hv.Record) (snapshot, bool) {
	if !isSnapshot(rec) {
		return snapshot{}, false
	}
	snap, err := decodeSnapshot(rec.Body)
	return snap, err == nil && snap.AsOf <= rec.Offset
}

func isSnapshot(rec hv.Record) bool { return rec.Kind == KindSnapshot || rec.Kind == KindKeep }
