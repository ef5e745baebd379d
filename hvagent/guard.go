package hvagent

import (
	"context"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvguard"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	guardInterval = time.Second
	// guardSettlingTime is the age of the oldest sample in the measured
	// slowdown.
	guardSettlingTime = 10 * time.Second
)

// runGuard throttles or evicts tasks of the host when they slow down its
// upstream.
func (a *Agent) runGuard(ctx context.Context) {
	if a.service == nil {
		return
	}
	var guard hv.Guard = hvguard.Noop{}
	active, prefer := false, hv.Preference("")
	hvtick.Every(ctx, guardInterval, func() {
		settings := a.settings.Current().Settings
		wanted := settings.Services[a.service.name].Guard
		if wanted != active || prefer != hv.Preference(settings.Policy.Prefer) {
			active, prefer = wanted, hv.Preference(settings.Policy.Prefer)
			guard = a.newGuard(ctx, active, prefer)
		}
		for _, action := range guard.Decide(a.clock.Now(), a.slowdown(), a.tasks.live()) {
			a.applyGuardAction(ctx, action)
		}
	})
}

// newGuard returns a guard for changed settings. If the guard is switched off,
// newGuard lifts the throttling of all attempts.
func (a *Agent) newGuard(ctx context.Context, active bool, prefer hv.Preference) hv.Guard {
	if active {
		return hvguard.New(hvguard.Options{Prefer: prefer, SettlingTime: guardSettlingTime})
	}
	for _, r := range a.tasks.live() {
		if r.Share < fullShare {
			a.applyGuardAction(ctx, hv.GuardAction{Attempt: r.Attempt, Share: fullShare})
		}
	}
	return hvguard.Noop{}
}

func (a *Agent) applyGuardAction(ctx context.Context, action hv.GuardAction) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	if action.Share > 0 {
		err = a.tasks.throttle(ctx, action.Attempt, action.Share)
	} else if run, ok := a.tasks.ledger.Load().Find(action.Attempt); ok {
		_, err = a.tasks.evict(ctx, action.Attempt, run.Epoch, "evicted by the guard because of the latency of service "+a.service.name)
	}
	a.metric.Add("hv_guard_steps_total", 1)
	logInfo(a.tasks.logger, "msg", "guard action on attempt", "attempt", action.Attempt, "share", action.Share, "err", err)
}
