package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// foreignBeat lets another writer send heartbeats to one side, with a service that the
// configuration does not name and an identifier of its own. A job that only the minion beside
// this side can run is handed in meanwhile.
func foreignBeat(trouble bool) ([]string, error) {
	labels := func(i int) []string {
		if i == 2 {
			return []string{"b", "r1-1"}
		}
		return []string{"a", "r1-1"}
	}
	w, err := newWorld(options{gates: 3, sides: 3, guards: true, room: 16000, catalog: catalog, labels: labels})
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
	time.Sleep(6 * time.Second)
	probe := &jobRecord{id: "00000000000000aa", spec: "ms=200", steps: []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 256, "requires": "b"}}}
	w.oracle.add(probe)
	if status, _ := w.client(0, http.MethodPost, probe.id, probe.body(), 3*time.Second); status != http.StatusOK {
		return nil, fmt.Errorf("a job before the disruption was answered with %d", status)
	}
	time.Sleep(3 * time.Second)
	if w.oracle.startsOf(probe.id) == 0 {
		return nil, errors.New("a job before the disruption did not start")
	}
	stop := make(chan struct{})
	defer close(stop)
	if trouble {
		go w.beatForeign(w.minions[2], stop)
		time.Sleep(2 * time.Second)
	}
	j := &jobRecord{id: "5c0e7a21d94b36f8", spec: "ms=500", steps: []map[string]any{{"count": 2, "cpu": 1000, "mem_mb": 256, "requires": "b"}}}
	w.oracle.add(j)
	status, _ := w.client(0, http.MethodPost, j.id, j.body(), 3*time.Second)
	if status != http.StatusOK {
		return nil, fmt.Errorf("the job was answered with %d", status)
	}
	accepted := time.Now()
	var state string
	for range 6 {
		time.Sleep(5 * time.Second)
		_, state = w.client(1, http.MethodGet, j.id, nil, 3*time.Second)
	}
	if w.oracle.startsOf(j.id) == 0 {
		w.oracle.mu.Lock()
		w.oracle.breaks("LOST: nothing of the job has run %v after it was accepted, although minion %s is idle and may run it; its state is %q", time.Since(accepted).Round(time.Second), w.minions[2].id, state)
		w.oracle.mu.Unlock()
	}
	return w.oracle.broken, nil
}

// beatForeign sends heartbeats of another writer to the side of a minion.
func (w *world) beatForeign(m *minion, stop chan struct{}) {
	born, sequence := time.Now(), 0
	for {
		sequence++
		b, _ := json.Marshal(map[string]any{
			"service": "archive", "address": w.ip(240) + ":9000", "zone": "z1", "version": "v7", "capacity": 8, "state": "ready", "cold_left_ms": 0,
			"room": map[string]int64{"cpu": 16000, "mem_mb": 64000, "gpu": 0}, "labels": []string{"c", "r9-1"}, "clock_ms": time.Since(born).Milliseconds(), "sequence": sequence, "born": born.UnixMilli(),
		})
		status, _ := call(http.MethodPut, "http://"+m.control+"/instances/i-0f0f0f0f", "", b, time.Second)
		w.event("another writer sends a heartbeat of service archive to the side of %s: %d", m.id, status)
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}
