package hvlog

import (
	"maps"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// DuplicateAge is how long a reader remembers a writer that has gone silent.
// A writer stops retrying an uncertain append after half of it, so a duplicate
// never arrives after its writer was forgotten.
const DuplicateAge = 24 * time.Hour

// pruneEvery is the number of records between two removals of old marks.
const pruneEvery = 1024

// mark is the newest record of one writer.
type mark struct {
	Sequence int64     `json:"sequence"`
	Offset   hv.Offset `json:"offset"`
	Time     time.Time `json:"time"`
}

// seen removes duplicates. Its state depends on the records of the stream
// only, never on the local clock, so that every reader drops the same records.
type seen struct {
	// now is the largest record time so far.
	now   time.Time
	marks map[string]mark
	count int
}

func newSeen() *seen { return &seen{marks: map[string]mark{}} }

// accept reports whether a record takes effect. A record whose sequence is not
// above the highest of its writer is a duplicate.
func (s *seen) accept(rec hv.Record) bool {
	writer, sequence, ok := ParseID(rec.ID)
	if rec.Time.After(s.now) {
		s.now = rec.Time
	}
	if s.count++; s.count%pruneEvery == 0 {
		s.prune()
	}
	if !ok {
		return false
	}
	if m, found := s.marks[writer]; found && !s.old(m) && sequence <= m.Sequence {
		return false
	}
	s.marks[writer] = mark{Sequence: sequence, Offset: rec.Offset, Time: s.now}
	return true
}

func (s *seen) old(m mark) bool { return s.now.Sub(m.Time) > DuplicateAge }

func (s *seen) prune() {
	maps.DeleteFunc(s.marks, func(_ string, m mark) bool { return s.old(m) })
}
