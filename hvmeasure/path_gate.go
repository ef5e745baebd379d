package hvmeasure

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
	"hibiscusvane.example/hibiscusvane/hvdispatch"
	"hibiscusvane.example/hibiscusvane/hvretry"
	"hibiscusvane.example/hibiscusvane/hvroute"
)

const pathService = "labels"

// pathGate is one gate with its own view of the upstreams.
type pathGate struct {
	run    *pathRun
	zone   string
	admit  *hvadmit.Admitter
	pick   hv.Picker
	budget *hvretry.Budget // nil in the baseline
	// outstanding counts the requests of this gate by upstream.
	outstanding []int
	decided     []*pathRequest
}

// pathRequest is one request of a caller.
type pathRequest struct {
	gate              *pathGate
	offer             int
	arrived, deadline time.Time
	entry             *hvadmit.Entry
	refused           error
	tried             []string
	runs              int
	admitted, ended   bool
	counted           bool
}

// attempt is one dispatch of a request.
type attempt struct {
	req     *pathRequest
	u       *pathUpstream
	sent    time.Time
	started bool
	// barred attempts must not start any more.
	barred, ended bool
}

// hop is the time of one way to an upstream.
func (g *pathGate) hop(u *pathUpstream) time.Duration {
	if g.zone == u.host.Zone {
		return 0
	}
	return hvroute.InterZoneDelay
}

// refresh sets the admission limit by the rule of hvdispatch.
func (g *pathGate) refresh() {
	load, own := 0, 0
	for i, u := range g.run.upstreams {
		load += u.load
		own += g.outstanding[i]
	}
	g.admit.SetLimit(pathService, hvdispatch.AdmissionLimit(hostCount*slots, len(g.run.gates), load, own))
}

func (g *pathGate) arrive(offer int) {
	r := g.run
	o := r.c.offers[offer]
	left := r.settings.Classes[o.class].DefaultDeadline.Std()
	q := &pathRequest{gate: g, offer: offer, arrived: r.clock.now, deadline: r.clock.now.Add(left), counted: r.counts(r.clock.now)}
	r.open++
	if q.counted {
		r.requests[offer]++
	}
	var err error
	q.entry, _, err = g.admit.Enqueue(hv.Request{Service: pathService, Class: o.class, Caller: o.caller, Remaining: hv.Duration(left)}, func(err error) {
		q.admitted, q.refused = err == nil, err
		g.decided = append(g.decided, q)
	})
	if err != nil {
		r.conclude(q, hv.NotRun, hv.Refused)
		return
	}
	if !q.admitted && q.refused == nil {
		r.after(left, func() {
			if !q.admitted && !q.ended {
				q.entry.Cancel()
			}
		})
	}
}

// decide goes on with the requests that left the queue.
func (g *pathGate) decide() {
	for len(g.decided) > 0 {
		list := g.decided
		g.decided = nil
		for _, q := range list {
			if !q.admitted {
				g.run.conclude(q, hv.NotRun, hv.Refused)
				continue
			}
			g.run.m["admitted"]++
			if g.budget != nil {
				g.budget.Deposit(pathService)
			}
			g.dispatch(q)
		}
	}
}

// dispatch sends a request to the next upstream that hvretry allows.
func (g *pathGate) dispatch(q *pathRequest) {
	r := g.run
	targets := make([]hv.UpstreamView, len(r.upstreams))
	for i, u := range r.upstreams {
		targets[i] = hv.UpstreamView{Host: u.host.Name, Zone: u.host.Zone, Slots: slots, Outstanding: g.outstanding[i], Load: u.load}
	}
	targets = hvretry.Untried(targets, q.tried)
	i := g.pick.Pick(pathService, targets)
	again := len(q.tried) > 0
	if i < 0 || !r.clock.now.Before(q.deadline) || again && g.budget != nil && !g.budget.TryWithdraw(pathService) {
		r.conclude(q, hv.NotRun, hv.Refused)
		return
	}
	u := r.byName[targets[i].Host]
	q.tried = append(q.tried, u.host.Name)
	g.outstanding[u.index]++
	r.m["dispatches"]++
	a := &attempt{req: q, u: u, sent: r.clock.now}
	r.after(g.hop(u), func() { u.receive(a) })
	r.after(q.deadline.Sub(r.clock.now), a.expire)
}

// reply carries the side's answer back.
func (a *attempt) reply(outcome hv.Outcome, result hv.DispatchResult) {
	g := a.req.gate
	g.run.after(g.hop(a.u), func() { a.end(outcome, result) })
}

// expire settles a dispatch that has no answer at the deadline.
func (a *attempt) expire() {
	if a.ended {
		return
	}
	outcome := hv.NotRun
	if a.u.settle(a) {
		outcome = hv.Unknown
	}
	a.end(outcome, hv.TimedOut)
}

func (a *attempt) end(outcome hv.Outcome, result hv.DispatchResult) {
	if a.ended {
		return
	}
	a.ended = true
	g := a.req.gate
	g.outstanding[a.u.index]--
	g.pick.Observe(pathService, a.u.host.Name, g.run.clock.now.Sub(a.sent), result)
	if hvretry.Allowed(hv.Response{Outcome: outcome}, len(a.req.tried)) {
		g.dispatch(a.req)
		return
	}
	g.run.conclude(a.req, outcome, result)
}
