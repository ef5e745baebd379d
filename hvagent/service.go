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

// Metrics of the requests to the upstream.
const (
	metricRequests = "hv_requests_total"
	metricTook     = "hv_took_us"
	metricWaited   = "hv_waited_us"
)

// service is the service of the side: its upstream, slots and key memory.
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
		name: c.Service, clock: a.clock, logger: a.logs.Component("run"), metric: a.metric,
		slots:    hvslot.New(hvslot.Config{Slots: c.Slots, Connections: c.Connections}, a.clock, a.violation),
		latency:  hvslot.NewLatencyWindow(a.clock),
		keys:     newKeys(a),
		upstream: newUpstream(c.Upstream, func() int { return int(a.settings.Current().Settings.Limits.MaxResponseSize) }),
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

// digest returns a hash of the content of a request. It detects a key that is
// used again for another request.
func digest(req hv.Request) uint64 {
	d := xxhash.New()
	for _, part := range []string{req.Method, req.Path, req.ContentType} {
		// Writes to a hash never fail. The zero byte separates the parts.
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return d.Sum64()
}

// keyed reports whether a request is deduplicated by its idempotency key.
func keyed(req hv.Request) bool { return !req.Idempotent && req.IdempotencyKey != "" }

// recordOutcome counts and logs the outcome of a request.
func (s *service) recordOutcome(req hv.Request, resp hv.Response) hv.Response {
	s.metric.Count(metricRequests, req.Caller, req.Class, 1, "outcome", string(resp.Outcome))
	if resp.Outcome == hv.Unknown {
		logWarn(s.logger, "msg", "request ended with unknown outcome", "request", req.ID, "reason", resp.Reason)
	} else {
		logDebug(s.logger, "msg", "request ended", "request", req.ID, "outcome", resp.Outcome, "status", resp.Status, "reason", resp.Reason)
	}
	return resp
}

// finish releases the slot of a request and records the response for its key.
func (s *service) finish(t *hvslot.Ticket, e *hvkey.Entry, resp hv.Response) {
	if e != nil && resp.Outcome == hv.NotRun {
		s.keys.memory.Abandon(e, resp.Reason)
	} else if e != nil {
		s.keys.memory.Finish(e, resp)
	}
	s.slots.Finish(t, resp)
}

// withoutCancel detaches a request from the connection: a request that has
// started runs to its end or deadline even if the connection ends, and the gate
// can settle it later.
func withoutCancel(ctx context.Context) context.Context { return context.WithoutCancel(ctx) }
