package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	cancelMinions = 8
	// freezeTime is how long the gate stands still. The job is handed in, and its cancelling
	// sent, so long after the begin.
	freezeTime  = 5 * time.Second
	submitAfter = 4400 * time.Millisecond
	cancelAfter = 4600 * time.Millisecond
	// burstInterval is the time between two jobs of the burst, and specBytes the length of the
	// longest word of their descriptions.
	burstInterval = 70 * time.Millisecond
	specBytes     = 3900
	// cancelBound is the time after the acknowledgement of a cancellation from which no task
	// of the job may start (cancel_ms).
	cancelBound = 3 * time.Second
	// judgedFor is the time in which the steps of the job would run.
	judgedFor = 15 * time.Second
)

// lostCancel lets a gate stand still during a burst of jobs. A client hands a job in at another
// gate, and cancels it at this one.
func lostCancel(bin string, rec *recorder, trouble, keep bool) (string, error) {
	b, err := newBed(bin, rec, 3, cancelMinions, amount{32000, 128000})
	if b != nil {
		defer func() { b.stop(keep) }()
	}
	if err != nil {
		return "", err
	}
	if err := b.waitServing(); err != nil {
		return "", err
	}
	owner, err := b.ownerGate()
	if err != nil {
		return "", err
	}
	frozen := 0
	for b.gates[frozen] == owner {
		frozen++
	}
	others := []int{(frozen + 1) % 3, (frozen + 2) % 3}
	began := time.Now()
	if trouble {
		rec.log("%s stands still", b.gates[frozen].name)
		b.gates[frozen].signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() {
			b.gates[frozen].signal(syscall.SIGCONT)
			rec.log("%s goes on", b.gates[frozen].name)
		})
	}
	var calls sync.WaitGroup
	calls.Go(func() {
		for n := 0; time.Since(began) < freezeTime; n++ {
			calls.Go(func() { b.submitTo(others[n%2], fmt.Sprintf("00000000%08x", n)) })
			time.Sleep(burstInterval)
		}
	})
	time.Sleep(submitAfter - time.Since(began))
	const id = "5c0e7a21d94b36f8"
	if !b.submitAt(others, id, "report ms=5000", step{Count: 1, CPU: 1800, MemMB: 1024, Estimate: 2700}, step{Count: 1, CPU: 1800, MemMB: 1024, Estimate: 2700, After: []int{0}}) {
		return "", errors.New("the job was not accepted")
	}
	time.Sleep(cancelAfter - time.Since(began))
	acked := b.cancel(frozen, id)
	calls.Wait()
	if acked.IsZero() {
		return "", errors.New("the cancellation was not acknowledged")
	}
	time.Sleep(judgedFor)
	b.state(id)
	for _, r := range rec.of(id) {
		if r.started.Sub(acked) > cancelBound {
			return fmt.Sprintf("task %s starts %v after the cancelling of its job was acknowledged", r.task, r.started.Sub(acked).Round(time.Millisecond)), nil
		}
	}
	return "", nil
}

// submitTo hands in a job of the burst.
func (b *bed) submitTo(gate int, id string) {
	spec := "tags ms=640 " + strings.Repeat("x", specBytes)
	b.submitAt([]int{gate}, id, spec, step{Count: 6, CPU: 480, MemMB: 960, Estimate: 640})
}

// cancel cancels a job, again at the next gate after no response or a refusal, and returns when
// the cancelling was acknowledged.
func (b *bed) cancel(gate int, id string) time.Time {
	for try := range 4 {
		g := (gate + try) % len(b.gates)
		b.rec.log("client cancels %s at front-%d", id, g)
		status, _ := b.call(g, http.MethodDelete, id, nil)
		b.rec.log("front-%d answers the cancelling of %s: %d", g, id, status)
		if status/100 == 2 || status == http.StatusGone {
			return time.Now()
		}
	}
	return time.Time{}
}
