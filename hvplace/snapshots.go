package hvplace

import (
	"maps"
	"time"
)

// Samples lag by 30 s, so the placer keeps snapshots of the programs of a host
// for a little longer. An interval of 2 s is short enough, as tasks run for
// much longer.
const (
	snapshotInterval = 2 * time.Second
	maxSnapshots     = 24
)

type snapshot struct {
	time     time.Time
	programs map[string]int
}

// snapshots holds the recent programs of one host, oldest first.
type snapshots []snapshot

func (s *snapshots) record(now time.Time, programs map[string]int) {
	recent := *s
	if n := len(recent); n > 0 && now.Sub(recent[n-1].time) < snapshotInterval {
		return
	}
	if len(recent) == maxSnapshots {
		copy(recent, recent[1:])
		recent = recent[:len(recent)-1]
	}
	*s = append(recent, snapshot{now, maps.Clone(programs)})
}

// at returns the programs that ran at time t, or nil if that is not known.
func (s snapshots) at(t time.Time) map[string]int {
	for i := len(s) - 1; i >= 0; i-- {
		if !s[i].time.After(t) {
			return s[i].programs
		}
	}
	return nil
}
