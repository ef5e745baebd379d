package hvnode

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvorder"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

// maxConfirmationAge is how long after a request the executor counts as the incarnation that
// it was in its response. Renewals follow each other and take up to 0.8 s each, so an older
// request means that this process stood still; the executor may have restarted meanwhile.
const maxConfirmationAge = 1800 * time.Millisecond

const (
	// aliveInterval is how often aliveLoop records that this process runs, and maxAliveGap the
	// time without a record after which it stood still, even for less than maxConfirmationAge.
	aliveInterval = 100 * time.Millisecond
	maxAliveGap   = 300 * time.Millisecond
)

// aliveLoop records that this process runs. After it stood still the executor may have started
// again.
func (n *Node) aliveLoop(ctx context.Context) {
	hvtick.Every(ctx, aliveInterval, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.stoodStill() {
			n.doubtIncarnation()
		}
		n.aliveAt = n.deps.Clock.Now()
	})
}

// stoodStill reports whether this process has stood still since the last record that it runs.
// The lock is held.
func (n *Node) stoodStill() bool {
	return !n.aliveAt.IsZero() && n.age(n.aliveAt) > maxAliveGap
}

// isConfirmed reports whether the executor is known to be the incarnation in
// executorState. A lease by the clock of another one would last longer than the owner
// counts. Its age counts from the request, as the response may have waited in the connection
// while this process stood still. The lock is held.
func (n *Node) isConfirmed() bool {
	return n.incarnationConfirmed && n.isRecent(n.stateVersion.requestedAt) && !n.stoodStill()
}

// isRecent reports whether the response to a request that was sent at a time still tells
// the executor's incarnation.
func (n *Node) isRecent(sentAt time.Time) bool {
	return n.age(sentAt) <= maxConfirmationAge
}

// age returns the time since t. The time of day counts suspensions, which the steady clock may
// not.
func (n *Node) age(t time.Time) time.Duration {
	now := n.deps.Clock.Now()
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// tokenFor returns the fencing token for calls to an incarnation of the executor, and false
// if it is not known whether that is the present one.
func (n *Node) tokenFor(incarnation string) (int64, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.token.Value(), n.isConfirmed() && n.executorState.Incarnation == incarnation
}

// confirmationToken returns the fencing token for a call that is to tell the incarnation.
func (n *Node) confirmationToken() int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isConfirmed() {
		n.token.Doubt()
	}
	return n.token.Value()
}

// confirmIncarnation waits until the executor lists its runs. It returns the fencing token
// for a start and whether the executor is still the incarnation that the start was ordered
// for. It returns false if the start is no longer wanted.
func (n *Node) confirmIncarnation(ctx context.Context, run hvorder.Run, epoch int64, incarnation string) (int64, bool) {
	for ctx.Err() == nil && n.isStartWanted(run, epoch) {
		sentAt, token := n.deps.Clock.Now(), n.confirmationToken()
		state, err := n.listRuns(ctx, token)
		if err == nil && n.isRecent(sentAt) {
			return token, state.Incarnation == incarnation
		}
		hvtick.Sleep(ctx, callRetryInterval)
	}
	return 0, false
}

// listRuns reads the lists of the executor for a start or a stop. Without a response, or if
// another incarnation responds than before, the executor has started again or may have.
func (n *Node) listRuns(ctx context.Context, token int64) (hv.ExecutorState, error) {
	state, err := n.deps.Executor.RenewLeases(ctx, hv.LeaseRenewal{Token: token})
	n.mu.Lock()
	defer n.mu.Unlock()
	if err != nil {
		n.crash.failed(n.deps.Clock.Now(), err)
	}
	if err != nil && hv.KindOf(err) != hv.Conflict || err == nil && state.Incarnation != n.token.Life() {
		n.doubtIncarnation()
	}
	return state, err
}

// recordFailedCall records a start or stop that failed. One that ran out of time is followed by
// a call of listRuns, one whose connection ended shows more.
func (n *Node) recordFailedCall(err error) {
	if kind := hv.KindOf(err); kind != hv.NotFound && (kind != hv.Uncertain || isTimeout(err)) {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.doubtIncarnation()
}

// doubtIncarnation records that the executor may have started again: all calls have a token
// from now on that the next incarnation has to see first, so that it refuses late calls for the
// one before. The renewal that waits for a response is made again with it. The lock is held.
func (n *Node) doubtIncarnation() {
	n.incarnationConfirmed = false
	before := n.token.Value()
	n.token.Doubt()
	if n.token.Value() > before {
		n.cancelRenewal()
	}
}
