package hvnode

import (
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
)

// maxLastEnds limits the ends that are kept of executors that have ended.
const maxLastEnds = 2000

// lastEnds keeps ends of executors that have ended until an owner has stored their effect.
// Without them the owner starts tasks again that were done just before. The node's lock
// protects it.
type lastEnds struct {
	// kept holds the ends that are not acknowledged. They are numbered as they were added;
	// last is the number of the last one, and reported that of the last one sent on the
	// current connection.
	kept           []hv.RunEnd
	last, reported int64
}

// add keeps an end. It returns false if the oldest one was dropped for it.
func (l *lastEnds) add(e hv.RunEnd) bool {
	l.kept = append(l.kept, e)
	l.last++
	if len(l.kept) <= maxLastEnds {
		return true
	}
	l.kept = l.kept[1:]
	return false
}

// attached makes all ends due on a new connection.
func (l *lastEnds) attached() { l.reported = 0 }

// unreported returns the ends that were not sent on the current connection, and the number
// of the last one.
func (l *lastEnds) unreported() ([]hv.RunEnd, int64) {
	due := min(l.last-l.reported, int64(len(l.kept)))
	l.reported = l.last
	if due == 0 {
		return nil, 0
	}
	return l.kept[int64(len(l.kept))-due:], l.last
}

// acknowledged forgets the ends up to a number.
func (l *lastEnds) acknowledged(number int64) {
	left := min(max(l.last-number, 0), int64(len(l.kept)))
	l.kept = l.kept[int64(len(l.kept))-left:]
}

// keepLastEnds keeps the unacknowledged ends of an executor that has ended. The lock is held.
func (n *Node) keepLastEnds() {
	dropped := 0
	for _, e := range n.executorState.Ended {
		if e.Number > n.ackedEnd && !n.lastEnds.add(e) {
			dropped++
		}
	}
	if dropped > 0 {
		_ = level.Error(n.deps.Logger).Log("msg", "too many ends of executors that have ended are not reported; the oldest are dropped", "dropped", dropped, "limit", maxLastEnds)
	}
}
