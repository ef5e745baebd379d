package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	lateMinions = 8
	// lateDelay is how much later the start arrives that gets no response. The minion crashes
	// lateCrash after the run began, and is back after lateDown.
	lateDelay = 5 * time.Second
	lateCrash = 2500 * time.Millisecond
	lateDown  = 500 * time.Millisecond
	// lateWork is the time that the task works, and lateLimit how long the client waits.
	lateWork  = 640 * time.Millisecond
	lateLimit = 30 * time.Second
	// startLimit is how long the task may take to start, and lateWatch the time after the
	// job is complete in which the late start arrives.
	startLimit = 10 * time.Second
	lateWatch  = 6 * time.Second
)

// lateStart lets one start arrive late at a minion that has crashed meanwhile and started
// again under its identifier. The repeated start was carried out, and the job is complete.
func lateStart(bin string, rec *recorder, trouble, keep bool) (string, error) {
	b, err := newBed(bin, rec, 2, lateMinions, amount{32000, 128000}, withProxies, withKeptIDs)
	if b != nil {
		defer func() { b.stop(keep) }()
	}
	if err != nil {
		return "", err
	}
	if err := b.waitServing(); err != nil {
		return "", err
	}
	if trouble {
		for _, p := range b.proxies {
			p.holdNextStart(lateDelay)
		}
	}
	const id = "5c0e7a21d94b36f8"
	if !b.submit(id, fmt.Sprintf("tags ms=%d", lateWork.Milliseconds()), step{Count: 1, CPU: 480, MemMB: 960, Estimate: 640}) {
		return "", errors.New("the job was not accepted")
	}
	for deadline := time.Now().Add(startLimit); len(rec.of(id)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			return "", errors.New("the task did not start")
		}
	}
	for _, p := range b.proxies {
		p.holdNextStart(0)
	}
	time.Sleep(lateCrash)
	if trouble {
		for i, m := range b.minions {
			if m.id == rec.of(id)[0].minion {
				b.restartMinion(i, lateDown)
			}
		}
	}
	state := b.awaitEnd(id, lateLimit)
	if state != "complete" {
		return "", fmt.Errorf("job %s is shown as %q", id, state)
	}
	time.Sleep(lateWatch)
	b.state(id)
	runs := rec.of(id)
	for i, first := range runs {
		for _, again := range runs[i+1:] {
			if first.how == "done" && first.seen && again.task == first.task {
				return fmt.Sprintf("task %s starts again on %s %v after its run was done, whose end was acknowledged", first.task, again.minion, again.started.Sub(first.ended).Round(time.Millisecond)), nil
			}
		}
	}
	return "", nil
}
