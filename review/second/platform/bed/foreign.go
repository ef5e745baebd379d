package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

const (
	foreignMinions = 4
	// foreignInterval is the time between two heartbeats of the other writer at one side.
	foreignInterval = 1500 * time.Millisecond
	// idleLimit is how long a job may have nothing running while there is capacity for it.
	idleLimit = 3 * time.Second
	// finishTime is the time after the end of the traffic at which jobs are judged.
	finishTime = 14 * time.Second
)

// foreignHeartbeat returns a heartbeat of another writer: its service is not in the
// configuration.
func foreignHeartbeat(zone string, born time.Time, sequence int) []byte {
	body, err := json.Marshal(map[string]any{
		"service": "elsewhere", "address": "127.0.0.1:9", "zone": zone, "version": "v0", "capacity": 8, "state": "ready", "cold_left_ms": 0,
		"room": map[string]int64{"cpu": 16000, "mem_mb": 64000, "gpu": 0}, "labels": []string{"a", "r9-1"},
		"clock_ms": time.Since(born).Milliseconds(), "sequence": sequence, "born": born.UnixMilli(),
	})
	if err != nil {
		panic(err) // the values can always be encoded
	}
	return body
}

// foreignHeartbeats lets another writer send heartbeats with a service that the
// configuration does not name, beside those of the minions.
func foreignHeartbeats(bin string, rec *recorder, trouble, keep bool) (string, error) {
	b, err := newBed(bin, rec, 2, foreignMinions, amount{32000, 128000})
	if b != nil {
		defer func() { b.stop(keep) }()
	}
	if err != nil {
		return "", err
	}
	if err := b.waitServing(); err != nil {
		return "", err
	}
	before := "5c0e7a21d94b0001"
	if !b.submit(before, "tags ms=600", step{Count: 4, CPU: 500, MemMB: 256, Estimate: 600}) {
		return "", errors.New("the first job was not accepted")
	}
	time.Sleep(3 * time.Second)
	if state := b.state(before); state != "complete" {
		return "", fmt.Errorf("the first job is %q", state)
	}
	if trouble {
		born, sequence := time.Now(), 0
		send := func() {
			sequence++
			for _, m := range b.minions {
				status := putHeartbeat(context.Background(), m.control, "i-elsewhere", foreignHeartbeat(m.zone, born, sequence))
				rec.log("another writer sends a heartbeat of service elsewhere to %s: %d", m.id, status)
			}
		}
		send()
		defer every(foreignInterval, send)()
	}
	time.Sleep(time.Second)
	id := "5c0e7a21d94b0002"
	if !b.submit(id, "tags ms=600", step{Count: 4, CPU: 500, MemMB: 256, Estimate: 600}) {
		return "", errors.New("the second job was not accepted")
	}
	time.Sleep(finishTime + idleLimit)
	state := b.state(id)
	if runs := rec.of(id); len(runs) == 0 {
		return fmt.Sprintf("job %s was accepted and is %q; %v later nothing of it runs or has run, though all minions are idle", id, state, finishTime+idleLimit), nil
	}
	if state != "complete" {
		return "", fmt.Errorf("job %s is %q", id, state)
	}
	return "", nil
}
