package hvnode

import (
	"context"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// runShare is what this node knows of the CPU share of a run.
type runShare struct {
	// percent is the share that was last set. It counts only if known is set: a call failed,
	// or another process of this node started the run and may have set any share.
	percent int
	known   bool
}

// isFull reports whether the run is known to have the full share.
func (s runShare) isFull() bool { return s.known && s.percent == fullShare }

// applyShare sets the share of a run at the executor if it has changed.
func (n *Node) applyShare(ctx context.Context, r hv.RunState, share int, epoch int64) {
	if !n.recordShare(runOf(r), share) {
		return
	}
	err := n.deps.Executor.Throttle(ctx, r.Task, r.Run, share, epoch)
	_ = level.Debug(n.deps.Logger).Log("msg", "call to set the CPU share of a run returned", "task", r.Task, "percent", share, "err", err)
	if err != nil {
		n.forgetShare(runOf(r))
	}
}

// applyInitialShare sets the share of a new best-effort run to that of similar
// runs, because the executor starts runs with the full share.
func (n *Node) applyInitialShare(ctx context.Context, run hvorder.Run, epoch int64) {
	n.mu.Lock()
	p := n.profiles[run]
	share := fullShare - n.interferingShare.reduction
	if n.isHarmless(p.Image) {
		share = fullShare - n.harmlessShare.reduction
	}
	n.mu.Unlock()
	if p.BestEffort {
		n.applyShare(ctx, hv.RunState{Task: run.Task, Run: run.Run}, share, epoch)
	}
}

// recordShare records the share of a run and reports whether it has changed.
func (n *Node) recordShare(run hvorder.Run, share int) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	next := runShare{percent: share, known: true}
	changed := n.shares[run] != next
	n.shares[run] = next
	return changed
}

func (n *Node) forgetShare(run hvorder.Run) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.shares[run] = runShare{}
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
