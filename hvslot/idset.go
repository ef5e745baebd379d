package hvslot

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// startedPerGeneration is the size of one generation of started requests.
	// With 10 ms per request, 8 slots start 48,000 requests in the 60 s by which
	// a settle may be late.
	startedPerGeneration = 1 << 16
	// blockedPerGeneration is the size of one generation of blocked requests.
	blockedPerGeneration = 1 << 13
)

// idSet holds the hashes of the newest identifiers in two generations. When the
// current generation is full, it replaces the previous one. A hash collision can
// make an outcome unknown but never leads to a false not-run.
type idSet struct {
	limit             int
	current, previous map[uint64]struct{}
	// rotatedAt is the start of the current generation. All identifiers that
	// were added after completeSince are still present.
	rotatedAt, completeSince time.Time
}

func newIDSet(limit int) *idSet {
	return &idSet{limit: limit, current: map[uint64]struct{}{}}
}

func (s *idSet) has(id string) bool {
	h := xxhash.Sum64String(id)
	_, inCurrent := s.current[h]
	_, inPrevious := s.previous[h]
	return inCurrent || inPrevious
}

func (s *idSet) add(id string, now time.Time) {
	if len(s.current) >= s.limit {
		s.completeSince, s.rotatedAt = s.rotatedAt, now
		s.previous, s.current = s.current, map[uint64]struct{}{}
	}
	s.current[xxhash.Sum64String(id)] = struct{}{}
}

// canRetain reports whether all identifiers that were added since a time remain
// in the set after another addition.
func (s *idSet) canRetain(since time.Time) bool {
	return len(s.current) < s.limit || s.rotatedAt.Before(since)
}
