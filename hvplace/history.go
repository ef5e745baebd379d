package hvplace

import (
	"maps"
	"time"
)

// Samples lag by 30 s, so the placer remembers for a little longer what ran on
// a host. One snapshot in 2 s is enough: tasks run for much longer than that.
const (
	snapshotStep  = 2 * time.Second
	snapshotCount = 24
)

type snapshot struct {
	time     time.Time
	programs map[string]int
}

// snapshots is the recent past of the tasks on one host, oldest first.
type snapshots []snapshot

func (s *snapshots) note(now time.Time, programs map[string]int) {
	h := *s
	if n := len(h); n > 0 && now.Sub(h[n-1].time) < snapshotStep {
		return
	}
	if len(h) == snapshotCount {
		copy(h, h[1:])
		h = h[:len(h)-1]
	}
	*s = append(h, snapshot{now, maps.Clone(programs)})
}

// at returns what ran at a time, or nil if that is not known.
func (s snapshots) at(t time.Time) map[string]int {
	for i := len(s) - 1; i >= 0; i-- {
		if !s[i].time.After(t) {
			return s[i].programs
		}
	}
	return nil
}
