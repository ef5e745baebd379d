package hvnode

import (
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

// Announce handles a heartbeat of the executor with the identifier id.
func (n *Node) Announce(id string, h hvorder.Host) {
	n.mu.Lock()
	old := n.host
	if old != nil && old.Exiting && old.Incarnation == h.Incarnation {
		// The heartbeat was sent before the executor announced its exit.
		n.mu.Unlock()
		return
	}
	if old != nil && (!old.Capacity.Fits(h.Capacity) || h.Draining && !old.Draining) {
		n.withdrawDue = true
		hvtick.Wake(n.wakeWithdraw)
	}
	n.host, n.executorID = &h, id
	if h.Draining {
		n.crash.leaving = h.Incarnation
	}
	if old != nil && old.Incarnation != h.Incarnation && n.executorState.Incarnation != h.Incarnation {
		n.incarnationConfirmed = false
		n.cancelRenewal()
	}
	changed := old == nil || old.Incarnation != h.Incarnation || old.Draining != h.Draining || old.Capacity != h.Capacity || old.Service != h.Service || (old.ColdMillis > 0) != (h.ColdMillis > 0)
	if changed {
		n.hostReported = false
		n.executorGone, n.refusals = false, 0
	}
	n.mu.Unlock()
	if !changed {
		return
	}
	n.deps.Executor.SetExpectedInstance(id)
	_ = level.Info(n.deps.Logger).Log("msg", "heartbeat announced a new or changed executor", "id", id, "life", h.Incarnation, "draining", h.Draining, "rack", h.Rack)
	hvtick.Wake(n.wakeRegister)
	hvtick.Wake(n.wakeReport)
	hvtick.Wake(n.wakeRenew)
}

// exitTimeout is how long an executor may still respond after its notice that it exits.
const exitTimeout = 2 * time.Second

// Leave handles the executor's notice that it exits. The notice names no incarnation, so it
// may come from the one before if this process stood still meanwhile: see cancelExit.
func (n *Node) Leave(id string) {
	n.mu.Lock()
	if n.executorID != id {
		n.mu.Unlock()
		return
	}
	if n.host != nil && !n.host.Exiting {
		h := *n.host
		n.beforeExit, n.exitNoticedAt = h, n.deps.Clock.Now()
		h.Draining, h.Exiting = true, true
		n.host = &h
		n.crash.leaving = h.Incarnation
	}
	n.hostReported = false
	n.mu.Unlock()
	_ = level.Info(n.deps.Logger).Log("msg", "executor announced that it exits", "id", id)
	hvtick.Wake(n.wakeReport)
}

// cancelExit undoes Leave if the executor has responded to a call that was sent long after the
// notice: it was that of an earlier incarnation. The lock is held.
func (n *Node) cancelExit(incarnation string, requestedAt time.Time) {
	if n.host == nil || !n.host.Exiting || n.host.Incarnation != incarnation || requestedAt.Sub(n.exitNoticedAt) < exitTimeout {
		return
	}
	h := n.beforeExit
	n.host, n.hostReported = &h, false
	if !h.Draining {
		n.crash.leaving = ""
	}
	_ = level.Warn(n.deps.Logger).Log("msg", "executor goes on after a notice that it exits, which was that of an earlier start", "id", n.executorID, "life", incarnation)
	hvtick.Wake(n.wakeReport)
}
