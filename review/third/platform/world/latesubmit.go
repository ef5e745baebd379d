package main

import (
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const catalog = `{"version":3,"routes":[{"name":"q1","host":"h.example","path_prefix":"/q/","service":"desk","priority":0,"max_attempts":4,"stretch":1.5,"slo_ms":250}],
"services":[{"name":"desk","admission_control":true}],"limits":{"max_body_bytes":262144}}`

const (
	// freezeTime is that of node_freeze in the site files.
	freezeTime = 4 * time.Second
	// clientDeadline is how long a client waits for a response, as Deadline-Ms tells.
	clientDeadline = 3 * time.Second
	// clients is the number of clients whose requests wait at the gate.
	clients = 6
	// rounds is how often a gate freezes, and restTime the time from the cancelling to the next
	// freeze: whether a gate that wakes goes on with such a request depends on what it reads
	// first.
	rounds   = 8
	restTime = 4500 * time.Millisecond
)

// lateSubmit freezes a gate with submissions in its sockets. The clients wait until their
// deadline and cancel the jobs at another gate, which answers that there are no such jobs.
// Then the gate wakes.
func lateSubmit(trouble bool) ([]string, error) {
	w, err := newWorld(options{gates: 3, sides: 3, guards: true, room: 16000, catalog: catalog})
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
	owner := w.owner()
	if owner < 0 {
		return nil, errors.New("no owner")
	}
	w.event("gate %d owns the cell", owner+1)
	var jobs []*jobRecord
	for round := range rounds {
		frozen, other := (owner+1+round%2)%3, (owner+2-round%2)%3
		for i := range clients {
			j := &jobRecord{id: fmt.Sprintf("5c0e7a21d94b%02x%02x", round, i), spec: "lasts failafter=4000", steps: []map[string]any{{"count": 1, "cpu": 500, "mem_mb": 256, "perpetual": true}}}
			w.oracle.add(j)
			jobs = append(jobs, j)
		}
		if trouble {
			w.freezeGate(frozen)
		}
		if err := w.submitAll(jobs[len(jobs)-clients:], frozen, other); err != nil {
			return nil, err
		}
		time.Sleep(restTime)
	}
	time.Sleep(10 * time.Second)
	for _, j := range jobs {
		_, state := w.client(owner, http.MethodGet, j.id, nil, clientDeadline)
		if n := w.oracle.runsOf(j.id); n > 0 {
			w.oracle.mu.Lock()
			w.oracle.breaks("UNASKED: %d task of job %s runs %v after DELETE was answered with %d; its state is %q", n, j.id, time.Since(j.cancelled).Round(time.Second), j.deleteStatus, state)
			w.oracle.mu.Unlock()
		}
	}
	return w.oracle.broken, nil
}

// freezeGate stops a gate and lets it go on after freezeTime.
func (w *world) freezeGate(gate int) {
	w.event("gate %d freezes", gate+1)
	w.gates[gate].signal(syscall.SIGSTOP)
	time.AfterFunc(freezeTime, func() {
		w.event("gate %d wakes", gate+1)
		w.gates[gate].signal(syscall.SIGCONT)
	})
	time.Sleep(100 * time.Millisecond)
}

// submitAll lets a client for each job hand it in and cancel it.
func (w *world) submitAll(jobs []*jobRecord, first, second int) error {
	results := make(chan error, len(jobs))
	for _, j := range jobs {
		go func() { results <- w.submitAndCancel(j, first, second) }()
	}
	for range jobs {
		if err := <-results; err != nil {
			return err
		}
	}
	return nil
}

// submitAndCancel hands a job in at one gate and cancels it at another one, once the client
// has waited for the response until its deadline.
func (w *world) submitAndCancel(j *jobRecord, first, second int) error {
	if status, _ := w.client(first, http.MethodPost, j.id, j.body(), clientDeadline); status != 0 && status != http.StatusOK {
		return fmt.Errorf("the job was answered with %d", status)
	}
	j.deleteStatus, _ = w.client(second, http.MethodDelete, j.id, nil, clientDeadline)
	if j.deleteStatus != http.StatusOK && j.deleteStatus != http.StatusGone {
		return fmt.Errorf("the cancelling was answered with %d", j.deleteStatus)
	}
	w.oracle.mu.Lock()
	j.cancelled = time.Now()
	w.oracle.mu.Unlock()
	w.client(second, http.MethodGet, j.id, nil, clientDeadline)
	return nil
}
