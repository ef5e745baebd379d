package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

const (
	// storedJobs is the number of jobs that have ended when the restarts begin. Their states
	// have to be kept for status_s, 120 s, and 20 a second are fewer than on the sheet of the
	// State Wedding Gallery. They are handed in in half the time, so that the case ends in time.
	storedJobs     = 2400
	storedInterval = 25 * time.Millisecond
	// lateJobs is the number of jobs that are handed in from the restart of the first gate
	// on, at that rate.
	lateJobs = 50
	// specBytes is the size of the work descriptions; a page of 500 jobs takes less than 1 MB.
	specBytes    = 800
	lateInterval = 50 * time.Millisecond
	// slowAnswer and slowTime are those of platform_slow in the site files: answers of 4 ms
	// take 60 times as long, for 4.5 s.
	slowAnswer = 240 * time.Millisecond
	slowTime   = 4500 * time.Millisecond
)

// rollingRestart restarts two gates in turn. The store is slow while the first one starts.
// Clients hand jobs in all the time.
func rollingSlowStore(trouble bool) ([]string, error) {
	w, err := newWorld(options{gates: 2, sides: 6, guards: true, room: 16000, catalog: catalog})
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
	time.Sleep(3 * time.Second)
	owner := w.owner()
	if owner < 0 {
		return nil, fmt.Errorf("no owner")
	}
	first, other := 1-owner, owner
	w.event("gate %d owns the cell", owner+1)
	w.submitMany(storedJobs, other, storedInterval)
	w.event("gate %d gets SIGTERM", first+1)
	w.gates[first].signal(syscall.SIGTERM)
	w.gates[first].wait()
	if trouble {
		w.event("answers of the store take %v", slowAnswer)
		w.store.SetFaults(platformtest.Faults{Delay: slowAnswer})
		time.AfterFunc(slowTime, func() {
			w.event("the store is fast again")
			w.store.SetFaults(platformtest.Faults{})
		})
	}
	if err := w.gates[first].start(); err != nil {
		return nil, err
	}
	w.event("gate %d starts again", first+1)
	late := w.submitMany(lateJobs, other, lateInterval)
	time.Sleep(slowTime)
	if err := w.ready(first); err != nil {
		return nil, err
	}
	for _, j := range late {
		if !j.accepted.IsZero() {
			_, a := w.client(other, http.MethodGet, j.id, nil, clientDeadline)
			_, b := w.client(first, http.MethodGet, j.id, nil, clientDeadline)
			if a != b {
				w.event("STATE of job %s: %q at gate %d, %q at gate %d", j.id, a, other+1, b, first+1)
			}
		}
	}
	w.event("gate %d gets SIGTERM", other+1)
	w.gates[other].signal(syscall.SIGTERM)
	w.gates[other].wait()
	if err := w.gates[other].start(); err != nil {
		return nil, err
	}
	w.event("gate %d starts again", other+1)
	time.Sleep(8 * time.Second)
	return w.oracle.broken, nil
}

// submitMany hands short jobs in at a gate, one after each interval, and waits until clients
// have got their responses.
func (w *world) submitMany(n, gate int, interval time.Duration) []*jobRecord {
	var wg sync.WaitGroup
	var jobs []*jobRecord
	for range n {
		w.mu.Lock()
		id := w.rng.Uint64()
		w.mu.Unlock()
		j := &jobRecord{id: fmt.Sprintf("%016x", id), spec: "ms=400 cpu=500 " + strings.Repeat("x", specBytes), steps: []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 64, "estimate_ms": 400}}}
		w.oracle.add(j)
		jobs = append(jobs, j)
		wg.Go(func() {
			if status, _ := w.client(gate, http.MethodPost, j.id, j.body(), clientDeadline); status == http.StatusOK {
				w.oracle.mu.Lock()
				j.accepted = time.Now()
				w.oracle.mu.Unlock()
			}
		})
		time.Sleep(interval)
	}
	wg.Wait()
	return jobs
}

// linkRate is the rate of the link of the smaller gates in Mbit/s.
const linkRate = 10

// rollingRestart restarts two gates in turn, one of which has the link of a small machine.
// Clients hand jobs in all the time.
func rollingRestart(trouble bool) ([]string, error) {
	w, err := newWorld(options{gates: 2, sides: 6, guards: true, room: 16000, catalog: catalog, links: []int64{0, linkRate}})
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
	time.Sleep(3 * time.Second)
	const large, small = 0, 1
	w.event("gate %d owns the cell", w.owner()+1)
	w.submitMany(storedJobs, large, storedInterval)
	if trouble {
		w.restartGate(small)
	}
	late := w.submitMany(lateJobs, large, lateInterval)
	time.Sleep(6 * time.Second)
	if err := w.ready(small); err != nil {
		return nil, err
	}
	for _, j := range late {
		_, a := w.client(large, http.MethodGet, j.id, nil, clientDeadline)
		_, b := w.client(small, http.MethodGet, j.id, nil, clientDeadline)
		if a != b {
			w.event("STATE of job %s: %q at gate %d, %q at gate %d", j.id, a, large+1, b, small+1)
		}
	}
	if trouble {
		w.restartGate(large)
	}
	time.Sleep(6 * time.Second)
	return w.oracle.broken, nil
}

// restartGate stops a gate as the platform does and starts it again.
func (w *world) restartGate(gate int) {
	w.event("gate %d gets SIGTERM", gate+1)
	w.gates[gate].signal(syscall.SIGTERM)
	w.gates[gate].wait()
	if err := w.gates[gate].start(); err != nil {
		w.event("gate %d does not start: %v", gate+1, err)
	}
	w.event("gate %d starts again", gate+1)
}
