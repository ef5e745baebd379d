package hvmeasure

import (
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvadmit"
	"hibiscusvane.example/hibiscusvane/hvdispatch"
	"hibiscusvane.example/hibiscusvane/hvretry"
	"hibiscusvane.example/hibiscusvane/hvroute"
)

const serviceName = "labels"

// pathGate is one gate. Its picker has its own measurements of the upstreams.
type pathGate struct {
	run      *pathRun
	zone     string
	admitter *hvadmit.Admitter
	picker   hv.Picker
	budget   *hvretry.Budget // nil in the baseline
	// outstanding counts the requests of this gate in flight, by upstream.
	outstanding []int
	decided     []*pathRequest
}

// pathRequest is one request of a caller.
type pathRequest struct {
	gate              *pathGate
	loadIndex         int
	arrived, deadline time.Time
	entry             *hvadmit.Entry
	refusal           error
	tried             []string
	executions        int
	admitted, ended   bool
	measured          bool
}

// attempt is one dispatch of a request.
type attempt struct {
	req      *pathRequest
	upstream *pathUpstream
	sent     time.Time
	started  bool
	// blocked means that the attempt must not start any more.
	blocked, ended bool
}

// delayTo returns the one-way network delay to an upstream.
func (g *pathGate) delayTo(u *pathUpstream) time.Duration {
	if g.zone == u.host.Zone {
		return 0
	}
	return hvroute.InterZoneDelay
}

// updateLimit sets the admission limit as hvdispatch computes it.
func (g *pathGate) updateLimit() {
	load, own := 0, 0
	for i, u := range g.run.upstreams {
		load += u.load
		own += g.outstanding[i]
	}
	g.admitter.SetLimit(serviceName, hvdispatch.AdmissionLimit(hostCount*slots, len(g.run.gates), load, own))
}

func (g *pathGate) arrive(loadIndex int) {
	r := g.run
	l := r.c.loads[loadIndex]
	remaining := r.settings.Classes[l.class].DefaultDeadline.Std()
	q := &pathRequest{gate: g, loadIndex: loadIndex, arrived: r.clock.now, deadline: r.clock.now.Add(remaining), measured: r.isMeasured(r.clock.now)}
	r.pending++
	if q.measured {
		r.requests[loadIndex]++
	}
	var err error
	q.entry, _, err = g.admitter.Enqueue(hv.Request{Service: serviceName, Class: l.class, Caller: l.caller, Remaining: hv.Duration(remaining)}, func(err error) {
		q.admitted, q.refusal = err == nil, err
		g.decided = append(g.decided, q)
	})
	if err != nil {
		r.conclude(q, hv.NotRun, hv.Refused)
		return
	}
	if !q.admitted && q.refusal == nil {
		r.after(remaining, func() {
			if !q.admitted && !q.ended {
				q.entry.Cancel()
			}
		})
	}
}

// handleDecisions dispatches the requests that were admitted and concludes
// those that were refused.
func (g *pathGate) handleDecisions() {
	for len(g.decided) > 0 {
		list := g.decided
		g.decided = nil
		for _, q := range list {
			if !q.admitted {
				g.run.conclude(q, hv.NotRun, hv.Refused)
				continue
			}
			g.run.metrics["admitted"]++
			if g.budget != nil {
				g.budget.Deposit(serviceName)
			}
			g.dispatch(q)
		}
	}
}

// dispatch sends a request to an upstream that it has not tried yet, if
// hvretry allows another attempt.
func (g *pathGate) dispatch(q *pathRequest) {
	r := g.run
	views := make([]hv.UpstreamView, len(r.upstreams))
	for i, u := range r.upstreams {
		views[i] = hv.UpstreamView{Host: u.host.Name, Zone: u.host.Zone, Slots: slots, Outstanding: g.outstanding[i], Load: u.load}
	}
	views = hvretry.Untried(views, q.tried)
	i := g.picker.Pick(serviceName, views)
	retry := len(q.tried) > 0
	if i < 0 || !r.clock.now.Before(q.deadline) || retry && g.budget != nil && !g.budget.TryWithdraw(serviceName) {
		r.conclude(q, hv.NotRun, hv.Refused)
		return
	}
	u := r.byName[views[i].Host]
	q.tried = append(q.tried, u.host.Name)
	g.outstanding[u.index]++
	r.metrics["dispatches"]++
	a := &attempt{req: q, upstream: u, sent: r.clock.now}
	r.after(g.delayTo(u), func() { u.receive(a) })
	r.after(q.deadline.Sub(r.clock.now), a.expire)
}

// reply sends the side's response to the gate.
func (a *attempt) reply(outcome hv.Outcome, result hv.DispatchResult) {
	g := a.req.gate
	g.run.after(g.delayTo(a.upstream), func() { a.finish(outcome, result) })
}

// expire ends a dispatch that has no response at the deadline. Its outcome is
// unknown if the upstream has started it.
func (a *attempt) expire() {
	if a.ended {
		return
	}
	outcome := hv.NotRun
	if a.upstream.blockUnstarted(a) {
		outcome = hv.Unknown
	}
	a.finish(outcome, hv.TimedOut)
}

func (a *attempt) finish(outcome hv.Outcome, result hv.DispatchResult) {
	if a.ended {
		return
	}
	a.ended = true
	g := a.req.gate
	g.outstanding[a.upstream.index]--
	g.picker.Observe(serviceName, a.upstream.host.Name, g.run.clock.now.Sub(a.sent), result)
	if hvretry.Allowed(hv.Response{Outcome: outcome}, len(a.req.tried)) {
		g.dispatch(a.req)
		return
	}
	g.run.conclude(a.req, outcome, result)
}
