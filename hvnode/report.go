package hvnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	// reportInterval is the maximum time between two reports; each one renews the
	// leases of the host.
	reportInterval = 700 * time.Millisecond
	// reportTimeout limits a report; the connection is closed after it.
	reportTimeout = 1500 * time.Millisecond
	// registerInterval is how long a node waits for contact with an owner before
	// it registers again.
	registerInterval = 3 * time.Second
	// digestInterval is the interval at which the owner gets a digest of all runs on the
	// host. A difference to what it counts keeps a task from running until the next one.
	digestInterval = 3 * time.Second
)

// reportLoop reports changes to the owner, and at least every reportInterval.
func (n *Node) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, n.wakeReport, reportInterval)
		if conn, r, ok := n.nextReport(); ok {
			n.send(ctx, conn, r)
		}
		n.updateMetrics()
	}
}

// updateMetrics sets the gauges of the node's view of its executor.
func (n *Node) updateMetrics() {
	if n.deps.Metrics == nil {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.deps.Metrics.Set("hv_node_epoch", n.epoch)
	n.deps.Metrics.Set("hv_node_running", int64(len(n.executorState.Running)))
	n.deps.Metrics.Set("hv_node_pending", int64(len(n.pendingStarts)))
	n.deps.Metrics.Set("hv_node_unseen", int64(len(n.executorState.Ended)))
	n.deps.Metrics.Set("hv_node_pace", int64(fullShare-n.interferingShare.reduction))
	n.deps.Metrics.Set("hv_node_pace_harmless", int64(fullShare-n.harmlessShare.reduction))
}

// send sends a report and takes the grant in the reply.
func (n *Node) send(ctx context.Context, conn *hvwire.Conn, r hvorder.Report) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	grant, err := hvwire.Call[hvorder.Grant](ctx, conn, hvorder.MethodReport, r)
	if err != nil {
		_ = level.Info(n.deps.Logger).Log("msg", "report to the owner failed; its connection is closed", "epoch", r.Epoch, "err", err)
		n.detach(conn)
		return
	}
	n.handleGrant(conn, r, grant)
}

// handleGrant takes the response to a report.
func (n *Node) handleGrant(conn *hvwire.Conn, r hvorder.Report, grant hvorder.Grant) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerConn == conn {
		n.crash.acknowledged(grant.AckedCrash)
		n.lastEnds.acknowledged(grant.AckedLastEnd)
		if grant.List {
			n.listWanted = true
			hvtick.Wake(n.wakeReport)
		}
		if grant.Effects != nil {
			// A suspended owner sends none; what is known is still true then.
			n.effects = grant.Effects
		}
	}
	if r.Epoch == n.epoch && r.Incarnation == n.executorState.Incarnation {
		n.leaseEnd = max(n.leaseEnd, grant.LeaseEnd)
		n.ackedEnd = max(n.ackedEnd, grant.AckedEnd)
	}
	n.lastOwnerContact = n.deps.Clock.Now()
}

// detach closes the connection of an owner; an owner that is alive attaches again.
func (n *Node) detach(conn *hvwire.Conn) {
	n.mu.Lock()
	if n.ownerConn == conn {
		n.ownerConn = nil
	}
	n.mu.Unlock()
	_ = conn.Close()
}

