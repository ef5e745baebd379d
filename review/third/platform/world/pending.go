package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// endedJobs is the number of jobs whose states are kept when the gate is killed.
	endedJobs     = 4000
	endedInterval = 16 * time.Millisecond
	// waitingJobs need a label that no minion has, so that they never begin.
	waitingJobs = 10
	// contact is contact_ms of the sheet: so long after its start a machine is in touch.
	contact = 4 * time.Second
	// visibleBound is visible_ms and 2 s.
	visibleBound = 5 * time.Second
)

// unloadedGate kills a gate that is alone in its zone and has the link of a small machine, and
// asks it for the number of waiting jobs once it is in touch again.
func unloadedGate(trouble bool) ([]string, error) {
	w, err := newWorld(options{gates: 2, sides: 6, guards: true, room: 16000, catalog: catalog, links: []int64{0, linkRate}, gateZones: []string{"z1", "z2"}})
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
	w.submitMany(endedJobs, large, endedInterval)
	if err := w.submitWaiting(large); err != nil {
		return nil, err
	}
	time.Sleep(visibleBound)
	before, err := w.pending(small)
	if err != nil || before < waitingJobs {
		return nil, fmt.Errorf("%d jobs wait before the disruption, %v", before, err)
	}
	began := time.Now()
	if trouble {
		w.event("gate %d is killed", small+1)
		w.gates[small].signal(syscall.SIGKILL)
		w.gates[small].wait()
		if err := w.gates[small].start(); err != nil {
			return nil, err
		}
		began = time.Now()
		w.event("gate %d starts again", small+1)
	}
	for time.Since(began) < 12*time.Second {
		time.Sleep(100 * time.Millisecond)
		asked := time.Since(began)
		n, err := w.pending(small)
		if asked >= contact && err == nil && 2*n < waitingJobs {
			w.oracle.mu.Lock()
			w.oracle.breaks("MIXED: gate %d gives %d jobs as pending %v after its start, %d wait", small+1, n, asked.Round(10*time.Millisecond), waitingJobs)
			w.oracle.mu.Unlock()
		}
	}
	return w.oracle.broken, nil
}

// submitWaiting hands in jobs that never begin.
func (w *world) submitWaiting(gate int) error {
	var wg sync.WaitGroup
	for i := range waitingJobs {
		j := &jobRecord{id: fmt.Sprintf("77777777000000%02x", i), spec: "ms=100 cpu=500", steps: []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 64, "requires": "z"}}}
		w.oracle.add(j)
		wg.Go(func() {
			if status, _ := w.client(gate, http.MethodPost, j.id, j.body(), clientDeadline); status == http.StatusOK {
				j.accepted = time.Now()
			}
		})
	}
	wg.Wait()
	for _, j := range w.oracle.jobs {
		if j.id[:8] == "77777777" && j.accepted.IsZero() {
			return fmt.Errorf("job %s was not accepted", j.id)
		}
	}
	return nil
}

// pending asks a gate for the number of waiting jobs.
func (w *world) pending(gate int) (int, error) {
	status, b := call(http.MethodGet, "http://"+w.ip(gate+1)+":8161/q/", "h.example", nil, clientDeadline)
	w.event("client gets %d %s for GET /q/ from gate %d", status, b, gate+1)
	var count struct {
		Pending *int `json:"pending"`
	}
	if err := json.Unmarshal(b, &count); err != nil || status != http.StatusOK || count.Pending == nil {
		return 0, fmt.Errorf("status %d", status)
	}
	return *count.Pending, nil
}
