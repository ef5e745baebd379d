package hvagent

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhost"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// startRetryInterval is the pause before a start to which the worker did not
// respond is sent again.
const startRetryInterval = 200 * time.Millisecond

// serveStart admits an attempt and starts it at the worker. The result is also
// reported, because the owner of the shard relies on reports only.
func (t *tasks) serveStart(l *link, m hvwire.Start) (hvwire.Ack, error) {
	ledger := t.ledger.Load()
	if ledger == nil {
		return hvwire.Ack{}, errorf("start", hv.Unavailable, "running attempts have not been read from the worker yet")
	}
	if m.Incarnation != t.agent.incarnation {
		// An earlier side process on this host may have run the attempt.
		return hvwire.Ack{}, errorf("start", hv.Conflict, "the attempt was placed on another incarnation, %q", m.Incarnation)
	}
	sent, ok := l.sentAt(m.HeartbeatSequence)
	if !ok {
		return hvwire.Ack{}, errorf("start", hv.Expired, "heartbeat %d is unknown or too old", m.HeartbeatSequence)
	}
	release, err := t.locks.lock(t.baseCtx, m.Attempt)
	if err != nil {
		return hvwire.Ack{}, err
	}
	defer release()
	added, err := ledger.Admit(hvhost.StartRequest{
		Task: m.Task, Attempt: m.Attempt, Shard: m.Shard, Epoch: m.Epoch, Committed: m.Committed,
		Checkpoint: m.Checkpoint, LeaseEnd: sent.Add(m.Lease.Std()),
	})
	if err != nil {
		t.reportRefusal(ledger, m, err)
		return hvwire.Ack{}, err
	}
	if !added {
		return hvwire.Ack{OK: true}, nil
	}
	err = t.startAtWorker(ledger, m)
	return hvwire.Ack{OK: err == nil}, err
}

// reportRefusal reports a refused attempt, so that the owner places the next one
// elsewhere. An expired start is not reported: the current owner sends it again.
func (t *tasks) reportRefusal(l *hvhost.Ledger, m hvwire.Start, err error) {
	logInfo(t.logger, "msg", "attempt refused", "attempt", m.Attempt, "err", err)
	t.agent.metric.Add("hv_starts_total", 1, "result", "refused")
	if hv.KindOf(err) != hv.Expired && m.Attempt.Number > 0 {
		l.ReportRefusal(hvhost.Report{Attempt: m.Attempt, Shard: m.Shard, Event: hvwire.EventRefused, Reason: err.Error()})
	}
}

// startAtWorker starts an admitted attempt. A start without a response is
// repeated until the lease expires, because the worker may have run it.
func (t *tasks) startAtWorker(l *hvhost.Ledger, m hvwire.Start) error {
	for {
		lease, err := l.Lease(m.Attempt)
		if err != nil {
			return err
		}
		run := hv.RunningAttempt{
			Attempt: m.Attempt, Task: m.Task, Shard: m.Shard, Epoch: m.Epoch, Committed: m.Committed, Lease: hv.Duration(lease),
		}
		end := t.clock.Now().Add(lease)
		ctx, cancel := context.WithTimeout(t.baseCtx, callTimeout)
		err = t.worker.Start(ctx, run, m.Checkpoint)
		cancel()
		switch {
		case err == nil:
			t.markStarted(l, m, end)
			return nil
		case hv.KindOf(err) != hv.Uncertain:
			t.rejectedByWorker(l, m, err)
			return err
		}
		t.markUncertain(m.Attempt, end)
		logWarn(t.logger, "msg", "worker did not respond to start", "attempt", m.Attempt, "err", err)
		select {
		case <-t.baseCtx.Done():
			return err
		case <-time.After(startRetryInterval):
		}
	}
}

func (t *tasks) markStarted(l *hvhost.Ledger, m hvwire.Start, end time.Time) {
	l.MarkStarted(m.Attempt)
	t.mu.Lock()
	delete(t.uncertainStarts, m.Attempt)
	t.workerLeaseEnds[m.Attempt] = end
	t.mu.Unlock()
	t.agent.metric.Add("hv_starts_total", 1, "result", "started")
	t.agent.reporter.addStart(hvhost.Report{Attempt: m.Attempt, Shard: m.Shard, Event: hvwire.EventStarted})
	logInfo(t.logger, "msg", "attempt started", "attempt", m.Attempt, "shard", m.Shard, "epoch", m.Epoch)
}

// rejectedByWorker ends an attempt that the worker refused to start. After an
// earlier start without a response, the refusal does not prove that the attempt
// never ran.
func (t *tasks) rejectedByWorker(l *hvhost.Ledger, m hvwire.Start, err error) {
	report := hvhost.Report{Attempt: m.Attempt, Shard: m.Shard, Event: hvwire.EventRefused, Reason: err.Error()}
	logWarn(t.logger, "msg", "worker refused to start attempt", "attempt", m.Attempt, "err", err)
	t.agent.metric.Add("hv_starts_total", 1, "result", "failed")
	t.mu.Lock()
	_, uncertain := t.uncertainStarts[m.Attempt]
	t.mu.Unlock()
	if uncertain {
		// The attempt ends when its lease expires.
		return
	}
	l.ReportEnd(report)
}

func (t *tasks) markUncertain(a hv.Attempt, end time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.uncertainStarts[a] = end
}
