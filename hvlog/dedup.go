package hvlog

import (
	"maps"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// DuplicateAge is how long a reader remembers a writer after its last record. A
// writer stops retrying an uncertain append after half of it, so that no duplicate
// arrives after its writer was removed.
const DuplicateAge = 24 * time.Hour

// pruneInterval is the number of records between two removals of expired writers.
const pruneInterval = 1024

// lastRecord identifies the last record of one writer. Time is the stream time at
// which it was accepted.
type lastRecord struct {
	Sequence int64     `json:"sequence"`
	Offset   hv.Offset `json:"offset"`
	Time     time.Time `json:"time"`
}

// deduplicator detects duplicate records. Its state depends on the records of the
// stream only, never on the local clock, so that every reader drops the same ones.
type deduplicator struct {
	// streamTime is the latest record time so far.
	streamTime time.Time
	writers    map[string]lastRecord
	records    int
}

func newDeduplicator() *deduplicator { return &deduplicator{writers: map[string]lastRecord{}} }

// accept reports whether a record takes effect. A record whose sequence number is
// not above the highest of its writer is a duplicate. A record without a valid
// identifier never takes effect.
func (d *deduplicator) accept(rec hv.Record) bool {
	writer, sequence, ok := ParseID(rec.ID)
	if rec.Time.After(d.streamTime) {
		d.streamTime = rec.Time
	}
	if d.records++; d.records%pruneInterval == 0 {
		d.prune()
	}
	if !ok {
		return false
	}
	if last, found := d.writers[writer]; found && !d.expired(last) && sequence <= last.Sequence {
		return false
	}
	d.writers[writer] = lastRecord{Sequence: sequence, Offset: rec.Offset, Time: d.streamTime}
	return true
}

func (d *deduplicator) expired(last lastRecord) bool {
	return d.streamTime.Sub(last.Time) > DuplicateAge
}

func (d *deduplicator) prune() {
	maps.DeleteFunc(d.writers, func(_ string, last lastRecord) bool { return d.expired(last) })
}
