package main

import (
	"context"
	"encoding/json"
	"net/http"
	"syscall"
	"time"
)

// pinned returns a job of one task that only one minion can run.
func pinned(id string, m *minion) *job {
	return &job{id: id, Spec: "pinned", Steps: []step{{Count: 1, CPU: 500, MemMB: 100, EstimateMS: 500, Requires: "only-" + m.name, work: 500 * time.Millisecond}}}
}

// expectRun hands a job in that only one minion can run, and checks that it is complete in a
// time. The minion has room for it twice over and runs nothing else.
func (b *bed) expectRun(id string, m *minion, limit time.Duration) {
	j := pinned(id, m)
	if !b.submit(j, 0) {
		fail("job %s was not accepted", id)
	}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		b.query(j, 0, true)
		if j.state == "complete" {
			return
		}
	}
	b.oracle.mu.Lock()
	defer b.oracle.mu.Unlock()
	b.oracle.broke("LOST", "accepted job %s has nothing running for %v, %s is up, ready and idle: state %q", id, limit, m.name, j.state)
}

// The doses of the site files: scale_in takes 0.065 of the minions away, and node_freeze
// makes one machine in ten stand still for 4 s. One of sixteen is less than both.
const (
	freezeSides = 16
	freezeTime  = 4 * time.Second
)

// leave ends a minion in a planned way while the process of the system beside it stands
// still, and starts it again under the same id.
func leave(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, freezeSides, true)
	defer b.close()
	b.ready()
	m, side := b.minions[0], b.sides[0]
	b.expectRun("00000000000000b1", m, 15*time.Second)
	for n := 0; n < leaveRounds && len(b.oracle.breaks) == 0; n++ {
		b.leaveAndReturn(m, side, o.trouble)
		b.expectRun(jobID("c", n), m, 14*time.Second)
	}
	return b.oracle.breaks
}

// leaveRounds is how often the minion leaves and comes back, unless a rule is broken before:
// in which order the process beside it handles the two calls is left to chance.
const leaveRounds = 3

// leaveAndReturn ends a minion in a planned way and starts it again. Ten seconds pass from
// the time at which the process beside it goes on.
func (b *bed) leaveAndReturn(m *minion, side *process, trouble bool) {
	var began time.Time
	m.leaveWith(3*time.Second, func() {
		if trouble {
			side.signal(syscall.SIGSTOP)
		}
		began = time.Now()
	})
	time.Sleep(500 * time.Millisecond)
	if err := m.start(); err != nil {
		fail("%v", err)
	}
	time.Sleep(time.Until(began.Add(freezeTime)))
	if trouble {
		side.signal(syscall.SIGCONT)
	}
	time.Sleep(10 * time.Second)
}

// foreign lets another writer send heartbeats of a service that the configuration does not
// name to the side of one minion.
func foreign(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, 4, true)
	defer b.close()
	b.ready()
	m := b.minions[0]
	b.expectRun("00000000000000b1", m, 15*time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if o.trouble {
		go func() {
			born := time.Now().UnixMilli()
			for n := 1; ctx.Err() == nil; n++ {
				body, _ := json.Marshal(map[string]any{
					"service": "other", "address": "127.0.0.1:9", "zone": "z", "version": "v1", "capacity": 8, "state": "ready", "cold_left_ms": 0,
					"room": room{CPU: 1000, MemMB: 1000}, "labels": []string{"x"}, "clock_ms": n * 1100, "sequence": n, "born": born,
				})
				status, _ := call(ctx, http.MethodPut, "http://"+m.control+"/instances/i-other", body, time.Second)
				b.log("heartbeat of another writer at %s: %d", b.sides[0].name, status)
				sleep(ctx, heartbeatTime)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	b.expectRun("00000000000000b2", m, 20*time.Second)
	return b.oracle.breaks
}
