package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// wideJobs and wideTasks are the jobs that only one of the minions may run and their tasks.
	wideJobs  = 40
	wideTasks = 32
	// crashes is the number of minions that crash, one after the other, each for crashTime.
	crashes   = 2
	crashTime = time.Second
	// finishTime is finish_s, and idleBound how long a job may have nothing running then.
	finishTime = 14 * time.Second
	idleBound  = 3 * time.Second
)

// suspectedJob crashes two minions shortly after they have started the same task, while tasks
// wait that only another minion may run.
func suspectedJob(trouble bool) ([]string, error) {
	const sides = 8
	w, err := newWorld(options{gates: 3, sides: sides, guards: true, room: 16000, catalog: catalog, labels: func(i int) []string {
		if i == sides-1 {
			return []string{"c", "r1-3"}
		}
		return []string{"a", fmt.Sprintf("r1-%d", i/3+1)}
	}})
	if w != nil {
		defer w.stop()
	}
	if err != nil {
		return nil, err
	}
	for g := range w.gates {
		if err := w.ready(g); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	for i := range wideJobs {
		err := w.handIn(&jobRecord{id: fmt.Sprintf("77777777000000%02x", i), spec: "ms=3000 cpu=1000", steps: []map[string]any{{"count": wideTasks, "cpu": 1000, "mem_mb": 64, "estimate_ms": 3000, "requires": "c"}}})
		if err != nil {
			return nil, err
		}
	}
	// The job has steps of 2.1 s, one after the other, so that the last one begins shortly
	// before finishTime.
	const earlier = 6
	j := &jobRecord{id: "5c0e7a21d94b36f8", spec: "ms=2100 cpu=1000"}
	for i := range earlier + 1 {
		step := map[string]any{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 2100}
		if i > 0 {
			step["after"] = []int{i - 1}
		}
		j.steps = append(j.steps, step)
	}
	if err := w.handIn(j); err != nil {
		return nil, err
	}
	last := time.Now()
	name := fmt.Sprintf("%s.0.%d.", j.id, earlier)
	if w.awaitRun(name, finishTime) == nil {
		return nil, fmt.Errorf("the last step does not start")
	}
	for range crashes {
		if !trouble {
			break
		}
		m := w.awaitRun(name, time.Second)
		if m == nil {
			return nil, fmt.Errorf("the task has not started again after a crash")
		}
		time.Sleep(100 * time.Millisecond)
		m.crash()
		time.AfterFunc(crashTime, func() { _ = m.start() })
	}
	w.awaitRun(name, 25*time.Second)
	idle := time.Since(last) - finishTime
	w.event("%v after finish_s the task runs", idle)
	if idle > idleBound {
		_, state := w.client(1, http.MethodGet, j.id, nil, 3*time.Second)
		w.oracle.mu.Lock()
		w.oracle.breaks("LOST: from finish_s on job %s had nothing running for %v, with %d idle minions; its state is %q", j.id, idle.Round(10*time.Millisecond), sides-1, state)
		w.oracle.mu.Unlock()
	}
	return w.oracle.broken, nil
}

// handIn hands a job in at the first gate.
func (w *world) handIn(j *jobRecord) error {
	w.oracle.add(j)
	if status, _ := w.client(0, http.MethodPost, j.id, j.body(), 3*time.Second); status != http.StatusOK {
		return fmt.Errorf("job %s was answered with %d", j.id, status)
	}
	return nil
}

// awaitRun returns the minion on which a task runs whose name has a prefix, or nil if there is
// none in time.
func (w *world) awaitRun(prefix string, limit time.Duration) *minion {
	for end := time.Now().Add(limit); ; time.Sleep(5 * time.Millisecond) {
		for _, m := range w.minions {
			if m.runsTask(prefix) {
				return m
			}
		}
		if time.Now().After(end) {
			return nil
		}
	}
}
