package hvcell

import (
	"time"

	"github.com/go-kit/log/level"
)

// loadInterval is the interval at which the load of best-effort work is measured and
// logged.
const loadInterval = 5 * time.Second

// BestEffortLoad describes the processors for best-effort tasks on all hosts, in
// thousandths of a processor.
type BestEffortLoad struct {
	// Needed is what the running tasks need, and Granted what of it the present CPU shares
	// leave them. Unused is what all other tasks leave.
	Needed, Granted, Unused int64
	// Throttled counts the hosts with best-effort tasks and a share below throttledShare.
	Throttled int64
}

// BestEffortLoad returns the load of best-effort work when it was last measured.
func (c *Cell) BestEffortLoad() BestEffortLoad { return c.load }

// measureBestEffortLoad returns the current load of best-effort work.
func (c *Cell) measureBestEffortLoad() BestEffortLoad {
	var out BestEffortLoad
	for _, h := range c.hosts {
		out.Needed += h.bestEffortCPU
		out.Granted += c.grantedCPU(h)
		out.Unused += max(h.unusedCPU(), 0)
		if h.bestEffortCPU > 0 && h.cpuShare < throttledShare {
			out.Throttled++
		}
	}
	return out
}

// grantedCPU returns the processors that the best-effort tasks of a host get if only those
// that interfere with its services are throttled.
func (c *Cell) grantedCPU(h *host) int64 {
	if h.cpuShare == fullShare {
		return h.bestEffortCPU
	}
	interfering, sum := c.effects(h), int64(0)
	for _, b := range h.bestEffort {
		if _, ok := interfering[b.image]; ok {
			sum += b.cpu * int64(h.cpuShare) / fullShare
		} else {
			sum += b.cpu
		}
	}
	return sum
}

// updateBestEffortLoad measures the load of best-effort work, and logs it with when the
// rounds with such work can be complete.
func (c *Cell) updateBestEffortLoad(now time.Time) {
	if now.Sub(c.loadMeasured) < loadInterval {
		return
	}
	c.load, c.loadMeasured = c.measureBestEffortLoad(), now
	l := c.load
	if l.Needed == 0 {
		return
	}
	rounds, waiting := map[usefulness]int{}, 0
	for _, j := range c.jobs {
		for _, r := range j.rounds {
			if r.hasBestEffort() {
				rounds[c.usefulness(now, r)]++
				waiting += r.readyTasks()
			}
		}
	}
	_ = level.Info(c.options.Logger).Log("msg", "load of best-effort work", "needed", l.Needed, "granted", l.Granted, "unused", l.Unused, "throttled", l.Throttled, "waiting", waiting, "intime", rounds[usefulInTime], "late", rounds[usefulLate], "useless", rounds[notUseful])
}

// readyTasks returns the number of waiting tasks whose predecessors are done.
func (r *round) readyTasks() int {
	sum := 0
	for _, s := range r.steps {
		if s.ready {
			sum += s.waiting
		}
	}
	return sum
}
