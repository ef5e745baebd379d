package hvdispatch

import (
	"context"
	"time"

	"hibiscusvane.example/hibiscusvane/hvmember"
)

// refreshInterval is the interval between updates of the admission limits.
const refreshInterval = 100 * time.Millisecond

// Limiter receives the number of requests of a service that may run at a time.
type Limiter interface {
	SetLimit(service string, slots int)
}

// Fleet lists all live sides and the usable sides of a service;
// *hvmember.Table implements it.
type Fleet interface {
	Alive() []hvmember.Side
	Usable(service string) []*hvmember.Side
}

// LimitUpdater updates the admission limits of services from their live slots.
type LimitUpdater struct {
	fleet       Fleet
	gates       func() int
	limiter     Limiter
	services    map[string]bool
	outstanding *hostCounts
}

// NewLimitUpdater returns an updater of limits that accounts for the requests
// that the dispatcher has in flight. The function gates returns the number of
// live gates, including this one.
func (d *Dispatcher) NewLimitUpdater(fleet Fleet, gates func() int, limiter Limiter) *LimitUpdater {
	return &LimitUpdater{fleet: fleet, gates: gates, limiter: limiter, services: map[string]bool{}, outstanding: d.outstanding}
}

// Run updates the limits periodically until ctx ends.
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

// Refresh updates the limits once. It must not be called while Run is active.
func (l *LimitUpdater) Refresh() {
	current := map[string]bool{}
	for _, s := range l.fleet.Alive() {
		if s.Service != "" {
			current[s.Service] = true
		}
	}
	for service := range l.services {
		if !current[service] {
			l.limiter.SetLimit(service, 0)
		}
	}
	for service := range current {
		l.limiter.SetLimit(service, l.limit(service))
	}
	l.services = current
}

func (l *LimitUpdater) limit(service string) int {
	slots, reported, outstanding := 0, 0, 0
	for _, s := range l.fleet.Usable(service) {
		slots += s.Slots
		reported += s.Heartbeat.Running + s.Heartbeat.Waiting
		outstanding += l.outstanding.get(s.Host.Name)
	}
	return AdmissionLimit(slots, l.gates(), reported, outstanding)
}

// AdmissionLimit returns the number of requests that one gate may run at a time:
// its equal part of the slots or, if that is more, the slots that the other
// gates leave unused according to the last heartbeats. So a gate that gets all
// requests can use all slots, and gates that are all busy share them. reported
// is the number of requests that the upstreams report, and outstanding is the
// number that this gate has in flight.
func AdmissionLimit(slots, gates, reported, outstanding int) int {
	if gates <= 1 {
		return slots
	}
	return max((slots+gates-1)/gates, slots-max(0, reported-outstanding))
}
