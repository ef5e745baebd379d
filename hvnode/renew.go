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
	// renewWaitMS is how long a lease renewal waits for the end of a run, in
	// milliseconds. It also limits how long a lease that the owner has granted
	// waits to be passed on to the executor.
	renewWaitMS = 800
	// servingRenewWaitMS replaces renewWaitMS while serving tasks run, whose
	// latency the executor measures every half second.
	servingRenewWaitMS = 450
	// unackedRenewInterval is the time between renewals while the executor lists
	// ends that are not acknowledged: it then responds at once.
	unackedRenewInterval = 100 * time.Millisecond
	// failedRetryInterval is the time between retries of a failed renewal or
	// registration.
	failedRetryInterval = 150 * time.Millisecond
	// firstRetryInterval replaces failedRetryInterval for the first firstRetries failures in
	// a row: until the owner knows that an executor has ended, it sends more work there, and
	// what ran there waits.
	firstRetryInterval = 20 * time.Millisecond
	firstRetries       = 4
	// maxRefusedConnections is the number of consecutive refused connections after
	// which the node considers the executor to have ended.
	maxRefusedConnections = 2
	// readRepeatInterval is how long a call that only reads the lists waits for its response
	// before it is made again beside it, and maxParallelReads how many then wait. Until one is
	// carried out, a new incarnation of the executor carries out late calls for the one before.
	readRepeatInterval = 100 * time.Millisecond
	maxParallelReads   = 3
)

// renewLoop renews the leases at the executor and keeps the state in the response.
func (n *Node) renewLoop(ctx context.Context) {
	failures, leaseDue := 0, false
	for ctx.Err() == nil {
		renewal, version, ready := n.nextRenewal()
		if leaseDue {
			renewal.WaitMS = 0
		}
		if !ready {
			n.waitRenew(ctx, failedRetryInterval)
			continue
		}
		state, err := n.renew(ctx, renewal)
		if err != nil && n.superseded(version.epoch) {
			// The executor refuses renewals for an earlier owner.
			continue
		}
		if err != nil {
			n.handleRenewError(err, version.token)
			failures++
			n.waitRenew(ctx, retryInterval(failures))
			continue
		}
		failures = 0
		if !n.applyState(state, version) {
			continue
		}
		if leaseDue = n.isLeaseDue(renewal); leaseDue {
			// Changes of many shares take long.
			continue
		}
		n.adjustShares(ctx, state)
		if n.hasUnreported() {
			hvtick.Wake(n.wakeReport)
		}
		if n.hasUnackedEnds() {
			n.waitRenew(ctx, unackedRenewInterval)
		}
	}
}

// renew renews the leases. The call ends early if another incarnation of the executor announces
// itself meanwhile, as that one may carry out late calls until it gets one of its own.
func (n *Node) renew(ctx context.Context, renewal hv.LeaseRenewal) (hv.ExecutorState, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.mu.Lock()
	n.cancelRenewal = cancel
	n.mu.Unlock()
	if renewal == (hv.LeaseRenewal{Token: renewal.Token}) {
		return n.readState(ctx, renewal.Token)
	}
	return n.deps.Executor.RenewLeases(ctx, renewal)
}

// readState reads the lists of the executor, which renews no lease and acknowledges nothing, so
// that it may be repeated while a call has no response yet. It returns the first response.
func (n *Node) readState(ctx context.Context, token int64) (hv.ExecutorState, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type response struct {
		state hv.ExecutorState
		err   error
	}
	responses := make(chan response, maxParallelReads)
	repeat := time.NewTicker(readRepeatInterval)
	defer repeat.Stop()
	for calls := 0; ; {
		if calls < maxParallelReads {
			calls++
			go func() {
				state, err := n.deps.Executor.RenewLeases(ctx, hv.LeaseRenewal{Token: token})
				responses <- response{state, err}
			}()
		}
		select {
		case r := <-responses:
			return r.state, r.err
		case <-repeat.C:
		}
	}
}

