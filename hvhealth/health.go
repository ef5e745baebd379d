// Package hvhealth tells bad workers from bad jobs by comparing the results of
// jobs across workers.
package hvhealth

import (
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	hv "hibiscusvane.example/hibiscusvane"
)

// Options are the dependencies of a Health.
type Options struct {
	// HostCount returns the current number of member hosts. At most a quarter
	// of them is quarantined.
	HostCount func() int
}

const (
	maxTasks   = 8192
	maxHosts   = 4096
	maxResults = 32
	// quarantineDivisor limits the quarantine to 1/quarantineDivisor of the
	// hosts. A bad job can look like many bad workers, so the rest stays in
	// use.
	quarantineDivisor = 4
)

// Health implements hibiscusvane.Health. It estimates the probability that each
// host and each task is bad. Every result updates both, and the failures of a
// host count less the likelier it is that the failed tasks are bad.
type Health struct {
	options Options

	mu    sync.Mutex
	hosts *lru.Cache[string, *hostState]
	tasks *lru.Cache[string, *taskState]
	// quarantined is the number of quarantined hosts.
	quarantined int
	racks       map[string][]*hostState
	median      medianRate
}

var _ hv.Health = (*Health)(nil)

// hostState is the recorded state of a host.
type hostState struct {
	name, rack string
	// results holds the latest result of each recent task, oldest first.
	results []result
	// logOdds is the logarithm of the odds that the host is bad.
	logOdds     float64
	lastSuccess time.Time
	quarantine  quarantine
}

type result struct {
	task string
	ok   bool
	time time.Time
}

// taskState is the recorded state of a task.
type taskState struct {
	succeeded bool
	// failures holds the last failure on each host.
	failures map[string]failure
}

type failure struct {
	time time.Time
	// lastSuccess is when the host had last completed another task.
	lastSuccess time.Time
}

// maxFailedHosts bounds the failed hosts that are recorded for a task.
const maxFailedHosts = 16

// New returns a Health without records.
func New(o Options) *Health {
	h := &Health{options: o, racks: map[string][]*hostState{}, median: medianRate{rate: minTaskRate}}
	h.hosts = newCache(maxHosts, func(_ string, hs *hostState) {
		h.removeFromRack(hs)
		if hs.quarantine.active {
			h.quarantined--
		}
	})
	h.tasks = newCache[*taskState](maxTasks, nil)
	return h
}

func newCache[V any](size int, evicted func(string, V)) *lru.Cache[string, V] {
	c, err := lru.NewWithEvict(size, evicted)
	if err != nil {
		panic(err) // fails only for a size below 1
	}
	return c
}

// Record implements hibiscusvane.Health.
func (h *Health) Record(now time.Time, host, rack, task string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hs := h.host(host, rack)
	ts := h.task(task)
	hs.addResult(result{task, ok, now})
	ts.record(now, hs, ok)
	h.median.update(now, h.hosts)
	h.updateHost(now, hs)
	// The failure of a faulty task says nothing about the host that is probed.
	if ok || !h.taskFaulty(ts) {
		hs.quarantine.record(now, ok)
	}
	h.endQuarantine(hs)
	// A new result of the task changes how its failures on other hosts count
	// against those hosts.
	for name := range ts.failures {
		if other, found := h.hosts.Peek(name); found && other != hs {
			h.updateHost(now, other)
		}
	}
}

func (ts *taskState) record(now time.Time, hs *hostState, ok bool) {
	_, known := ts.failures[hs.name]
	switch {
	case ok:
		hs.lastSuccess, ts.succeeded = now, true
	case known || len(ts.failures) < maxFailedHosts:
		ts.failures[hs.name] = failure{now, hs.lastSuccess}
	}
}

func (h *Health) host(name, rack string) *hostState {
	hs, ok := h.hosts.Get(name)
	if !ok {
		hs = &hostState{name: name, logOdds: priorLogOdds}
		h.hosts.Add(name, hs)
	}
	if hs.rack != rack {
		h.removeFromRack(hs)
		hs.rack = rack
		h.racks[rack] = append(h.racks[rack], hs)
	}
	return hs
}

func (h *Health) removeFromRack(hs *hostState) {
	rest := slices.DeleteFunc(h.racks[hs.rack], func(o *hostState) bool { return o == hs })
	if len(rest) == 0 {
		delete(h.racks, hs.rack)
		return
	}
	h.racks[hs.rack] = rest
}

func (h *Health) task(task string) *taskState {
	ts, ok := h.tasks.Get(task)
	if !ok {
		ts = &taskState{failures: map[string]failure{}}
		h.tasks.Add(task, ts)
	}
	return ts
}

func (hs *hostState) addResult(r result) {
	for i := range hs.results {
		if hs.results[i].task == r.task {
			hs.results = append(hs.results[:i], hs.results[i+1:]...)
			break
		}
	}
	if len(hs.results) == maxResults {
		hs.results = append(hs.results[:0], hs.results[1:]...)
	}
	hs.results = append(hs.results, r)
}

// Usable implements hibiscusvane.Health.
func (h *Health) Usable(now time.Time, host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	hs, ok := h.hosts.Peek(host)
	return !ok || hs.quarantine.usable(now)
}

// Suspect reports whether a host is probably bad. Not every suspect host is
// quarantined, as the size of the quarantine is limited.
func (h *Health) Suspect(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	hs, ok := h.hosts.Peek(host)
	return ok && (hs.quarantine.active || hs.logOdds > suspectLogOdds)
}

// Quarantined returns the number of quarantined hosts.
func (h *Health) Quarantined() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quarantined
}

// Forget drops the state of a host, for one that was replaced.
func (h *Health) Forget(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts.Remove(host)
}
