package hvnode

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// callRetryInterval is the time between retries of a start or stop call.
	callRetryInterval = 100 * time.Millisecond
	// maxUnavailableAttempts is the number of attempts after which a start that the
	// executor refuses as unavailable is returned to the owner.
	maxUnavailableAttempts = 3
)

// handleOrders carries out a batch of orders. Start and stop calls continue after it
// returns.
func (n *Node) handleOrders(ctx context.Context, conn *hvwire.Conn, o hvorder.Orders) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if err := n.checkOrders(conn, o); err != nil {
		return err
	}
	n.batch = max(n.batch, o.Batch)
	n.leaseEnd = max(n.leaseEnd, o.LeaseEnd)
	if o.AckedEnd > n.ackedEnd {
		n.ackedEnd = o.AckedEnd
		hvtick.Wake(n.wakeRenew)
	}
	for _, p := range o.Profiles {
		n.profiles[p.Run] = p
	}
	if o.Withdraw {
		n.withdrawStarts(ctx, o.Epoch)
	}
	if n.host != nil && n.host.Draining {
		n.refuseStarts(o.Starts)
	} else {
		n.beginStarts(ctx, o)
	}
	for _, run := range o.Stops {
		delete(n.pendingStarts, run)
		go n.stop(ctx, run, o.Epoch)
	}
	return nil
}

// checkOrders returns an error if orders are not of the attached owner, or not for the
// present incarnation of the executor. The lock is held.
func (n *Node) checkOrders(conn *hvwire.Conn, o hvorder.Orders) error {
	if o.Epoch != n.epoch {
		return failure("orders", hv.Conflict, "orders have epoch %d, node has epoch %d", o.Epoch, n.epoch)
	}
	if conn != n.ownerConn {
		return failure("orders", hv.Unavailable, "orders were sent on a connection that is not attached")
	}
	if o.Incarnation != n.executorState.Incarnation {
		return failure("orders", hv.NotFound, "orders are for incarnation %s, executor has incarnation %s", o.Incarnation, n.executorState.Incarnation)
	}
	return nil
}

// refuseStarts refuses starts at an executor that drains. The lock is held.
func (n *Node) refuseStarts(starts []hvorder.Start) {
	for _, s := range starts {
		n.refused = append(n.refused, hvorder.Refusal{Run: s.Run, Kind: hv.Unavailable})
	}
	hvtick.Wake(n.wakeReport)
}

// beginStarts begins to carry out the starts of a batch. The lock is held.
func (n *Node) beginStarts(ctx context.Context, o hvorder.Orders) {
	for _, s := range o.Starts {
		n.profiles[s.Run] = s.Profile
		n.recordStartShare(s.Profile)
		n.pendingStarts[s.Run] = true
		job := hvjob.JobOf(s.Task)
		run := hv.StartRun{Task: s.Task, Run: s.Profile.Run.Run, Spec: o.Specs[job], SavedState: s.SavedState, Ticket: s.Ticket, LeaseEnd: o.LeaseEnd}
		if ref, ok := o.SpecRefs[job]; ok {
			go n.startWithSpec(ctx, run, o, ref)
			continue
		}
		go n.start(ctx, run, o.Epoch, o.Incarnation)
	}
}

// withdrawStarts cancels the starts that the executor has not responded to. The stop
// keeps a call that got no response from starting the run later. The lock is held.
func (n *Node) withdrawStarts(ctx context.Context, epoch int64) {
	for run := range n.pendingStarts {
		delete(n.pendingStarts, run)
		go n.stop(ctx, run, epoch)
	}
}

// withdrawLoop cancels starts without a response when the capacity of the host shrinks or
// it begins to drain.
func (n *Node) withdrawLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, n.wakeWithdraw, registerInterval)
		n.withdrawIfDue(ctx)
	}
}

// withdrawIfDue cancels the starts without a response if the host takes them no more since
// they were ordered. The owner places their tasks again.
func (n *Node) withdrawIfDue(ctx context.Context) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.withdrawDue {
		n.withdrawDue = false
		n.withdrawStarts(ctx, n.epoch)
	}
}

