package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run, and keeps the runs for the check.
type recorder struct {
	mu    sync.Mutex
	w     io.Writer
	began time.Time
	// verbose adds the lines of debug.
	verbose bool
	runs    []*runRecord
}

// runRecord is a run as its minion saw it.
type runRecord struct {
	minion, task, spec string
	run                int
	started, ended     time.Time
	how                string
	seen               bool
}

func newRecorder(w io.Writer) *recorder { return &recorder{w: w, began: time.Now()} }

func (r *recorder) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked(format, args...)
}

func (r *recorder) logLocked(format string, args ...any) {
	fmt.Fprintf(r.w, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) debug(format string, args ...any) {
	if r.verbose {
		r.log(format, args...)
	}
}

func (r *recorder) started(minion, task string, run int, spec string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, &runRecord{minion: minion, task: task, run: run, spec: spec, started: time.Now()})
	r.logLocked("run %s %d starts on %s", task, run, minion)
}

func (r *recorder) ended(minion, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked("run %s %d ends on %s: %s", task, run, minion, how)
	if k := r.find(minion, task, run); k != nil && k.how == "" {
		k.ended, k.how = time.Now(), how
	}
}

func (r *recorder) seen(minion, task string, run int, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.logLocked("end of %s %d on %s is acknowledged: %s", task, run, minion, how)
	if k := r.find(minion, task, run); k != nil {
		k.seen = true
	}
}

// find returns the last record of a run. The lock is held.
func (r *recorder) find(minion, task string, run int) *runRecord {
	for i := len(r.runs) - 1; i >= 0; i-- {
		if k := r.runs[i]; k.minion == minion && k.task == task && k.run == run {
			return k
		}
	}
	return nil
}

// of returns copies of the runs of a job.
func (r *recorder) of(job string) []runRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []runRecord
	for _, k := range r.runs {
		if strings.HasPrefix(k.task, job+".") {
			out = append(out, *k)
		}
	}
	return out
}

// needs holds what tasks need, by job and step.
type needs struct {
	mu sync.Mutex
	by map[string]amount
}

func newNeeds() *needs { return &needs{by: map[string]amount{}} }

func (n *needs) set(job string, step int, a amount) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.by[fmt.Sprintf("%s.%d", job, step)] = a
}

// of returns what a task needs, by its name JOB.ROUND.STEP.INDEX.
func (n *needs) of(task string) amount {
	n.mu.Lock()
	defer n.mu.Unlock()
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return amount{}
	}
	return n.by[parts[0]+"."+parts[2]]
}
