package hvslot

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// startedIDs is the size of one generation of started requests. 8 slots
	// at 10 ms a request start 48,000 requests in the 60 s that a settle may
	// come late.
	startedIDs = 1 << 16
	// blockedIDs is the size of one generation of blocked requests.
	blockedIDs = 1 << 13
)

// idset remembers the newest identifiers in two generations, as hashes. Two
// identifiers with one hash make an outcome unknown, never a false not-run.
type idset struct {
	limit     int
	now, then map[uint64]struct{}
	// turned is when the younger generation began. Everything that was added
	// after lost is still present.
	turned, lost time.Time
}

func newIDSet(limit int) *idset {
	return &idset{limit: limit, now: map[uint64]struct{}{}}
}

func (s *idset) has(id string) bool {
	h := xxhash.Sum64String(id)
	_, young := s.now[h]
	_, old := s.then[h]
	return young || old
}

func (s *idset) add(id string, now time.Time) {
	if len(s.now) >= s.limit {
		s.lost, s.turned = s.turned, now
		s.then, s.now = s.now, map[uint64]struct{}{}
	}
	s.now[xxhash.Sum64String(id)] = struct{}{}
}

// holds reports whether an addition would keep everything since a time.
func (s *idset) holds(since time.Time) bool {
	return len(s.now) < s.limit || s.turned.Before(since)
}
