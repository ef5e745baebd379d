package hvnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// holdWaitMS is how long a hold waits for an end, in milliseconds. It also
	// bounds the age of the leases that the owner has granted.
	holdWaitMS = 800
	// paceWaitMS is the wait while serving tasks run, whose latency the
	// executor measures every half second.
	paceWaitMS = 450
	// unseenPause separates holds while ends wait to be stored: the executor
	// answers at once then.
	unseenPause = 100 * time.Millisecond
	// failedPause separates holds that failed.
	failedPause = 150 * time.Millisecond
	// deadAfter is the number of refused connections in a row that prove that
	// no executor runs.
	deadAfter = 2
)

// holdLoop keeps the leases and reads the lists of the executor.
func (n *Node) holdLoop(ctx context.Context) {
	missing := 0
	for ctx.Err() == nil {
		h, at, ready := n.nextHold()
		if !ready {
			n.pause(ctx, failedPause)
			continue
		}
		lists, err := n.deps.Executor.RenewLeases(ctx, h)
		if err != nil {
			missing = n.missed(err, missing)
			n.pause(ctx, failedPause)
			continue
		}
		missing = 0
		n.take(lists, at)
		n.protect(ctx, lists)
		if n.hasNews() {
			hvtick.Wake(n.wakeReport)
		}
		if n.unseen() {
			n.pause(ctx, unseenPause)
		}
	}
}

func (n *Node) pause(ctx context.Context, d time.Duration) {
	hvtick.Wait(ctx, n.wakeHold, d)
}

// nextHold returns the next hold, when it is sent, and whether there is an owner
// to hold for.
func (n *Node) nextHold() (hv.LeaseRenewal, version, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	h, at := hv.LeaseRenewal{Epoch: n.epoch, WaitMS: holdWaitMS}, n.versionLocked()
	if !n.confirmed {
		h.WaitMS = 0
		return h, at, n.epoch > 0
	}
	h.LeaseEnd, h.AckedEnd = n.until, n.seen
	if n.serving() {
		h.WaitMS = paceWaitMS
	}
	if len(n.lists.Ended) > 0 && lastEnd(n.lists.Ended, 0) > n.seen {
		h.WaitMS = 0
	}
	if !n.fullTold && n.calling == 0 {
		// The owner waits for the lists.
		h.WaitMS = 0
	}
	return h, at, n.epoch > 0
}

// serving reports whether a task with a latency target runs.
func (n *Node) serving() bool {
	for _, r := range n.lists.Running {
		if n.profiles[runOf(r)].LatencyTarget > 0 {
			return true
		}
	}
	return false
}

func runOf(r hv.RunState) hvorder.Run { return hvorder.Run{Task: r.Task, Run: r.Run} }

// missed counts the holds in a row that found no executor.
func (n *Node) missed(err error, missing int) int {
	if n.holdFailed(err) {
		_ = level.Info(n.deps.Logger).Log("msg", "executor obeys a newer owner", "err", err)
		n.mu.Lock()
		n.owner = nil
		n.mu.Unlock()
		return missing
	}
	if hv.KindOf(err) != hv.NotFound {
		return 0
	}
	if missing++; missing != deadAfter {
		return missing
	}
	n.mu.Lock()
	n.dead, n.known = true, false
	n.lists = hv.ExecutorState{}
	n.pending = map[hvorder.Run]bool{}
	n.mu.Unlock()
	_ = level.Warn(n.deps.Logger).Log("msg", "executor is gone", "err", err)
	hvtick.Wake(n.wakeReport)
	return missing
}

func (n *Node) unseen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lastEnd(n.lists.Ended, 0) > n.seen
}

// hasNews reports whether the lists hold what the owner has not been told.
func (n *Node) hasNews() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lastEnd(n.lists.Ended, 0) > n.told || !n.hostTold && n.host != nil || !n.fullTold && n.complete()
}
