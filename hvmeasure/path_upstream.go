package hvmeasure

import (
	"slices"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// pathUpstream is the fake of one side with its upstream.
type pathUpstream struct {
	run     *pathRun
	index   int
	host    hv.Host
	running int
	waiting []*attempt
	// load is what the last heartbeat told the gates.
	load int
}

func (u *pathUpstream) behavior() behavior {
	if u.run.c.behavior == nil || u.run.elapsed() < faultStart {
		return normal
	}
	return u.run.c.behavior(u)
}

// receive takes a request or refuses it for want of a connection.
func (u *pathUpstream) receive(a *attempt) {
	switch {
	case a.barred:
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
	if a.req.runs++; a.req.runs > 1 {
		r.m["doubled"]++
	}
	u.running++
	millis := fixedMillis + randomMillis*r.random.ExpFloat64()
	took, result, outcome := time.Duration(millis*float64(time.Millisecond)), hv.Succeeded, hv.Done
	left := a.req.deadline.Sub(r.clock.now)
	switch u.behavior() {
	case slow:
		took *= slowFactor
	case failing:
		took, result = failTime, hv.Failed
	case wrong:
		result, outcome = hv.Failed, hv.Unknown
	case hanging:
		took = left
	case normal, refusing:
	}
	// The side ends the call at the deadline.
	took = min(took, left)
	r.used(a.req, took)
	r.after(took, func() {
		u.running--
		a.reply(outcome, result)
		for u.running < slots && len(u.waiting) > 0 {
			next := u.waiting[0]
			u.waiting = u.waiting[1:]
			u.start(next)
		}
	})
}

// settle bars an attempt that has not started and reports whether it has.
func (u *pathUpstream) settle(a *attempt) bool {
	if !a.started {
		a.barred = true
		u.waiting = slices.DeleteFunc(u.waiting, func(w *attempt) bool { return w == a })
	}
	return a.started
}
