package hvmeasure

import (
	"math/rand/v2"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// program holds the actual properties of a batch program. The decision code
// does not see them.
type program struct {
	name string
	// slowdown is the added slowdown of each service on a host whose processors
	// are all used by the program.
	slowdown map[string]float64
	// runtimeFactor and sizeFactor are the ratios of actual to declared values.
	runtimeFactor, sizeFactor float64
}

func programs() []program {
	return []program{
		{"report", map[string]float64{"label": 0.1, "audit": 0.8}, 1, 1},
		{"scan", map[string]float64{"label": 0.2, "audit": 0.2}, 1, 1},
		{"encode", map[string]float64{"label": 0.5, "audit": 0.1}, 1, 1},
		{"index", map[string]float64{"label": 1.2, "audit": 0.4}, 1, 1},
	}
}

// runningTask is a task on a host.
type runningTask struct {
	hv.RunningAttempt
	program         *program
	remaining       time.Duration // remaining run time at full CPU share
	total           time.Duration
	coreSeconds     float64 // completed
	checkpointed    float64 // core-seconds at the last checkpoint
	sinceCheckpoint time.Duration
}

// host is a fake worker host with its upstreams.
type host struct {
	hv.Host
	up        bool
	broken    bool
	tasks     []*runningTask
	upstreams []*upstream
	share     int
	reports   []loadReport
}

// loadReport is a measurement of one service on a host, which is delivered
// with a delay of reportLag.
type loadReport struct {
	time     time.Time
	service  string
	slowdown float64
	share    int
}

const (
	// Each upstream is allocated 3 cores and 6 GB.
	serviceProcessors  = 3000
	serviceMemory      = 6 * hv.GB
	checkpointInterval = 60 * time.Second
)

func newFleet(d Deployment, random *rand.Rand) []*host {
	var fleet []*host
	for i, h := range d.hosts() {
		f := &host{Host: h, up: true, share: 1000}
		f.upstreams = append(f.upstreams, &upstream{service: "label", random: random})
		if i%2 == 1 {
			f.upstreams = append(f.upstreams, &upstream{service: "audit", random: random})
		}
		fleet = append(fleet, f)
	}
	return fleet
}

func (h *host) committed() hv.Resources {
	n := int64(len(h.upstreams))
	total := hv.Resources{Processors: n * serviceProcessors, Memory: hv.Size(n) * serviceMemory}
	for _, r := range h.tasks {
		total = total.Add(r.Committed)
	}
	return total
}

// used returns the resources that the tasks and upstreams of the host actually
// use.
func (h *host) used() hv.Resources {
	n := int64(len(h.upstreams))
	total := hv.Resources{Processors: n * serviceProcessors, Memory: hv.Size(n) * serviceMemory}
	for _, r := range h.tasks {
		total = total.Add(r.use())
	}
	return total
}

func (r *runningTask) use() hv.Resources {
	return hv.Resources{
		Processors: int64(float64(r.Task.Need.Processors) * r.program.sizeFactor * float64(r.Share) / 1000),
		Memory:     hv.Size(float64(r.Task.Need.Memory) * r.program.sizeFactor),
	}
}

// overcommit returns the ratio of used processors to the host's processors, at
// least 1.
func (h *host) overcommit() float64 {
	return max(1, float64(h.used().Processors)/float64(h.Capacity.Processors))
}

// slowdown returns the actual interference with a service: it depends on the
// pair of service and program, and grows with the load of the service.
func (h *host) slowdown(service string, load float64) float64 {
	total := 1.0
	for _, r := range h.tasks {
		cores := float64(r.use().Processors) / float64(h.Capacity.Processors)
		total += r.program.slowdown[service] * cores * (0.6 + 0.8*load)
	}
	return total * h.overcommit()
}

func (h *host) view(variant *variant, now time.Time) hv.HostView {
	v := hv.HostView{
		Host: h.Host, Committed: h.committed(), Programs: map[string]int{}, Share: h.share,
		Suspect: variant.suspect(h.Name), Usable: variant.health.Usable(now, h.Name),
	}
	for _, u := range h.upstreams {
		v.Services = append(v.Services, u.service)
	}
	for _, r := range h.tasks {
		v.Programs[r.Task.Program]++
	}
	return v
}
