package hvmeasure

import (
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// pathUpstream is a fake side with its upstream.
type pathUpstream struct {
	run     *pathRun
	index   int
	host    hv.Host
	running int
	waiting []*attempt
	// load is the number of requests in the last heartbeat to the gates.
	load int
}

func (u *pathUpstream) behavior() behavior {
	if u.run.c.behavior == nil || u.run.elapsed() < faultStart {
		return normal
	}
	return u.run.c.behavior(u)
}

// receive starts or queues a request, or refuses it if no connection is free.
func (u *pathUpstream) receive(a *attempt) {
	switch {
	case a.blocked:
	case u.behavior() == refusing || u.running+len(u.waiting) >= connections:
		a.reply(hv.NotRun, hv.Refused)
	case u.running < slots:
		u.start(a)
	default:
		u.waiting = append(u.waiting, a)
	}
}

func (u *pathUpstream) start(a *attempt) {
	r := u.run
	a.started = true
	if a.req.executions++; a.req.executions > 1 {
		r.metrics["doubled"]++
	}
	u.running++
	millis := fixedMillis + randomMillis*r.serviceRandom.ExpFloat64()
	duration, result, outcome := time.Duration(millis*float64(time.Millisecond)), hv.Succeeded, hv.Done
	remaining := a.req.deadline.Sub(r.clock.now)
	switch u.behavior() {
	case slow:
		duration *= slowFactor
	case failing:
		duration, result = failTime, hv.Failed
	case wrongResponse:
		result, outcome = hv.Failed, hv.Unknown
	case hanging:
		duration = remaining
	case normal, refusing:
	}
	// The side ends the call at the deadline.
	duration = min(duration, remaining)
	r.addSlotTime(a.req, duration)
	r.after(duration, func() {
		u.running--
		a.reply(outcome, result)
		for u.running < slots && len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			u.start(next)
		}
	})
}

// blockUnstarted blocks an attempt that has not started. It reports whether the
// attempt has started.
func (u *pathUpstream) blockUnstarted(a *attempt) bool {
	if !a.started {
		a.blocked = true
		u.waiting = slices.DeleteFunc(u.waiting, func(w *attempt) bool { return w == a })
	}
	return a.started
}