// isLeaseDue reports whether a renewal passed no lease on although the owner has granted one.
func (n *Node) isLeaseDue(r hv.LeaseRenewal) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return r.LeaseEnd == 0 && n.leaseEnd > 0
}

// retryInterval returns the time before the next renewal after a number of failures in a
// row.
func retryInterval(failures int) time.Duration {
	if failures <= firstRetries {
		return firstRetryInterval
	}
	return failedRetryInterval
}

// waitRenew waits for d or until a renewal is due earlier.
func (n *Node) waitRenew(ctx context.Context, d time.Duration) {
	hvtick.Wait(ctx, n.wakeRenew, d)
}

// nextRenewal returns the next lease renewal, the state version at which it is
// sent, and whether there is an owner to renew leases for.
func (n *Node) nextRenewal() (hv.LeaseRenewal, stateVersion, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isConfirmed() {
		n.token.Doubt()
		return hv.LeaseRenewal{Token: n.token.Value()}, n.currentVersionLocked(), n.epoch > 0
	}
	renewal, version := hv.LeaseRenewal{Token: n.token.Use(), WaitMS: renewWaitMS}, n.currentVersionLocked()
	renewal.LeaseEnd, renewal.AckedEnd = n.leaseEnd, n.ackedEnd
	if n.serving() {
		renewal.WaitMS = servingRenewWaitMS
	}
	if len(n.executorState.Ended) > 0 && lastEnd(n.executorState.Ended, 0) > n.ackedEnd {
		renewal.WaitMS = 0
	}
	if n.startsInFlight == 0 && n.runsDue() && !n.hasFullState() {
		// The owner waits for a full report. On a busy host a start is called during each
		// renewal that waits, and the lists in its response may lack that run.
		renewal.WaitMS = 0
	}
	return renewal, version, n.epoch > 0
}

// serving reports whether a task with a latency target runs.
func (n *Node) serving() bool {
	for _, r := range n.executorState.Running {
		if n.profiles[runOf(r)].LatencyTarget > 0 {
			return true
		}
	}
	return false
}

func runOf(r hv.RunState) hvorder.Run { return hvorder.Run{Task: r.Task, Run: r.Run} }

// handleRenewError handles a failed renewal.
func (n *Node) handleRenewError(err error, token int64) {
	if n.handleCallError(err, token) {
		_ = level.Info(n.deps.Logger).Log("msg", "executor rejected a lease renewal because it has a newer owner", "err", err)
		n.mu.Lock()
		n.ownerConn = nil
		n.mu.Unlock()
		return
	}
	if !n.countRefusal(hv.KindOf(err) == hv.NotFound) {
		return
	}
	n.mu.Lock()
	n.executorGone, n.stateKnown = true, false
	if n.executorState.Incarnation != "" {
		n.recordExecutorEnd(n.executorState.Incarnation)
	}
	n.executorState = hv.ExecutorState{}
	n.pendingStarts = map[hvorder.Run]bool{}
	n.mu.Unlock()
	_ = level.Warn(n.deps.Logger).Log("msg", "executor refused connections repeatedly; its runs are considered lost", "err", err)
	hvtick.Wake(n.wakeReport)
}

// countRefusal counts the consecutive renewals that found no executor and reports whether
// they show that it has ended.
func (n *Node) countRefusal(refused bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !refused {
		n.refusals = 0
		return false
	}
	n.refusals++
	return n.refusals >= maxRefusedConnections && !n.executorGone
}

// hasUnackedEnds reports whether the executor lists ends that the owner has not
// stored.
func (n *Node) hasUnackedEnds() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lastEnd(n.executorState.Ended, 0) > n.ackedEnd
}

// hasUnreported reports whether there is a change that has not been reported to the
// owner.
func (n *Node) hasUnreported() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lastEnd(n.executorState.Ended, 0) > n.reportedEnd || !n.hostReported && n.host != nil || n.runsDue() && n.hasFullState()
}
