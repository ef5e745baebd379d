package hvagent

import (
	"context"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvmetric"
	"hibiscusvane.example/hibiscusvane/hvslot"
)

// Series of the requests at the upstream.
const (
	metricRequests = "hv_requests_total"
	metricTook     = "hv_took_us"
	metricWaited   = "hv_waited_us"
)

// service is the upstream of the side with its slots and keys.
type service struct {
	name     string
	clock    hv.Clock
	logger   log.Logger
	metric   *hvmetric.Registry
	slots    *hvslot.Slots
	latency  *hvslot.LatencyWindow
	keys     *keys
	upstream *upstream
}

func newService(a *Agent, c Config) *service {
	return &service{
		name: c.Service, clock: a.clock, logger: a.logs.Part("run"), metric: a.metric,
		slots:    hvslot.New(hvslot.Config{Slots: c.Slots, Connections: c.Connections}, a.clock, a.violation),
		latency:  hvslot.NewLatencyWindow(a.clock),
		keys:     newKeys(a),
		upstream: newUpstream(c.Upstream, func() int { return int(a.book.Current().Settings.Limits.MaxResponseSize) }),
	}
}

func (s *service) setMetrics() {
	running, waiting := s.slots.Load()
	s.metric.Set("hv_requests_running", int64(running))
	s.metric.Set("hv_requests_waiting", int64(waiting))
	count, bytes := s.keys.memory.Size()
	s.metric.Set("hv_keys", int64(count))
	s.metric.Set("hv_keys_bytes", int64(bytes))
	s.metric.Set("hv_key_slots", int64(len(s.keys.memory.ServedSlots())))
}

// digest identifies the content of a request with a key.
func digest(req hv.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{req.Method, req.Path, req.ContentType} {
		// Writes to a hash return no error. The zero byte separates the parts.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// keyed reports whether the key memory decides about a request.
func keyed(req hv.Request) bool { return !req.Idempotent && req.IdempotencyKey != "" }

// ended counts and logs the outcome of a request.
func (s *service) ended(req hv.Request, ans hv.Response) hv.Response {
	s.metric.Count(metricRequests, req.Caller, req.Class, 1, "outcome", string(ans.Outcome))
	if ans.Outcome == hv.Unknown {
		logWarn(s.logger, "msg", "the outcome is unknown", "request", req.ID, "reason", ans.Reason)
	} else {
		logDebug(s.logger, "msg", "request ended", "request", req.ID, "outcome", ans.Outcome, "status", ans.Status, "reason", ans.Reason)
	}
	return ans
}

// finish gives back what a request that ran has held.
func (s *service) finish(t *hvslot.Ticket, e *hvkey.Entry, ans hv.Response) {
	if e != nil && ans.Outcome == hv.NotRun {
		s.keys.memory.Abandon(e, ans.Reason)
	} else if e != nil {
		s.keys.memory.Finish(e, ans)
	}
	s.slots.Finish(t, ans)
}

// outliving keeps the deadline of the request but not the connection's end:
// what has started runs to its end, and the gate can settle it later.
func outliving(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }
