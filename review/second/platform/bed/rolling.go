package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	rollingMinions = 11
	rackSize       = 3
	// rollingInterval is the time from one crash to the next, and rollingDown how long a
	// minion is down.
	rollingInterval = 300 * time.Millisecond
	rollingDown     = 500 * time.Millisecond
	// rollingWork is the time that the task of the job works, and rollingLimit how long the
	// client waits for its end.
	rollingWork  = 12 * time.Second
	rollingLimit = 60 * time.Second
)

// rollingCrash lets each minion crash once, one after the other: the first of each rack, then
// the second of each, then the third. A job with one task runs meanwhile, which no minion
// ends as failed.
func rollingCrash(bin string, rec *recorder, trouble, keep bool) (string, error) {
	b, err := newBed(bin, rec, 2, rollingMinions, amount{32000, 128000})
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
	if !b.submit(id, fmt.Sprintf("report ms=%d", rollingWork.Milliseconds()), step{Count: 1, CPU: 1800, MemMB: 1024, Estimate: 2700}) {
		return "", errors.New("the job was not accepted")
	}
	time.Sleep(500 * time.Millisecond)
	if trouble {
		for i := range rollingMinions {
			b.restartMinion(rollingOrder(i), rollingDown)
			time.Sleep(rollingInterval)
		}
	}
	state := b.awaitEnd(id, rollingLimit)
	failed := 0
	for _, r := range rec.of(id) {
		if r.how == "failed" {
			failed++
		}
	}
	if state == "failed" && failed == 0 {
		return fmt.Sprintf("job %s is shown as failed, and none of its runs ended failed", id), nil
	}
	if state != "complete" {
		return "", fmt.Errorf("job %s is shown as %q, %d runs ended failed", id, state, failed)
	}
	return "", nil
}

// rollingOrder returns the number of the minion that crashes as the i-th.
func rollingOrder(i int) int {
	for first := range rackSize {
		n := (rollingMinions - first + rackSize - 1) / rackSize
		if i < n {
			return first + i*rackSize
		}
		i -= n
	}
	return 0
}
