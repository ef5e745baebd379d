package hvdispatch

import (
	"context"
	"time"

	"hibiscusvane.example/hibiscusvane/hvmember"
)

// refreshInterval is how often admission follows the live slots.
const refreshInterval = 100 * time.Millisecond

// Limiter takes the number of requests of a service that may run at a time.
type Limiter interface {
	SetLimit(service string, slots int)
}

// Fleet is the whole view of the sides and gates; *hvmember.Table implements
// it.
type Fleet interface {
	Alive() []hvmember.Side
	Usable(service string) []*hvmember.Side
}

// LimitUpdater keeps the admission limits in step with the live slots.
type LimitUpdater struct {
	fleet   Fleet
	gates   func() int
	limiter Limiter
	known   map[string]bool
	flight  *counts
}

// NewLimitUpdater returns the limits for a dispatcher. Gates returns the number of
// live gates, this one included.
func (d *Dispatcher) NewLimitUpdater(fleet Fleet, gates func() int, limiter Limiter) *LimitUpdater {
	return &LimitUpdater{fleet: fleet, gates: gates, limiter: limiter, known: map[string]bool{}, flight: d.outstanding}
}

// Run follows the fleet until ctx ends.
func (l *LimitUpdater) Run(ctx context.Context) {
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		l.Refresh()
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

// Refresh sets the limits once. It must not be called while Run runs.
func (l *LimitUpdater) Refresh() {
	now := map[string]bool{}
	for _, s := range l.fleet.Alive() {
		if s.Service != "" {
			now[s.Service] = true
		}
	}
	for service := range l.known {
		if !now[service] {
			l.limiter.SetLimit(service, 0)
		}
	}
	for service := range now {
		l.limiter.SetLimit(service, l.limit(service))
	}
	l.known = now
}

func (l *LimitUpdater) limit(service string) int {
	slots, load, own := 0, 0, 0
	for _, s := range l.fleet.Usable(service) {
		slots += s.Slots
		load += s.Beat.Running + s.Beat.Waiting
		own += l.flight.get(s.Host.Name)
	}
	return AdmissionLimit(slots, l.gates(), load, own)
}

// AdmissionLimit is one gate's part of the slots, or what the other gates leave of them
// by the last heartbeats, whichever is more. So a gate that gets all requests
// can use all slots, and gates that are all busy share them. Load counts the
// requests at the upstreams and own those of this gate in flight.
func AdmissionLimit(slots, gates, load, own int) int {
	if gates <= 1 {
		return slots
	}
	return max((slots+gates-1)/gates, slots-max(0, load-own))
}