// nextReport returns what has changed since the last report, and the owner's
// connection. It returns false if there is no owner.
func (n *Node) nextReport() (*hvwire.Conn, hvorder.Report, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ownerConn == nil {
		return nil, hvorder.Report{}, false
	}
	r := hvorder.Report{Epoch: n.epoch, ExecutorGone: n.executorGone && n.startsInFlight == 0}
	if !n.hostReported && n.host != nil {
		r.Host = n.host
		n.hostReported = true
	}
	switch {
	case n.hasFullState() && (!n.fullReported || n.listWanted):
		n.fillReport(&r)
	case n.stateKnown && !n.fullReported:
		n.identify(&r)
		// The lists may become full only once these ends are acknowledged, or starts without
		// a response have one. Ends that were reported on an earlier connection may be lost.
		r.Ended = n.executorState.Ended
		n.reportedEnd = lastEnd(r.Ended, n.reportedEnd)
	case n.stateKnown:
		n.identify(&r)
		r.Running = n.unreportedRuns()
		r.Ended = n.unreportedEnds()
		n.addDigest(&r)
	}
	if n.stateKnown && n.fullReported {
		// Before the lists the owner may not know the runs.
		r.Stalled = n.newlyStalled()
	}
	if n.stateKnown {
		r.ShareOffset = -n.interferingShare.reduction
		r.TailChanges, n.tailChanges = n.tailChanges, nil
		r.LoadChanges, n.loadChanges = n.loadChanges, nil
	}
	r.Refused, n.refused = n.refused, nil
	r.Stopped, n.stopped = n.stopped, nil
	r.Began, n.began = n.began, nil
	r.Crashes = n.crash.unreported()
	r.LastEnds, r.LastEndNumber = n.lastEnds.unreported()
	return n.ownerConn, r, true
}

// addDigest adds the digest of all runs on the host if it is due and they are known. The
// lock is held.
func (n *Node) addDigest(r *hvorder.Report) {
	if !n.hasFullState() || !n.runsDue() {
		return
	}
	n.digestAt = n.deps.Clock.Now()
	r.Digest, r.Batch = hvorder.EmptyDigest, n.batch
	for _, run := range n.executorState.Running {
		r.Digest = r.Digest.With(runOf(run))
	}
	for run := range n.pendingStarts {
		if !isRunning(n.executorState, run) {
			r.Digest = r.Digest.With(run)
		}
	}
}

// runsDue reports whether the owner waits for the full lists, or a digest of the runs is
// due. The lock is held.
func (n *Node) runsDue() bool {
	return n.ownerConn != nil && (!n.fullReported || n.listWanted || n.deps.Clock.Now().Sub(n.digestAt) >= digestInterval)
}

// unreportedRuns returns the runs with a saved state that has not been reported, and
// those whose progress is due.
func (n *Node) unreportedRuns() []hv.RunState {
	var out []hv.RunState
	sent := map[hvorder.Run]bool{}
	current := make(map[hvorder.Run]string, len(n.executorState.Running))
	for _, r := range n.executorState.Running {
		run := runOf(r)
		current[run] = r.SavedState
		if r.SavedState != "" && n.reportedSaved[run] != r.SavedState {
			out = append(out, r)
			sent[run] = true
		}
	}
	n.reportedSaved = current
	return append(out, n.progressReports.selectDue(n.deps.Clock.Now(), n.executorState.Running, sent)...)
}

// unreportedEnds returns the ends that have not been reported.
func (n *Node) unreportedEnds() []hv.RunEnd {
	var out []hv.RunEnd
	for _, e := range n.executorState.Ended {
		if e.Number > n.reportedEnd {
			out = append(out, e)
		}
	}
	n.reportedEnd = lastEnd(out, n.reportedEnd)
	return out
}

// registerLoop registers the node whenever its executor changes, and again when it
// has had no contact with an owner for registerInterval.
func (n *Node) registerLoop(ctx context.Context) {
	for ctx.Err() == nil {
		hvtick.Wait(ctx, n.wakeRegister, registerInterval)
		n.mu.Lock()
		host, due := n.host, n.deps.Clock.Now().Sub(n.lastOwnerContact) > registerInterval || !n.hostReported
		n.mu.Unlock()
		if host == nil || !due {
			continue
		}
		if err := n.deps.Register(ctx, host); err != nil {
			_ = level.Warn(n.deps.Logger).Log("msg", "registration of this node failed; retrying", "life", host.Incarnation, "err", err)
			hvtick.Sleep(ctx, failedRetryInterval)
			hvtick.Wake(n.wakeRegister)
		}
	}
}
