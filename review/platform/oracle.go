package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// earlyTime is early_ms, and cancelTime is cancel_ms.
const (
	earlyTime  = 250 * time.Millisecond
	cancelTime = 3 * time.Second
)

// oracle checks what clients and minions see against the rules.
type oracle struct {
	bed *bed

	mu      sync.Mutex
	began   time.Time
	record  *os.File
	jobs    map[string]*job
	running map[string]map[string]*seenRun
	acked   map[string]bool
	history map[string][]string
	saved   map[string]savedState
	breaks  []string
}

type seenRun struct {
	minion *minion
	run    *taskRun
}

type savedState struct {
	scope string
	work  time.Duration
}

func newOracle(b *bed, record *os.File) *oracle {
	return &oracle{bed: b, began: time.Now(), record: record, jobs: map[string]*job{}, running: map[string]map[string]*seenRun{}, acked: map[string]bool{}, history: map[string][]string{}, saved: map[string]savedState{}}
}

func (o *oracle) write(format string, args ...any) {
	fmt.Fprintf(o.record, "%8.3f %s\n", time.Since(o.began).Seconds(), fmt.Sprintf(format, args...))
}

func (o *oracle) note(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write(format, args...)
}

func (o *oracle) broke(rule, format string, args ...any) {
	text := rule + ": " + fmt.Sprintf(format, args...)
	o.breaks = append(o.breaks, text)
	o.write("RULE BROKEN %s", text)
}

func (o *oracle) jobOf(id string) *job {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.jobs[id]
}

func (o *oracle) scope(r *taskRun) string {
	if r.isGang() {
		return fmt.Sprintf("%s.%d.%d", r.id.job, r.id.round, r.id.step)
	}
	return r.task
}

func (o *oracle) save(r *taskRun, w time.Duration) string {
	scope := o.scope(r)
	text := fmt.Sprintf("%x-%s", w.Milliseconds(), scope)
	if o.bed.savedBytes > len(text) {
		text += fmt.Sprintf("-%0*d", o.bed.savedBytes-len(text)-1, 0)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.saved[text] = savedState{scope, w}
	return text
}

func (o *oracle) savedWork(text string) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.saved[text].work
}

// starting checks a start.
func (o *oracle) starting(m *minion, r *taskRun, order order, over bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write("start %s run %d on %s token %d", r.task, r.number, m.name, order.FencingToken)
	o.history[r.task] = append(o.history[r.task], fmt.Sprintf("%.3f start run %d on %s token %d", time.Since(o.began).Seconds(), r.number, m.name, order.FencingToken))
	if over {
		o.broke("LIMIT", "%s run %d on %s is beyond its room", r.task, r.number, m.name)
	}
	if m.moved.Load() {
		o.broke("CONFIG", "%s run %d starts on %s of the old service", r.task, r.number, m.name)
	}
	j := r.job
	if j == nil || r.id.step >= len(j.Steps) || r.id.index >= j.Steps[r.id.step].Count || r.id.round >= j.rounds() {
		o.broke("UNASKED", "%s was not sent by a client", r.task)
		return
	}
	s := j.Steps[r.id.step]
	if order.Spec != j.Spec {
		o.broke("UNASKED", "%s has another spec", r.task)
	}
	if order.Saved != "" && o.saved[order.Saved].scope != o.scope(r) {
		o.broke("UNASKED", "%s got a saved state that is not its own: %q", r.task, order.Saved)
	}
	if !j.cancelAcked.IsZero() && time.Since(j.cancelAcked) > cancelTime {
		o.broke("UNASKED", "%s starts %v after the cancelling was acknowledged", r.task, time.Since(j.cancelAcked))
	}
	if o.acked[r.task] && !s.Speculative {
		o.broke("TWICE", "%s run %d on %s starts after its end was noted: %v", r.task, r.number, m.name, o.history[r.task])
	}
	for _, other := range o.running[r.task] {
		if !s.Speculative {
			o.broke("TWICE", "%s run %d on %s starts while run %d runs on %s: %v", r.task, r.number, m.name, other.run.number, other.minion.name, o.history[r.task])
		}
	}
	if o.running[r.task] == nil {
		o.running[r.task] = map[string]*seenRun{}
	}
	o.running[r.task][m.name] = &seenRun{m, r}
	for _, a := range s.After {
		for i := range j.Steps[a].Count {
			if id := (taskID{r.id.job, r.id.round, a, i}); !j.done[id.String()] {
				o.broke("ORDER", "%s starts before %s is done", r.task, id)
				break
			}
		}
	}
	if j.Times > 0 {
		due := time.UnixMilli(j.InitialDelayMS + int64(r.id.round)*j.IntervalMS)
		if early := time.Until(due); early > earlyTime {
			o.broke("ORDER", "%s starts %v early", r.task, early)
		}
	}
	if s.Requires != "" && !contains(m.labels, s.Requires) {
		o.broke("ROUTE", "%s runs on %s without the label %s", r.task, m.name, s.Requires)
	}
	if s.AntiAffinity > 0 {
		n := 0
		for i := range s.Count {
			if _, ok := o.running[taskID{r.id.job, r.id.round, r.id.step, i}.String()][m.name]; ok {
				n++
			}
		}
		if n > s.AntiAffinity {
			o.broke("ROUTE", "%d tasks of the step of %s on %s, at most %d may be", n, r.task, m.name, s.AntiAffinity)
		}
	}
	if n := j.noted[r.task]; !s.Perpetual && !s.Speculative && n >= maxAttempts {
		o.broke("BUDGET", "%s starts after %d failed runs", r.task, n)
	}
}

// ended records the end of a run.
func (o *oracle) ended(m *minion, r *taskRun, how string) {
	o.bed.gangs.leave(r, how)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.write("end %s run %d on %s: %s", r.task, r.number, m.name, how)
	o.history[r.task] = append(o.history[r.task], fmt.Sprintf("%.3f end run %d on %s %s", time.Since(o.began).Seconds(), r.number, m.name, how))
	delete(o.running[r.task], m.name)
	j := r.job
	if j == nil {
		return
	}
	if how == "done" && !r.step().Perpetual {
		j.done[r.task] = true
		if r.isGang() {
			// One such end represents all of them.
			for i := range r.step().Count {
				j.done[taskID{r.id.job, r.id.round, r.id.step, i}.String()] = true
			}
		}
	}
	if how == "failed" {
		key := r.task
		if r.isGang() {
			key = o.scope(r)
		}
		if j.failures[key] == nil {
			j.failures[key] = map[int]bool{}
		}
		j.failures[key][r.number] = true
	}
}

// acknowledged records that an end was taken note of.
func (o *oracle) acknowledged(m *minion, e runEnd, lapsed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	id, err := parseTask(e.task)
	if err != nil || lapsed {
		return
	}
	if j := o.jobs[id.job]; j != nil && e.how == "failed" {
		j.noted[e.task]++
	}
	if e.how != "done" {
		return
	}
	if j := o.jobs[id.job]; j != nil && !j.Steps[id.step].Perpetual {
		o.acked[e.task] = true
	}
}

func contains(list []string, s string) bool {
	for _, l := range list {
		if l == s {
			return true
		}
	}
	return false
}

// runningTasks counts the tasks of a job that run.
func (o *oracle) runningTasks(j *job) int {
	n := 0
	for i, s := range j.Steps {
		for k := range s.Count {
			for round := range j.rounds() {
				n += min(len(o.running[taskID{j.id, round, i, k}.String()]), 1)
			}
		}
	}
	return n
}
