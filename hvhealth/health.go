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
	// HostCount returns the number of hosts that are members now. Quarantine
	// never takes more than a quarter of it.
	HostCount func() int
}

const (
	tasksKept   = 8192
	hostsKept   = 4096
	resultsKept = 32
	// quarantineParts bounds the quarantine to one in this many hosts. A bad
	// job can look like many bad workers, so the rest stays in use.
	quarantineParts = 4
)

// Health implements hibiscusvane.Health. Each host and each task has a
// belief of being bad; every result moves both, and the belief about a task
// weighs the failures that a host had with it.
type Health struct {
	options Options

	mu    sync.Mutex
	hosts *lru.Cache[string, *worker]
	tasks *lru.Cache[string, *job]
	// quarantined is the number of hosts in quarantine.
	quarantined int
	racks       map[string][]*worker
	typical     typical
}

var _ hv.Health = (*Health)(nil)

// worker is what is known about a host.
type worker struct {
	name, rack string
	// results holds the latest result of each recent task, oldest first.
	results []result
	// odds is the logarithm of the odds that the host is bad.
	odds      float64
	succeeded time.Time
	probe     probe
}

type result struct {
	task string
	ok   bool
	time time.Time
}

// job is what is known about a task.
type job struct {
	succeeded bool
	// failed holds the last failure on each host.
	failed map[string]failure
}

type failure struct {
	time time.Time
	// success is when the host had last completed another task.
	success time.Time
}

// maxFailedHosts bounds the hosts that a task remembers.
const maxFailedHosts = 16

// New returns a Health without records.
func New(o Options) *Health {
	h := &Health{options: o, racks: map[string][]*worker{}, typical: typical{rate: minTaskRate}}
	h.hosts = newCache(hostsKept, func(_ string, w *worker) {
		h.leaveRack(w)
		if w.probe.active {
			h.quarantined--
		}
	})
	h.tasks = newCache[*job](tasksKept, nil)
	return h
}

func newCache[V any](size int, evicted func(string, V)) *lru.Cache[string, V] {
	c, err := lru.NewWithEvict(size, evicted)
	if err != nil {
		panic(err) // only for a size below 1
	}
	return c
}

// Record implements hibiscusvane.Health.
func (h *Health) Record(now time.Time, host, rack, task string, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	w := h.worker(host, rack)
	j := h.job(task)
	w.add(result{task, ok, now})
	j.note(now, w, ok)
	h.typical.update(now, h.hosts)
	h.judge(now, w)
	// The failure of a faulty task says nothing about a host under probe.
	if ok || !h.convinced(j) {
		w.probe.result(now, ok)
	}
	h.settle(w)
	// A new result of the task changes what its failures say about the other
	// hosts that it failed on.
	for name := range j.failed {
		if other, found := h.hosts.Peek(name); found && other != w {
			h.judge(now, other)
		}
	}
}

func (j *job) note(now time.Time, w *worker, ok bool) {
	_, known := j.failed[w.name]
	switch {
	case ok:
		w.succeeded, j.succeeded = now, true
	case known || len(j.failed) < maxFailedHosts:
		j.failed[w.name] = failure{now, w.succeeded}
	}
}

func (h *Health) worker(name, rack string) *worker {
	w, ok := h.hosts.Get(name)
	if !ok {
		w = &worker{name: name, odds: priorOdds}
		h.hosts.Add(name, w)
	}
	if w.rack != rack {
		h.leaveRack(w)
		w.rack = rack
		h.racks[rack] = append(h.racks[rack], w)
	}
	return w
}

func (h *Health) leaveRack(w *worker) {
	rest := slices.DeleteFunc(h.racks[w.rack], func(o *worker) bool { return o == w })
	if len(rest) == 0 {
		delete(h.racks, w.rack)
		return
	}
	h.racks[w.rack] = rest
}

func (h *Health) job(task string) *job {
	j, ok := h.tasks.Get(task)
	if !ok {
		j = &job{failed: map[string]failure{}}
		h.tasks.Add(task, j)
	}
	return j
}

func (w *worker) add(r result) {
	for i := range w.results {
		if w.results[i].task == r.task {
			w.results = append(w.results[:i], w.results[i+1:]...)
			break
		}
	}
	if len(w.results) == resultsKept {
		w.results = append(w.results[:0], w.results[1:]...)
	}
	w.results = append(w.results, r)
}

// Usable implements hibiscusvane.Health.
func (h *Health) Usable(now time.Time, host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	w, ok := h.hosts.Peek(host)
	return !ok || w.probe.usable(now)
}

// Suspect reports whether a host is believed to be bad. Not all suspect hosts
// are in quarantine, as the quarantine is bounded.
func (h *Health) Suspect(host string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	w, ok := h.hosts.Peek(host)
	return ok && (w.probe.active || w.odds > suspectOdds)
}

// Quarantined returns the number of hosts in quarantine.
func (h *Health) Quarantined() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.quarantined
}

// Forget drops what is known about a host, for one that was replaced.
func (h *Health) Forget(host string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hosts.Remove(host)
}
