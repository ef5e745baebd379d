package main

import (
	"errors"
	"fmt"
	"syscall"
	"time"
)

const (
	watcherMinions = 4
	// watcherRuns is how often the task runs and fails before the owner is killed, and
	// watcherLimit how long that may take.
	watcherRuns  = 1500
	watcherLimit = 70 * time.Second
	// repairDelay is the time from the kill until the runs of the watcher no longer fail, and
	// restartDelay that until the platform starts the gate again.
	repairDelay  = 2 * time.Second
	restartDelay = 500 * time.Millisecond
	// judgedAfter is the time after the repair from which the watcher is judged: it counts
	// from 6 s after the last run, and 4 s without a disruption. watchedFor is how long.
	judgedAfter = 8 * time.Second
	watchedFor  = 12 * time.Second
	// idleLimit is how long a job may have nothing running while there is capacity for it.
	idleLimit = 3 * time.Second
)

// faultyWatcher lets a task that lasts fail shortly after each start for a while, and kills
// the gate that owns the cell before its runs succeed again.
func faultyWatcher(bin string, rec *recorder, trouble, keep bool) (string, error) {
	b, err := newBed(bin, rec, 2, watcherMinions, amount{32000, 128000})
	if b != nil {
		defer func() { b.stop(keep) }()
	}
	if err != nil {
		return "", err
	}
	if err := b.waitServing(); err != nil {
		return "", err
	}
	const id = "5c0e7a21d94b36f8"
	b.failing.Store(true)
	if !b.submit(id, "watch", step{Count: 1, CPU: 6400, MemMB: 13000, Estimate: 500, Lasts: true}) {
		return "", errors.New("the job was not accepted")
	}
	for deadline := time.Now().Add(watcherLimit); len(rec.of(id)) < watcherRuns; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", fmt.Errorf("the task ran %d times in %v, not %d times", len(rec.of(id)), watcherLimit, watcherRuns)
		}
	}
	if trouble {
		owner, err := b.ownerGate()
		if err != nil {
			return "", err
		}
		rec.log("%s is killed", owner.name)
		owner.signal(syscall.SIGKILL)
		_ = owner.cmd.Wait()
		time.Sleep(restartDelay)
		if err := owner.start(); err != nil {
			return "", err
		}
		rec.log("%s starts again", owner.name)
	}
	time.Sleep(repairDelay)
	b.failing.Store(false)
	rec.log("runs of the watcher no longer fail")
	time.Sleep(judgedAfter)
	began, idle := time.Now(), time.Duration(0)
	for time.Since(began) < watchedFor {
		if b.running(id) > 0 {
			idle = 0
		} else {
			idle += 100 * time.Millisecond
		}
		if idle > idleLimit {
			state := b.state(id)
			runs := rec.of(id)
			last := runs[len(runs)-1]
			return fmt.Sprintf("the task of job %s (%s), which lasts, has not run for %v; all minions are idle", id, state, time.Since(last.ended).Round(100*time.Millisecond)), nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return "", nil
}
