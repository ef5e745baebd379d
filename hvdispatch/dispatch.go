// Package hvdispatch admits requests, sends them to sides and determines their
// outcomes.
package hvdispatch

import (
	"context"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvretry"
)

// KeyOwners looks up the host that owns the key slot of an idempotency key.
type KeyOwners interface {
	Owner(service, key string) (host string, ok bool)
}

// Members gives access to the known sides; *hvmember.Table implements it.
type Members interface {
	Usable(service string) []*hvmember.Side
	Get(host string) (side hvmember.Side, alive bool)
	CallFailed(host, incarnation string)
}

// Deps holds the dependencies of a dispatcher.
type Deps struct {
	Members  Members
	Admitter hv.Admitter
	Picker   hv.Picker
	Budget   *hvretry.Budget
	// KeyOwners may be nil; requests that need the owner of their key then end
	// as not-run.
	KeyOwners  KeyOwners
	Clock      hv.Clock
	Metrics    *hvmetric.Registry
	Logger     log.Logger
	Violations func(invariant int, message string)
}

// Dispatcher dispatches requests to sides. It is safe for concurrent use.
type Dispatcher struct {
	deps        Deps
	outstanding *hostCounts
}

// New returns a dispatcher.
func New(deps Deps) *Dispatcher { return &Dispatcher{deps: deps, outstanding: newHostCounts()} }

// Names of the metrics of this package.
const (
	metricRequests   = "hv_requests_total"
	metricTook       = "hv_took_us"
	metricWaited     = "hv_waited_us"
	metricDispatches = "hv_dispatches_total"
)

// defaultRetryAfter is the retry time where no component gives a better one. A
// restarted side announces itself within about a second.
const defaultRetryAfter = time.Second

// Do runs a request and returns its outcome. It returns soon after the time in
// req.Left has passed or ctx has ended, or up to SettleTimeout later if it must
// ask the side for the outcome.
func (d *Dispatcher) Do(ctx context.Context, req hv.Request) hv.Response {
	start := d.deps.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Remaining.Std())
	defer cancel()
	p := newPendingRequest(req, d.deps.Violations)
	resp := p.conclude(d.admitAndDispatch(ctx, p, start))
	d.deps.Metrics.Count(metricRequests, req.Caller, req.Class, 1, "outcome", string(resp.Outcome))
	d.deps.Metrics.Observe(metricTook, req.Caller, req.Class, d.deps.Clock.Now().Sub(start))
	if resp.Outcome == hv.Unknown {
		_ = d.deps.Logger.Log("msg", "request ended as unknown", "request", req.ID, "service", req.Service, "reason", resp.Reason)
	}
	return resp
}

func (d *Dispatcher) admitAndDispatch(ctx context.Context, p *pendingRequest, start time.Time) hv.Response {
	release, retry, err := d.deps.Admitter.Admit(ctx, p.req)
	if err != nil {
		resp := notRun(p.req, err.Error(), retry)
		resp.Kind = hv.KindOf(err)
		return resp
	}
	defer release()
	d.deps.Metrics.Observe(metricWaited, p.req.Caller, p.req.Class, d.deps.Clock.Now().Sub(start))
	d.deps.Budget.Deposit(p.req.Service)
	return d.dispatch(ctx, p, start.Add(p.req.Remaining.Std()))
}

// dispatch sends the request to one side after another until an outcome other
// than not-run, while hvretry permits retries.
func (d *Dispatcher) dispatch(ctx context.Context, p *pendingRequest, deadline time.Time) hv.Response {
	var tried []string
	lastResp := notRun(p.req, "no upstream of service "+p.req.Service+" is live", defaultRetryAfter)
	for n := 1; ; n++ {
		side, reason := d.chooseSide(p.req, tried)
		left := deadline.Sub(d.deps.Clock.Now())
		switch {
		case reason != "" && n == 1:
			return notRun(p.req, reason, defaultRetryAfter)
		case reason != "":
			return lastResp
		case left <= 0 || ctx.Err() != nil:
			return notRun(p.req, "the deadline passed or the caller disconnected before the request was sent", defaultRetryAfter)
		case n > 1 && !d.deps.Budget.TryWithdraw(p.req.Service):
			return lastResp
		}
		req := p.req
		req.Remaining, req.Attempt = hv.Duration(left), n
		lastResp = d.attempt(ctx, p, side, req)
		tried = append(tried, side.Host.Name)
		if !hvretry.Allowed(lastResp, n) {
			return lastResp
		}
	}
}

func notRun(req hv.Request, reason string, retry time.Duration) hv.Response {
	return hv.Response{ID: req.ID, Outcome: hv.NotRun, Reason: reason, RetryAfter: hv.Duration(max(retry, time.Millisecond))}
}

func unknown(req hv.Request, reason string) hv.Response {
	return hv.Response{ID: req.ID, Outcome: hv.Unknown, Reason: reason}
}
