// Package hvmeasure compares the policies with their baselines in simulations
// with fake hosts and upstreams and an injected clock.
package hvmeasure

import (
	"fmt"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// Deployment describes one operator's fleet: its preference and the capacity
// of each host.
type Deployment struct {
	Name         string
	Prefer       hv.Preference
	HostCapacity hv.Resources
}

const (
	hostCount    = 11
	hostsPerRack = 3
	zoneCount    = 4
)

// Deployments are those of the two operators in docs/design.md.
var Deployments = []Deployment{
	{"Foundation", hv.Throughput, hv.Resources{Processors: 16000, Memory: 60 * hv.GB}},
	{"Commission", hv.Latency, hv.Resources{Processors: 32000, Memory: 125 * hv.GB}},
}

// hosts returns the hosts of the deployment. All hosts of a rack are in one
// zone.
func (d Deployment) hosts() []hv.Host {
	hosts := make([]hv.Host, hostCount)
	for i := range hosts {
		rack := i / hostsPerRack
		hosts[i] = hv.Host{
			Name:     fmt.Sprintf("host-%02d", i),
			Rack:     fmt.Sprintf("rack-%d", rack),
			Zone:     fmt.Sprintf("zone-%d", rack%zoneCount),
			Capacity: d.HostCapacity,
		}
	}
	return hosts
}

// manualClock is a clock that the simulation advances.
type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }
