package hvagent

import (
	"context"
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhost"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// serveStop ends an attempt. The answer to a stop of an attempt that is not
// here is also a report: that it does not run here and never will.
func (t *tasks) serveStop(ctx context.Context, _ *hvwire.Conn, m hvwire.Stop) (hvwire.StopAck, error) {
	l := t.ledger.Load()
	if l == nil {
		return hvwire.StopAck{}, errorf("stop", hv.Unavailable, "the attempts have not been read from the worker")
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	end := hvhost.Report{Attempt: m.Attempt, Shard: m.Shard, Event: hvwire.EventStopped, Reason: m.Reason}
	if _, held := l.Find(m.Attempt); !held {
		end.Reason = "the attempt does not run here"
		l.ReportAbsence(end)
		return hvwire.StopAck{}, nil
	}
	if m.Checkpoint {
		checkpoint, err := t.evict(ctx, m.Attempt, m.Epoch, m.Reason)
		return hvwire.StopAck{Checkpoint: checkpoint}, err
	}
	if err := l.MarkStopping(m.Attempt, m.Epoch); err != nil {
		return hvwire.StopAck{}, err
	}
	t.want(end)
	return hvwire.StopAck{}, t.finish(ctx, m.Attempt)
}

// evict writes a checkpoint and stops the attempt. A task that must not run
// twice is not stopped without a checkpoint.
func (t *tasks) evict(ctx context.Context, a hv.Attempt, epoch int64, reason string) (string, error) {
	release, err := t.locks.take(ctx, a)
	if err != nil {
		return "", err
	}
	defer release()
	l := t.ledger.Load()
	run, ok := l.Find(a)
	if !ok {
		return "", errorf("evict", hv.NotFound, "attempt %s is not here", a)
	}
	checkpoint, err := t.worker.Checkpoint(ctx, a)
	switch kind := hv.KindOf(err); {
	case err == nil:
		t.checkpointed(a, checkpoint)
	case run.Task.Once || kind == hv.NotFound || kind == hv.Uncertain || kind == hv.Unavailable:
		// Not found: the attempt has ended, and the poll learns how.
		return "", err
	default:
		logWarn(t.logger, "msg", "an attempt is evicted without a new checkpoint", "attempt", a, "err", err)
		checkpoint = t.lastCheckpoint(a, run.Checkpoint)
	}
	if err := l.MarkStopping(a, epoch); err != nil {
		return "", err
	}
	t.want(hvhost.Report{Attempt: a, Event: hvwire.EventEvicted, Reason: reason, Checkpoint: checkpoint})
	return checkpoint, t.finishLocked(ctx, a)
}

func (t *tasks) checkpointed(a hv.Attempt, checkpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.checkpoints[a] = checkpoint
}

func (t *tasks) lastCheckpoint(a hv.Attempt, first string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.checkpoints[a]; c != "" {
		return c
	}
	return first
}

// want records that an attempt is to be stopped. The first cause counts.
func (t *tasks) want(end hvhost.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.ends[end.Attempt]; !ok {
		t.ends[end.Attempt] = end
	}
}

// finish stops an attempt at the worker and reports its end when the worker
// has confirmed it. It is repeated until that succeeds.
func (t *tasks) finish(ctx context.Context, a hv.Attempt) error {
	release, err := t.locks.take(ctx, a)
	if err != nil {
		return err
	}
	defer release()
	return t.finishLocked(ctx, a)
}

func (t *tasks) finishLocked(ctx context.Context, a hv.Attempt) error {
	t.mu.Lock()
	end, wanted := t.ends[a]
	until, doubt := t.doubts[a]
	t.mu.Unlock()
	if !wanted {
		return nil
	}
	ended, err := t.ended(ctx, a)
	if err != nil {
		return err
	}
	if ended != nil {
		end.Event, end.Reason, end.Checkpoint = ended.State, ended.Reason, ended.Checkpoint
	} else if err := t.worker.Stop(ctx, a); err != nil {
		return err
	}
	if doubt && ended == nil && t.clock.Now().Before(until) {
		return errorf("stop", hv.Uncertain, "the start of %s was not answered and may still arrive", a)
	}
	t.mu.Lock()
	delete(t.ends, a)
	delete(t.doubts, a)
	t.mu.Unlock()
	t.end(end)
	return nil
}

// ended returns what the worker lists of an attempt that has ended by itself,
// which a stop would remove.
func (t *tasks) ended(ctx context.Context, a hv.Attempt) (*hv.RunningAttempt, error) {
	all, err := t.worker.Tasks(ctx)
	if err != nil {
		return nil, err
	}
	i := slices.IndexFunc(all, func(r hv.RunningAttempt) bool { return r.Attempt == a && r.State != hv.StateRunning })
	if i < 0 {
		return nil, nil
	}
	return &all[i], nil
}

// end takes an attempt off the ledger and reports it.
func (t *tasks) end(end hvhost.Report) {
	if !t.ledger.Load().ReportEnd(end) {
		return
	}
	t.agent.metric.Add("hv_ends_total", 1, "event", end.Event)
	logInfo(t.logger, "msg", "an attempt has ended", "attempt", end.Attempt, "event", end.Event, "reason", end.Reason)
}

// serveThrottle sets the share of an attempt.
func (t *tasks) serveThrottle(ctx context.Context, _ *hvwire.Conn, m hvwire.Throttle) (hvwire.Ack, error) {
	if m.Share < 1 || m.Share > fullShare {
		return hvwire.Ack{}, errorf("throttle", hv.Invalid, "share: %d is not within 1 to %d", m.Share, fullShare)
	}
	err := t.throttle(ctx, m.Attempt, m.Share)
	return hvwire.Ack{OK: err == nil}, err
}

// fullShare is the share of an attempt that is not throttled, in thousandths.
const fullShare = 1000

func (t *tasks) throttle(ctx context.Context, a hv.Attempt, share int) error {
	l := t.ledger.Load()
	if l == nil {
		return errorf("throttle", hv.Unavailable, "the attempts have not been read from the worker")
	}
	if _, ok := l.Find(a); !ok {
		return errorf("throttle", hv.NotFound, "attempt %s is not here", a)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := t.worker.Throttle(ctx, a, share); err != nil {
		return err
	}
	l.SetShare(a, share)
	return nil
}