// startWithSpec fetches the work description of a run and starts the run.
func (n *Node) startWithSpec(ctx context.Context, s hv.StartRun, o hvorder.Orders, ref hvorder.SpecRef) {
	text, ok := n.spec(ctx, hvorder.Run{Task: s.Task, Run: s.Run}, o.Epoch, ref)
	if !ok {
		return
	}
	s.Spec = text
	n.start(ctx, s, o.Epoch, o.Incarnation)
}

// start calls the executor until it responds or the start is no longer wanted.
// Retries are safe, because the executor recognizes the run by its number. Another
// incarnation than that of the order does not: its clock is another one too, so that the
// lease of the order would last longer there than the owner counts.
func (n *Node) start(ctx context.Context, s hv.StartRun, epoch int64, incarnation string) {
	run := hvorder.Run{Task: s.Task, Run: s.Run}
	// uncertain is true once a call got no response: it may still be carried out.
	uncertain := false
	for attempt := 1; ctx.Err() == nil; attempt++ {
		token, ok := n.startToken(ctx, run, epoch, incarnation, attempt)
		if !ok || !n.beginStartCall(run, epoch, token) {
			return
		}
		s.Token = token
		err := n.deps.Executor.Start(ctx, s)
		n.endStartCall()
		if err == nil {
			n.confirmStart(run)
			n.endStart(run, nil)
			n.applyInitialShare(ctx, run)
			return
		}
		n.recordFailedStart(err)
		n.recordFailedCall(err)
		if !n.isStartWanted(run, epoch) {
			// The executor has listed the run meanwhile, or the start was withdrawn.
			return
		}
		kind := hv.KindOf(err)
		if kind == hv.Conflict && !n.isFenced(token) {
			// The token has risen while the call was on its way, so it was not carried out.
			hvtick.Sleep(ctx, callRetryInterval)
			continue
		}
		if kind == hv.Expired {
			err = n.checkUsedRun(ctx, run, token, err)
			kind = hv.KindOf(err)
		}
		if err == nil {
			n.endStart(run, nil)
			return
		}
		if kind != hv.Uncertain && (kind != hv.Unavailable || attempt >= maxUnavailableAttempts) {
			_ = level.Info(n.deps.Logger).Log("msg", "executor refused to start a run; the start is returned to the owner", "task", s.Task, "run", s.Run, "epoch", epoch, "doubt", uncertain, "err", err)
			n.returnStart(ctx, run, epoch, kind, uncertain)
			return
		}
		uncertain = uncertain || kind == hv.Uncertain
		hvtick.Sleep(ctx, callRetryInterval)
	}
}

// startToken returns the fencing token for an attempt to start a run, and false if the executor
// is no longer the incarnation of the order or the start is no longer wanted.
func (n *Node) startToken(ctx context.Context, run hvorder.Run, epoch int64, incarnation string, attempt int) (int64, bool) {
	if token, ok := n.tokenFor(incarnation); ok && attempt == 1 {
		return token, true
	}
	return n.confirmIncarnation(ctx, run, epoch, incarnation)
}

// returnStart reports a start to the owner as refused. If an earlier call may still
// be carried out, it stops the run instead, which keeps it from starting, and
// reports it as stopped.
func (n *Node) returnStart(ctx context.Context, run hvorder.Run, epoch int64, kind hv.ErrorKind, uncertain bool) {
	if uncertain && kind != hv.Conflict {
		n.endStart(run, nil)
		n.stop(ctx, run, epoch)
		return
	}
	n.endStart(run, &hvorder.Refusal{Run: run, Kind: kind})
}

// checkUsedRun checks a start that was refused because its run number is used up:
// an earlier call without a response may have started the run, which may have ended
// since. It returns nil if the executor lists the run, and refusal if it does not.
func (n *Node) checkUsedRun(ctx context.Context, run hvorder.Run, token int64, refusal error) error {
	state, err := n.listRuns(ctx, token)
	switch {
	case err != nil:
		return failure("start", hv.Uncertain, "cannot list the runs after refusal (%v): %v", refusal, err)
	case isListed(state, run):
		return nil
	case state.MoreEnded:
		return failure("start", hv.Uncertain, "the list of ends after refusal (%v) is not complete", refusal)
	}
	return refusal
}

