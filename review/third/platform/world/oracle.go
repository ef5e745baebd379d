package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// jobRecord is what the clients know of a job, and what the minions saw of it.
type jobRecord struct {
	id        string
	spec      string
	steps     []map[string]any
	times     int
	first     int64
	interval  int64
	accepted  time.Time
	cancelled time.Time
	// deleteStatus is the status of the response to the DELETE, at cancelled.
	deleteStatus int
}

type liveRun struct {
	minion *minion
	task   string
	run    int
	since  time.Time
}

// oracle checks the rules on what clients and minions see.
type oracle struct {
	world *world

	mu       sync.Mutex
	jobs     map[string]*jobRecord
	live     map[string][]liveRun
	failed   map[string]int
	seenFail map[string]int
	done     map[string]bool
	seenDone map[string]bool
	starts   map[string]int
	broken   []string
}

func newOracle(w *world) *oracle {
	return &oracle{world: w, jobs: map[string]*jobRecord{}, live: map[string][]liveRun{}, failed: map[string]int{}, seenFail: map[string]int{}, done: map[string]bool{}, seenDone: map[string]bool{}, starts: map[string]int{}}
}

// breaks records a broken rule. The lock is held.
func (o *oracle) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	o.broken = append(o.broken, text)
	o.world.event("BROKEN %s", text)
}

func (o *oracle) add(j *jobRecord) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jobs[j.id] = j
}

func (o *oracle) failures(task string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.failed[task]
}

func (o *oracle) started(m *minion, task string, run int, spec, saved string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.world.event("minion %s starts %s run %d", m.id, task, run)
	o.starts[task]++
	parts := strings.Split(task, ".")
	j := o.jobs[parts[0]]
	if j == nil {
		o.breaks("UNASKED: %s belongs to no job", task)
		return
	}
	if spec != j.spec {
		o.breaks("UNASKED: %s has another spec", task)
	}
	if saved != "" && saved[8:] != task && !strings.Contains(j.spec, "gang") {
		o.breaks("UNASKED: %s resumes from %s", task, saved)
	}
	step, _ := strconv.Atoi(parts[2])
	round, _ := strconv.Atoi(parts[1])
	spec2 := j.steps[step]
	for _, l := range o.live[task] {
		o.breaks("TWICE: %s run %d starts on %s while run %d is on %s since %v", task, run, m.id, l.run, l.minion.id, time.Since(l.since))
	}
	if o.seenDone[task] {
		o.breaks("TWICE: %s run %d starts on %s after a seen end done", task, run, m.id)
	}
	if n, ok := spec2["max"].(int); ok && o.seenFail[task] >= n {
		o.breaks("BUDGET: %s run %d after %d failed", task, run, o.seenFail[task])
	}
	if after, ok := spec2["after"].([]int); ok {
		for _, a := range after {
			count := j.steps[a]["count"].(int)
			for i := range count {
				name := fmt.Sprintf("%s.%s.%d.%d", parts[0], parts[1], a, i)
				if !o.done[name] && !(j.steps[a]["gang"] == true && o.done[fmt.Sprintf("%s.%s.%d", parts[0], parts[1], a)]) {
					o.breaks("ORDER: %s starts before %s", task, name)
					break
				}
			}
		}
	}
	if j.times > 0 {
		due := j.first + int64(round)*j.interval
		if early := due - time.Now().UnixMilli(); early > 250 {
			o.breaks("ORDER: %s starts %d ms early", task, early)
		}
	}
	if label, ok := spec2["requires"].(string); ok {
		found := false
		for _, l := range m.labels {
			found = found || l == label
		}
		if !found {
			o.breaks("ROUTE: %s starts on %s without label %s", task, m.id, label)
		}
	}
	if n, ok := spec2["anti_affinity"].(int); ok {
		same := 1
		prefix := strings.Join(parts[:3], ".") + "."
		for name, list := range o.live {
			for _, l := range list {
				if l.minion == m && strings.HasPrefix(name, prefix) {
					same++
				}
			}
		}
		if same > n {
			o.breaks("ROUTE: %s starts on %s beside %d of its step", task, m.id, same-1)
		}
	}
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelBound {
		o.breaks("UNASKED: %s starts %v after DELETE was answered with %d", task, time.Since(j.cancelled).Round(time.Millisecond), j.deleteStatus)
	}
	if !m.guards {
		if used := m.used(); used > m.room {
			o.breaks("LIMIT: %s brings %s to %d of %d", task, m.id, used, m.room)
		}
	}
	o.live[task] = append(o.live[task], liveRun{m, task, run, time.Now()})
}

func (o *oracle) ended(m *minion, task string, run int, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.world.event("minion %s ends %s run %d: %s", m.id, task, run, how)
	list := o.live[task]
	for i, l := range list {
		if l.minion == m && l.run == run {
			o.live[task] = append(list[:i:i], list[i+1:]...)
			break
		}
	}
	switch how {
	case "done":
		o.done[task] = true
		parts := strings.Split(task, ".")
		if j := o.jobs[parts[0]]; j != nil {
			step, _ := strconv.Atoi(parts[2])
			if j.steps[step]["gang"] == true {
				o.done[strings.Join(parts[:3], ".")] = true
			}
		}
	case "failed":
		o.failed[task]++
	}
}

func (o *oracle) seen(e minionEnd) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch e.how {
	case "done":
		o.seenDone[e.task] = true
	case "failed":
		o.seenFail[e.task]++
	}
}

func (o *oracle) runsOf(id string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for task, list := range o.live {
		if strings.HasPrefix(task, id+".") {
			n += len(list)
		}
	}
	return n
}

// isNoted reports whether the end done of a task was acknowledged.
func (o *oracle) isNoted(task string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.seenDone[task]
}
