package hvnode

import (
	"context"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// attach accepts a connection as that of the owner and returns a report.
func (n *Node) attach(ctx context.Context, c *hvwire.Conn, req hvorder.Attach) (hvorder.Report, error) {
	n.mu.Lock()
	if req.Epoch < n.epoch {
		epoch := n.epoch
		n.mu.Unlock()
		return hvorder.Report{}, failure("attach", hv.Conflict, "epoch %d is below epoch %d of the last owner", req.Epoch, epoch)
	}
	if req.Epoch > n.epoch {
		// The executor refuses starts of older owners once it has received the renewal
		// below.
		n.pendingStarts = map[hvorder.Run]bool{}
		n.leaseEnd = 0
	}
	// Until the response nothing is reported: the owner would process older lists after
	// the ones in the response.
	n.epoch, n.ownerConn, n.lastOwnerContact, n.batch = req.Epoch, nil, n.deps.Clock.Now(), 0
	n.token.Attach(req.Epoch, req.Token)
	n.attachments++
	attachment := n.attachments
	n.progressReports = progressReports{wanted: req.Progress}
	n.refused, n.stopped, n.fullReported, n.listWanted = nil, nil, false, false
	n.crash.attached()
	n.lastEnds.attached()
	n.repeatStalls()
	n.mu.Unlock()
	_ = level.Info(n.deps.Logger).Log("msg", "owner attached to this node", "epoch", req.Epoch, "owner", req.Owner)
	if err := n.readLists(ctx); err != nil {
		return hvorder.Report{}, err
	}
	hvtick.Wake(n.wakeRenew)
	return n.completeAttachment(c, attachment)
}

// maxListAttempts is the number of attempts to read the lists of the executor on attachment:
// it may refuse the first token, or start again after it.
const maxListAttempts = 3

// readLists requests the lists of the executor. It returns an error if the executor has a
// newer owner.
func (n *Node) readLists(ctx context.Context) error {
	for range maxListAttempts {
		version := n.currentVersion()
		state, err := n.readState(ctx, version.token)
		switch {
		case err == nil && n.applyState(state, version):
			return nil
		case err == nil:
			// Another incarnation responds, which may still carry out calls for the one before.
		case n.handleCallError(err, version.token):
			return err
		case hv.KindOf(err) != hv.Conflict:
			return nil
		}
	}
	return nil
}

// completeAttachment makes the connection that of the owner and returns the first report,
// unless an owner has attached another connection meanwhile.
func (n *Node) completeAttachment(c *hvwire.Conn, attachment int64) (hvorder.Report, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.attachments != attachment {
		return hvorder.Report{}, failure("attach", hv.Unavailable, "another connection was attached meanwhile")
	}
	n.ownerConn = c
	return n.fullReport(), nil
}

// fullReport returns a report on attachment, which lists everything on the host if
// that is known. The lock is held.
func (n *Node) fullReport() hvorder.Report {
	r := hvorder.Report{Epoch: n.epoch, Host: n.host, ExecutorGone: n.executorGone && n.startsInFlight == 0, Crashes: n.crash.unreported()}
	r.LastEnds, r.LastEndNumber = n.lastEnds.unreported()
	n.hostReported = n.host != nil
	if n.hasFullState() {
		n.fillReport(&r)
	}
	return r
}

// fillReport adds everything on the host to a report. The lock is held.
func (n *Node) fillReport(r *hvorder.Report) {
	r.Full, r.Batch = true, n.batch
	n.identify(r)
	r.Running = n.executorState.Running
	r.Ended = n.executorState.Ended
	for run := range n.pendingStarts {
		r.Pending = append(r.Pending, run)
	}
	n.reportedEnd = lastEnd(n.executorState.Ended, n.reportedEnd)
	n.fullReported, n.listWanted, n.digestAt = true, false, n.deps.Clock.Now()
}

// identify adds the incarnation of the executor, its clock and the bound of its leases to a
// report. The lock is held.
func (n *Node) identify(r *hvorder.Report) {
	r.Incarnation, r.Clock = n.executorState.Incarnation, n.executorState.ClockMS
	if n.leaseBound > r.Clock {
		r.LeaseBound = n.leaseBound
	}
}

// lastEnd returns the highest Number of the ends, or last if none is higher.
func lastEnd(ends []hv.RunEnd, last int64) int64 {
	for _, e := range ends {
		last = max(last, e.Number)
	}
	return last
}
