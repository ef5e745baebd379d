// Package hvdispatch carries a request from its caller to a side and back.
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

// KeyOwners says which host owns the key slot of an idempotency key.
type KeyOwners interface {
	Owner(service, key string) (host string, ok bool)
}

// Members is the view of the sides; *hvmember.Table implements it.
type Members interface {
	Usable(service string) []*hvmember.Side
	Get(host string) (side hvmember.Side, alive bool)
	Failed(host, incarnation string)
}

// Deps are the parts that a dispatcher uses.
type Deps struct {
	Members  Members
	Admitter hv.Admitter
	Picker   hv.Picker
	Budget   *hvretry.Budget
	// KeyOwners may be nil; requests that need an owner are then not run.
	KeyOwners  KeyOwners
	Clock      hv.Clock
	Metrics    *hvmetric.Registry
	Logger     log.Logger
	Violations func(invariant int, message string)
}

// Dispatcher runs requests. Its methods may be called from any goroutine.
type Dispatcher struct {
	deps        Deps
	outstanding *counts
}

// New returns a dispatcher.
func New(deps Deps) *Dispatcher { return &Dispatcher{deps: deps, outstanding: newCounts()} }

// Names of the metrics of this package.
const (
	metricRequests   = "hv_requests_total"
	metricTook       = "hv_took_us"
	metricWaited     = "hv_waited_us"
	metricDispatches = "hv_dispatches_total"
)

// defaultRetry is the retry time where no part gives a better one. A side
// that is restarted announces itself within about a second.
const defaultRetry = time.Second

// Do runs a request and returns its one outcome. It returns soon after the
// time in req.Left has passed or ctx has ended; settling takes up to
// SettleTimeout longer.
func (d *Dispatcher) Do(ctx context.Context, req hv.Request) hv.Answer {
	start := d.deps.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Left.Std())
	defer cancel()
	p := newPending(req, d.deps.Violations)
	ans := p.conclude(d.admitted(ctx, p, start))
	d.deps.Metrics.Count(metricRequests, req.Caller, req.Class, 1, "outcome", string(ans.Outcome))
	d.deps.Metrics.Observe(metricTook, req.Caller, req.Class, d.deps.Clock.Now().Sub(start))
	if ans.Outcome == hv.Unknown {
		_ = d.deps.Logger.Log("msg", "request ended as unknown", "request", req.ID, "service", req.Service, "reason", ans.Reason)
	}
	return ans
}

func (d *Dispatcher) admitted(ctx context.Context, p *pending, start time.Time) hv.Answer {
	release, retry, err := d.deps.Admitter.Admit(ctx, p.req)
	if err != nil {
		ans := notRun(p.req, err.Error(), retry)
		ans.Kind = hv.KindOf(err)
		return ans
	}
	defer release()
	d.deps.Metrics.Observe(metricWaited, p.req.Caller, p.req.Class, d.deps.Clock.Now().Sub(start))
	d.deps.Budget.Deposit(p.req.Service)
	return d.dispatch(ctx, p, start.Add(p.req.Left.Std()))
}

// dispatch sends the request to one side after another while the rules of
// hvretry allow it.
func (d *Dispatcher) dispatch(ctx context.Context, p *pending, deadline time.Time) hv.Answer {
	var tried []string
	last := notRun(p.req, "no upstream of service "+p.req.Service+" is live", defaultRetry)
	for n := 1; ; n++ {
		side, reason := d.choose(p.req, tried)
		left := deadline.Sub(d.deps.Clock.Now())
		switch {
		case reason != "" && n == 1:
			return notRun(p.req, reason, defaultRetry)
		case reason != "":
			return last
		case left <= 0 || ctx.Err() != nil:
			return notRun(p.req, "the deadline passed or the caller left before the request was sent", defaultRetry)
		case n > 1 && !d.deps.Budget.TryWithdraw(p.req.Service):
			return last
		}
		req := p.req
		req.Left, req.Attempt = hv.Duration(left), n
		last = d.attempt(ctx, p, side, req)
		tried = append(tried, side.Host.Name)
		if !hvretry.Allowed(last, n) {
			return last
		}
	}
}

func notRun(req hv.Request, reason string, retry time.Duration) hv.Answer {
	return hv.Answer{ID: req.ID, Outcome: hv.NotRun, Reason: reason, Retry: hv.Duration(max(retry, time.Millisecond))}
}

func unknown(req hv.Request, reason string) hv.Answer {
	return hv.Answer{ID: req.ID, Outcome: hv.Unknown, Reason: reason}
}
