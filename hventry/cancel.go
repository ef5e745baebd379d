package hventry

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvledger"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// lateSubmissionLimit is how long after its caller has given it up a submission may still
	// be stored. Callers wait for 60 s at most; a gate that stands still and an append without
	// a response add seconds.
	lateSubmissionLimit = 2 * time.Minute
	// maxEarlyCancels limits the cancellations of jobs that are not in the topic: every gate
	// that starts loads them. maxEarlyCancelPuts limits those of one gate that are being stored.
	maxEarlyCancels    = 2000
	maxEarlyCancelPuts = 64
	// cancelRemovalInterval is the time between two removals of cancellations of jobs that never
	// came, and maxCancelRemovals limits those of one append.
	cancelRemovalInterval = time.Second
	maxCancelRemovals     = 200
)

// Cancel stores the cancellation of a job. An error of kind NotFound means that there is no
// such job, and that one whose submission is still on its way will not run.
func (g *Gate) Cancel(ctx context.Context, id string) error {
	e, err := g.find(ctx, id)
	if hv.KindOf(err) == hv.NotFound {
		return g.cancelEarly(ctx, id, err)
	}
	if err != nil {
		g.recordDecision("cancel", id, "unknown", "kind", hv.KindOf(err), "age", g.replica.SinceLastRead())
		return err
	}
	if e.Cancelled || e.Progress.State.Final() {
		g.recordDecision("cancel", id, "ended", "state", e.State())
		return nil
	}
	if _, err := g.store(ctx, hvledger.CancelRecord(id), "", true); err != nil {
		g.recordDecision("cancel", id, "refused", "kind", hv.KindOf(err), "err", err)
		return err
	}
	g.recordDecision("cancel", id, "accepted")
	return nil
}

// cancelEarly stores the cancellation of a job that is not in the topic: its submission may
// still be on its way, at a gate that stands still or in the store. It returns notFound once
// the record is stored, as the job is cancelled then whenever it comes.
func (g *Gate) cancelEarly(ctx context.Context, id string, notFound error) error {
	if !hvjob.IsID(id) {
		g.recordDecision("cancel", id, "unknown")
		return notFound
	}
	err := g.storeEarlyCancel(ctx, id)
	if err != nil {
		g.recordDecision("cancel", id, "refused", "kind", hv.KindOf(err), "err", err)
		return err
	}
	g.recordDecision("cancel", id, "unknown", "stored", true)
	return notFound
}

// storeEarlyCancel stores the cancellation of a job that is not in the topic. It goes behind
// submissions, and there is room for a limited number. A repeated one is stored again, so that
// it is kept from then on, and takes no more room.
func (g *Gate) storeEarlyCancel(ctx context.Context, id string) error {
	if n := g.replica.EarlyCancels(); n >= maxEarlyCancels && !g.replica.CancelledEarly(id) {
		return failure("cancel", hv.Full, "%d jobs that do not exist are cancelled", n)
	}
	select {
	case g.earlyCancelPuts <- struct{}{}:
	default:
		return failure("cancel", hv.Full, "%d cancellations of jobs that do not exist are being stored", maxEarlyCancelPuts)
	}
	defer func() { <-g.earlyCancelPuts }()
	_, err := g.store(ctx, hvledger.CancelRecord(id), "", false)
	return err
}

// removeEarlyCancels removes the cancellations of jobs that never came while this gate owns
// the cell.
func (g *Gate) removeEarlyCancels(ctx context.Context) {
	hvtick.Every(ctx, cancelRemovalInterval, func() {
		g.options.Metrics.Set("hv_early_cancels", int64(g.replica.EarlyCancels()))
		if ids, _ := g.replica.ExpiredCancels(lateSubmissionLimit, 1); len(ids) == 0 || !g.IsOwner() || g.admission.storeIsSlow() {
			return
		}
		if err := g.removeExpiredCancels(ctx); err != nil {
			_ = level.Debug(g.options.Logger).Log("msg", "cancellations of jobs that never came are not removed yet", "err", err)
		}
	})
}

// removeExpiredCancels removes expired cancellations of jobs that are not in the topic. The
// append is conditional: a job that comes at the same time stays cancelled.
func (g *Gate) removeExpiredCancels(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	if err := g.tailer.Sync(ctx); err != nil {
		return err
	}
	ids, end := g.replica.ExpiredCancels(lateSubmissionLimit, maxCancelRemovals)
	if len(ids) == 0 {
		return nil
	}
	recs := make([]hv.KeyedRecord, 0, len(ids))
	for _, id := range ids {
		recs = append(recs, hvledger.CancelTombstone(id))
	}
	_, err := g.relay.Append(ctx, g.options.CellTopic, recs, hv.Fence{ExpectedEnd: end})
	return err
}
