package hvmeasure

import (
	"math/rand/v2"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

// program is the truth about a batch program; the decision code sees none of
// it.
type program struct {
	name string
	// harm is the stretch of each service beside a host full of the program.
	harm map[string]float64
	// runtime and size are the factors between actual and declared values.
	runtime, size float64
}

func programs() []program {
	return []program{
		{"report", map[string]float64{"label": 0.1, "audit": 0.8}, 1, 1},
		{"scan", map[string]float64{"label": 0.2, "audit": 0.2}, 1, 1},
		{"encode", map[string]float64{"label": 0.5, "audit": 0.1}, 1, 1},
		{"index", map[string]float64{"label": 1.2, "audit": 0.4}, 1, 1},
	}
}

// running is a task on a host.
type running struct {
	hv.RunningAttempt
	truth      *program
	left       time.Duration // run time that remains at full share
	total      time.Duration
	work       float64 // core-seconds done
	checkpoint float64 // work at the last checkpoint
	since      time.Duration
}

// host is the fake of a worker host with its upstreams.
type host struct {
	hv.Host
	up        bool
	broken    bool
	tasks     []*running
	upstreams []*upstream
	share     int
	reports   []report
}

// report is a lagging observation of one host.
type report struct {
	time     time.Time
	service  string
	slowdown float64
	share    int
}

const (
	// Each upstream commits 3 cores and 6 GB.
	serviceProcessors = 3000
	serviceMemory     = 6 * hv.GB
	checkpointEvery   = 60 * time.Second
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
	sum := hv.Resources{Processors: n * serviceProcessors, Memory: hv.Size(n) * serviceMemory}
	for _, r := range h.tasks {
		sum = sum.Add(r.Committed)
	}
	return sum
}

// used is what the tasks and upstreams of the host really use.
func (h *host) used() hv.Resources {
	n := int64(len(h.upstreams))
	sum := hv.Resources{Processors: n * serviceProcessors, Memory: hv.Size(n) * serviceMemory}
	for _, r := range h.tasks {
		sum = sum.Add(r.use())
	}
	return sum
}

func (r *running) use() hv.Resources {
	return hv.Resources{
		Processors: int64(float64(r.Task.Need.Processors) * r.truth.size * float64(r.Share) / 1000),
		Memory:     hv.Size(float64(r.Task.Need.Memory) * r.truth.size),
	}
}

// pressure is by how much the used processors exceed the host's.
func (h *host) pressure() float64 {
	return max(1, float64(h.used().Processors)/float64(h.Capacity.Processors))
}

// stretch is the truth about interference: it depends on the pair and grows
// with the load.
func (h *host) stretch(service string, load float64) float64 {
	sum := 1.0
	for _, r := range h.tasks {
		cores := float64(r.use().Processors) / float64(h.Capacity.Processors)
		sum += r.truth.harm[service] * cores * (0.6 + 0.8*load)
	}
	return sum * h.pressure()
}

func (h *host) view(a *arm, now time.Time) hv.HostView {
	v := hv.HostView{
		Host: h.Host, Committed: h.committed(), Programs: map[string]int{}, Share: h.share,
		Suspect: a.suspect(h.Name), Usable: a.health.Usable(now, h.Name),
	}
	for _, u := range h.upstreams {
		v.Services = append(v.Services, u.service)
	}
	for _, r := range h.tasks {
		v.Programs[r.Task.Program]++
	}
	return v
}
