package hvagent

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhost"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// renewStep is the least extension of a lease for which the worker is called.
// Owners renew leases to 10 s every second; a step of 2 s halves the calls and
// leaves the worker at least 7 s of the lease.
const renewStep = 2 * time.Second

// applyRenewals applies the renewals in the response to a heartbeat.
func (t *tasks) applyRenewals(all []hvwire.Renewal, sent time.Time) {
	l := t.ledger.Load()
	if l == nil {
		return
	}
	for _, r := range all {
		current := l.Renew(hvhost.Renewal{Shard: r.Shard, Epoch: r.Epoch, Sent: sent, Lease: r.Lease.Std(), Except: r.Stop})
		if !current {
			logWarn(t.logger, "msg", "lease renewal with an older epoch ignored", "shard", r.Shard, "epoch", r.Epoch)
			continue
		}
		for _, a := range r.Stop {
			if l.MarkStopping(a, r.Epoch) == nil {
				t.requestStop(hvhost.Report{Attempt: a, Shard: r.Shard, Event: hvwire.EventStopped, Reason: "the owner does not know the attempt"})
			}
		}
	}
}

// renewLeases extends the leases at the worker to the remaining time of those in
// the ledger.
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
			logWarn(t.logger, "msg", "renewing lease at the worker failed", "attempt", r.Attempt, "err", err)
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

// stopExpired stops the attempts whose leases have expired, and retries all
// other stops that have not succeeded yet.
func (t *tasks) stopExpired(ctx context.Context) {
	for _, r := range t.ledger.Load().ExpireLeases() {
		logWarn(t.logger, "msg", "lease expired, stopping attempt", "attempt", r.Attempt)
		t.requestStop(hvhost.Report{Attempt: r.Attempt, Shard: r.Shard, Event: hvwire.EventLapsed, Reason: "the lease expired without a renewal"})
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
			logWarn(t.logger, "msg", "stopping attempt failed", "attempt", a, "err", err)
		}
	})
}
