package hvagent

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhost"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// renewStep is how much a lease must have grown to be renewed at the worker.
// Renewals of 10 s come each second; a step of 2 s halves the calls and leaves
// the worker at least 7 s.
const renewStep = 2 * time.Second

// applyRenewals applies those of a heartbeat's answer.
func (t *tasks) applyRenewals(all []hvwire.Renewal, sent time.Time) {
	l := t.ledger.Load()
	if l == nil {
		return
	}
	for _, r := range all {
		current := l.Renew(hvhost.Renewal{Shard: r.Shard, Epoch: r.Epoch, Sent: sent, Lease: r.Lease.Std(), Except: r.Stop})
		if !current {
			logWarn(t.logger, "msg", "a renewal of an older epoch was ignored", "shard", r.Shard, "epoch", r.Epoch)
			continue
		}
		for _, a := range r.Stop {
			if l.MarkStopping(a, r.Epoch) == nil {
				t.requestStop(hvhost.Report{Attempt: a, Shard: r.Shard, Event: hvwire.EventStopped, Reason: "the owner does not know the attempt"})
			}
		}
	}
}

// renewLeases extends the leases at the worker to what remains of those here.
func (t *tasks) renewLeases(ctx context.Context) {
	l := t.ledger.Load()
	forEach(l.Live(), func(r hv.RunningAttempt) {
		now := t.clock.Now()
		lease, err := l.Lease(r.Attempt)
		if err != nil || now.Add(lease).Sub(t.workerLeaseEnd(r.Attempt)) < renewStep {
			return
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := t.worker.Renew(ctx, r.Attempt, lease); err != nil {
			logWarn(t.logger, "msg", "a lease was not renewed at the worker", "attempt", r.Attempt, "err", err)
			return
		}
		t.mu.Lock()
		defer t.mu.Unlock()
		t.workerLeaseEnds[r.Attempt] = now.Add(lease)
	})
}

func (t *tasks) workerLeaseEnd(a hv.Attempt) time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.workerLeaseEnds[a]
}

// stopExpired stops attempts whose leases have ended, and all others that are to be
// stopped and are not yet.
func (t *tasks) stopExpired(ctx context.Context) {
	for _, r := range t.ledger.Load().ExpireLeases() {
		logWarn(t.logger, "msg", "a lease has lapsed", "attempt", r.Attempt)
		t.requestStop(hvhost.Report{Attempt: r.Attempt, Shard: r.Shard, Event: hvwire.EventLapsed, Reason: "the lease ended without a renewal"})
	}
	t.mu.Lock()
	var all []hv.Attempt
	for a := range t.stopping {
		all = append(all, a)
	}
	t.mu.Unlock()
	forEach(all, func(a hv.Attempt) {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if err := t.stopAttempt(ctx, a); err != nil {
			logWarn(t.logger, "msg", "an attempt was not stopped", "attempt", a, "err", err)
		}
	})
}
