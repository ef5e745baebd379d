package hvagent

import (
	"context"
	"slices"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhost"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// serveStop ends an attempt. A stop of an attempt that this host does not hold
// is also reported: the attempt does not run here and never will.
func (t *tasks) serveStop(ctx context.Context, _ *hvwire.Conn, m hvwire.Stop) (hvwire.StopAck, error) {
	l := t.ledger.Load()
	if l == nil {
		return hvwire.StopAck{}, errorf("stop", hv.Unavailable, "running attempts have not been read from the worker yet")
	}
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	report := hvhost.Report{Attempt: m.Attempt, Shard: m.Shard, Event: hvwire.EventStopped, Reason: m.Reason}
	if _, held := l.Find(m.Attempt); !held {
		report.Reason = "the attempt does not run on this host"
		l.ReportAbsence(report)
		return hvwire.StopAck{}, nil
	}
	if m.Checkpoint {
		checkpoint, err := t.evict(ctx, m.Attempt, m.Epoch, m.Reason)
		return hvwire.StopAck{Checkpoint: checkpoint}, err
	}
	if err := l.MarkStopping(m.Attempt, m.Epoch); err != nil {
		return hvwire.StopAck{}, err
	}
	t.requestStop(report)
	return hvwire.StopAck{}, t.stopAttempt(ctx, m.Attempt)
}

// evict requests a checkpoint and stops the attempt. An attempt of a task that
// must not run twice is not stopped if the checkpoint fails.
func (t *tasks) evict(ctx context.Context, a hv.Attempt, epoch int64, reason string) (string, error) {
	release, err := t.locks.lock(ctx, a)
	if err != nil {
		return "", err
	}
	defer release()
	l := t.ledger.Load()
	run, ok := l.Find(a)
	if !ok {
		return "", errorf("evict", hv.NotFound, "attempt %s is not on this host", a)
	}
	checkpoint, err := t.worker.Checkpoint(ctx, a)
	switch kind := hv.KindOf(err); {
	case err == nil:
		t.setCheckpoint(a, checkpoint)
	case run.Task.Once || kind == hv.NotFound || kind == hv.Uncertain || kind == hv.Unavailable:
		// NotFound means that the attempt has ended; poll will report how.
		return "", err
	default:
		logWarn(t.logger, "msg", "checkpoint failed, evicting attempt with its previous checkpoint", "attempt", a, "err", err)
		checkpoint = t.lastCheckpoint(a, run.Checkpoint)
	}
	if err := l.MarkStopping(a, epoch); err != nil {
		return "", err
	}
	t.requestStop(hvhost.Report{Attempt: a, Event: hvwire.EventEvicted, Reason: reason, Checkpoint: checkpoint})
	return checkpoint, t.stopAttemptLocked(ctx, a)
}

func (t *tasks) setCheckpoint(a hv.Attempt, checkpoint string) {
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

// requestStop records that an attempt is to be stopped, and the report about it.
// The report of the first call is kept.
func (t *tasks) requestStop(r hvhost.Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.stopping[r.Attempt]; !ok {
		t.stopping[r.Attempt] = r
	}
}

// stopAttempt stops an attempt at the worker and reports its end once the worker
// has confirmed the stop. stopExpired calls it again until it succeeds.
func (t *tasks) stopAttempt(ctx context.Context, a hv.Attempt) error {
	release, err := t.locks.lock(ctx, a)
	if err != nil {
		return err
	}
	defer release()
	return t.stopAttemptLocked(ctx, a)
}

func (t *tasks) stopAttemptLocked(ctx context.Context, a hv.Attempt) error {
	t.mu.Lock()
	report, requested := t.stopping[a]
	uncertainUntil, uncertain := t.uncertainStarts[a]
	t.mu.Unlock()
	if !requested {
		return nil
	}
	ended, err := t.findEnded(ctx, a)
	if err != nil {
		return err
	}
	if ended != nil {
		report.Event, report.Reason, report.Checkpoint = ended.State, ended.Reason, ended.Checkpoint
	} else if err := t.worker.Stop(ctx, a); err != nil {
		return err
	}
	if uncertain && ended == nil && t.clock.Now().Before(uncertainUntil) {
		return errorf("stop", hv.Uncertain, "the worker did not respond to the start of %s and may still run it", a)
	}
	t.mu.Lock()
	delete(t.stopping, a)
	delete(t.uncertainStarts, a)
	t.mu.Unlock()
	t.recordEnd(report)
	return nil
}

// findEnded returns the worker's record of an attempt that has ended by itself,
// or nil. A stop would remove that record.
func (t *tasks) findEnded(ctx context.Context, a hv.Attempt) (*hv.RunningAttempt, error) {
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

// recordEnd removes an attempt from the ledger and reports its end.
func (t *tasks) recordEnd(r hvhost.Report) {
	if !t.ledger.Load().ReportEnd(r) {
		return
	}
	t.agent.metric.Add("hv_ends_total", 1, "event", r.Event)
	logInfo(t.logger, "msg", "attempt ended", "attempt", r.Attempt, "event", r.Event, "reason", r.Reason)
}

// serveThrottle sets the CPU share of an attempt.
func (t *tasks) serveThrottle(ctx context.Context, _ *hvwire.Conn, m hvwire.Throttle) (hvwire.Ack, error) {
	if m.Share < 1 || m.Share > fullShare {
		return hvwire.Ack{}, errorf("throttle", hv.Invalid, "share: %d is not within 1 to %d", m.Share, fullShare)
	}
	err := t.throttle(ctx, m.Attempt, m.Share)
	return hvwire.Ack{OK: err == nil}, err
}

// fullShare is the share, in thousandths, of an attempt that is not throttled.
const fullShare = 1000

func (t *tasks) throttle(ctx context.Context, a hv.Attempt, share int) error {
	l := t.ledger.Load()
	if l == nil {
		return errorf("throttle", hv.Unavailable, "running attempts have not been read from the worker yet")
	}
	if _, ok := l.Find(a); !ok {
		return errorf("throttle", hv.NotFound, "attempt %s is not on this host", a)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := t.worker.Throttle(ctx, a, share); err != nil {
		return err
	}
	l.SetShare(a, share)
	return nil
}
