package hvnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

const (
	// lateCallTime is how long after a call without a response the executor may still carry
	// it out, and undo what was set since.
	lateCallTime = 10 * time.Second
	// shareRepeatInterval is the time between calls that repeat a share for this long.
	shareRepeatInterval = time.Second
)

// runShare is what this node knows of the CPU share of a run.
type runShare struct {
	// percent is the share that was last set. It counts only if known is set: a call failed,
	// or another process of this node started the run and may have set any share.
	percent int
	known   bool
	// calling is true while a call for the run is in progress.
	calling bool
	// setAt is when it was last set, and uncertainAt when a call last got no response.
	setAt, uncertainAt time.Time
}

// isFull reports whether the run is known to have the full share.
func (s runShare) isFull() bool { return s.known && s.percent == fullShare }

// isDue reports whether the share is to be set to a percentage: it is another one, or a late
// call may have changed it since.
func (s runShare) isDue(now time.Time, percent int) bool {
	if s.calling {
		// Calls on different connections may overtake each other; the next measurement
		// decides again.
		return false
	}
	if !s.known || s.percent != percent {
		return true
	}
	return now.Sub(s.uncertainAt) < lateCallTime && now.Sub(s.setAt) >= shareRepeatInterval
}

// applyShare sets the share of a run at the executor if that is due.
func (n *Node) applyShare(ctx context.Context, r hv.RunState, share int) {
	if !n.beginShareCall(runOf(r), share) {
		return
	}
	err := n.deps.Executor.Throttle(ctx, r.Task, r.Run, share, n.currentVersion().token)
	_ = level.Debug(n.deps.Logger).Log("msg", "call to set the CPU share of a run returned", "task", r.Task, "percent", share, "err", err)
	n.endShareCall(runOf(r), err)
}

// applyInitialShare sets the share of a new best-effort run to that of similar
// runs, because the executor starts runs with the full share.
func (n *Node) applyInitialShare(ctx context.Context, run hvorder.Run) {
	n.mu.Lock()
	p := n.profiles[run]
	share := fullShare - n.interferingShare.reduction
	if n.isHarmless(p.Image) {
		share = fullShare - n.harmlessShare.reduction
	}
	n.mu.Unlock()
	if p.BestEffort {
		n.applyShare(ctx, hv.RunState{Task: run.Task, Run: run.Run}, share)
	}
}

// beginShareCall records the share of a run and reports whether it is to be set.
func (n *Node) beginShareCall(run hvorder.Run, share int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.deps.Clock.Now()
	s, found := n.shares[run]
	if !s.isDue(now, share) {
		return false
	}
	if !found {
		// Calls of the process that started the run may be late, too.
		s.uncertainAt = now
	}
	s.percent, s.known, s.setAt, s.calling = share, true, now, true
	n.shares[run] = s
	return true
}

// endShareCall records the end of a call. One without a response may still be carried out.
func (n *Node) endShareCall(run hvorder.Run, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	s := n.shares[run]
	s.calling = false
	if err != nil {
		s.known = false
	}
	if err != nil && hv.KindOf(err) == hv.Uncertain {
		s.uncertainAt = n.deps.Clock.Now()
	}
	n.shares[run] = s
}

// recordStartShare records that a run, if its start is carried out, begins with the full
// share. The lock is held.
func (n *Node) recordStartShare(p hvorder.Profile) {
	if p.BestEffort {
		n.shares[p.Run] = runShare{percent: fullShare, known: true}
	}
}

// isThrottled reports whether a run may have less than the full share, which may stop its
// progress. The lock is held.
func (n *Node) isThrottled(run hvorder.Run) bool {
	return n.profiles[run].BestEffort && !n.shares[run].isFull()
}
