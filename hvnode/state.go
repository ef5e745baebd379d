package hvnode

import (
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

// stateVersion identifies when the executor's state was requested: the epoch of the
// owner, the fencing token and the start calls before the request.
type stateVersion struct {
	epoch, token int64
	// startCalls is the number of start calls before the request, or -1 if one of
	// them had no response yet.
	startCalls int64
	// requestedAt is the time of the request.
	requestedAt time.Time
}

// isCurrent reports whether nothing that changes the executor's state was called since the
// request. The lock is held.
func (n *Node) isCurrent(v stateVersion) bool {
	c := n.currentVersionLocked()
	return v.epoch == c.epoch && v.startCalls == c.startCalls
}

func (n *Node) currentVersion() stateVersion {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.currentVersionLocked()
}

func (n *Node) currentVersionLocked() stateVersion {
	v := stateVersion{epoch: n.epoch, token: n.token.Value(), startCalls: n.startCalls, requestedAt: n.deps.Clock.Now()}
	if n.startsInFlight > 0 {
		v.startCalls = -1
	}
	return v
}

// hasFullState reports whether executorState lists every run that may be on the
// host: it was requested in the epoch of the owner, no start was called since, and no end
// is left out, whose run would be neither running nor ended. The lock is held.
func (n *Node) hasFullState() bool {
	return n.stateKnown && !n.executorState.MoreEnded && n.startsInFlight == 0 && n.isCurrent(n.stateVersion)
}

// applyState keeps the state that the executor returned for a request made at a
// version. After a change of the incarnation it resets the state of the previous
// one. It returns false, and keeps nothing, if a new incarnation may still carry out late
// calls for the one before: what it listed may change.
func (n *Node) applyState(h hv.ExecutorState, version stateVersion) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stateKnown && h.Incarnation == n.executorState.Incarnation && h.ClockMS < n.executorState.ClockMS {
		// A newer response has already arrived on another connection.
		return true
	}
	isNew := n.token.Life() != h.Incarnation
	if !n.token.Confirm(h.Incarnation, version.token) {
		n.incarnationConfirmed, n.stateKnown = false, false
		hvtick.Wake(n.wakeRenew)
		return false
	}
	if isNew {
		n.leaseBound = h.ClockMS + n.deps.MaxLease.Milliseconds()
		_ = level.Info(n.deps.Logger).Log("msg", "executor responded to its first call with a new fencing token", "life", h.Incarnation, "token", version.token, "clock", h.ClockMS, "running", len(h.Running))
	}
	if h.Incarnation != n.executorState.Incarnation {
		if n.executorState.Incarnation != "" {
			n.recordExecutorEnd(n.executorState.Incarnation)
		}
		n.ackedEnd, n.reportedEnd, n.leaseEnd = 0, 0, 0
		n.fullReported = false
		n.pendingStarts = map[hvorder.Run]bool{}
		n.reportedSaved = map[hvorder.Run]string{}
	}
	if n.host != nil && n.host.Incarnation == h.Incarnation {
		// A call to the executor before may have been refused after this one was announced.
		n.deps.Executor.SetExpectedInstance(n.executorID)
	}
	now := n.deps.Clock.Now()
	n.executorState, n.stateVersion, n.stateKnown, n.incarnationConfirmed, n.executorGone = h, version, true, true, false
	n.refusals = 0
	n.cancelExit(h.Incarnation, version.requestedAt)
	n.crash.listed(now, h, n.isCurrent(version) && !h.MoreEnded)
	n.confirmListed(h)
	n.recordProgress(h.ClockMS, h.Running)
	return true
}

// confirmListed ends the pending starts of runs that the executor lists. A start that is
// repeated after the executor has restarted would run the task again. The lock is held.
func (n *Node) confirmListed(h hv.ExecutorState) {
	for _, r := range h.Running {
		n.confirmPending(runOf(r))
	}
	for _, e := range h.Ended {
		n.confirmPending(hvorder.Run{Task: e.Task, Run: e.Run})
	}
}

func (n *Node) confirmPending(run hvorder.Run) {
	if n.pendingStarts[run] {
		delete(n.pendingStarts, run)
		n.recordBegun(run)
	}
}

// handleCallError records a failed call to the executor and reports whether the
// executor has seen a newer owner.
func (n *Node) handleCallError(err error, token int64) bool {
	n.mu.Lock()
	n.incarnationConfirmed = false
	n.crash.failed(n.deps.Clock.Now(), err)
	n.mu.Unlock()
	kind := hv.KindOf(err)
	if kind == hv.Conflict {
		return n.isFenced(token)
	}
	if kind == hv.NotFound {
		// No executor listens, or another incarnation does: the runs have ended.
		n.deps.Executor.SetExpectedInstance("")
	}
	return false
}

// isFenced reports whether the executor, which refused a fencing token, has seen that of a
// newer owner. If not, the call can be repeated with the present token.
func (n *Node) isFenced(token int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.token.Refused(token)
}

// callToken returns the fencing token for a call that is the same for every incarnation of
// the executor, and whether the owner of the epoch is still the present one.
func (n *Node) callToken(epoch int64) (int64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.token.Value(), n.epoch == epoch
}