// beginStartCall reports whether a start is still wanted, and counts the call with its fencing
// token if it is.
func (n *Node) beginStartCall(run hvorder.Run, epoch, token int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.pendingStarts[run] || n.epoch != epoch {
		return false
	}
	n.token.Used(token)
	n.startsInFlight++
	n.startCalls++
	n.crash.startSent(n.deps.Clock.Now(), run)
	return true
}

// endStartCall counts the end of a start call. It wakes reports that had to wait
// for it.
func (n *Node) endStartCall() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startsInFlight--
	if n.startsInFlight == 0 && (n.executorGone || !n.fullReported) {
		hvtick.Wake(n.wakeReport)
	}
}

// recordFailedStart records a start that got no response.
func (n *Node) recordFailedStart(err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crash.failed(n.deps.Clock.Now(), err)
}

// confirmStart records that the executor has responded to a start.
func (n *Node) confirmStart(run hvorder.Run) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.crash.confirm(n.deps.Clock.Now(), run)
	n.recordBegun(run)
}

// recordBegun records that the executor has begun a run, for the next report. The lock is
// held.
func (n *Node) recordBegun(run hvorder.Run) {
	if job := hvjob.JobOf(run.Task); !slices.Contains(n.began, job) {
		n.began = append(n.began, job)
	}
}

// endStart removes a pending start and reports the refusal, if there is one.
func (n *Node) endStart(run hvorder.Run, refusal *hvorder.Refusal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.pendingStarts[run] {
		return
	}
	delete(n.pendingStarts, run)
	if refusal != nil {
		n.crash.neverStarted(run)
		n.refused = append(n.refused, *refusal)
		hvtick.Wake(n.wakeReport)
	}
}

// stop calls the executor until it responds. It reports the run as stopped if the
// executor does not list it: the end of such a run is never listed.
func (n *Node) stop(ctx context.Context, run hvorder.Run, epoch int64) {
	for ctx.Err() == nil {
		token, ok := n.callToken(epoch)
		if !ok {
			return
		}
		err := n.deps.Executor.Stop(ctx, run.Task, run.Run, token)
		if err == nil {
			break
		}
		n.recordFailedCall(err)
		if hv.KindOf(err) == hv.Conflict && n.isFenced(token) || hv.KindOf(err) == hv.NotFound {
			// Either the executor has a newer owner, or it has ended together with the run.
			return
		}
		hvtick.Sleep(ctx, callRetryInterval)
	}
	for ctx.Err() == nil {
		token, ok := n.callToken(epoch)
		if !ok {
			return
		}
		state, err := n.listRuns(ctx, token)
		if err != nil {
			hvtick.Sleep(ctx, callRetryInterval)
			continue
		}
		listed := isListed(state, run)
		if !listed && state.MoreEnded {
			hvtick.Sleep(ctx, callRetryInterval)
			continue
		}
		if !listed {
			n.mu.Lock()
			n.crash.neverStarted(run)
			n.stopped = append(n.stopped, run)
			n.mu.Unlock()
			hvtick.Wake(n.wakeReport)
		}
		return
	}
}

// superseded reports whether the node has an owner of another epoch.
func (n *Node) superseded(epoch int64) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.epoch != epoch
}

// isListed reports whether the executor lists a run as running or ended.
func isListed(h hv.ExecutorState, run hvorder.Run) bool {
	return isRunning(h, run) || slices.ContainsFunc(h.Ended, func(e hv.RunEnd) bool { return e.Task == run.Task && e.Run == run.Run })
}

// isRunning reports whether the executor lists a run as running.
func isRunning(h hv.ExecutorState, run hvorder.Run) bool {
	return slices.ContainsFunc(h.Running, func(r hv.RunState) bool { return runOf(r) == run })
}
