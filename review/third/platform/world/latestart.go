package main

import (
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"
)

// minLate is how late the call is carried out at least.
const minLate = 2 * time.Second

// lateStart holds back the first call that starts a task, so that it gets no response. The
// side repeats it, and the task is done. Then the side freezes, the minion beside it crashes
// and starts again under its identifier, and the call is carried out.
func lateStart(trouble bool) ([]string, error) {
	w, err := newWorld(options{gates: 3, sides: 8, guards: true, room: 16000, catalog: catalog})
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
	w.mu.Lock()
	w.holdNext = trouble
	w.mu.Unlock()
	j := &jobRecord{id: "5c0e7a21d94b36f8", spec: "ms=400 cpu=1000", steps: []map[string]any{{"count": 1, "cpu": 1000, "mem_mb": 64, "estimate_ms": 400}}}
	if err := w.handIn(j); err != nil {
		return nil, err
	}
	task := j.id + ".0.0.0"
	for end := time.Now().Add(8 * time.Second); !w.oracle.isNoted(task); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return nil, errors.New("the end of the task is not acknowledged")
		}
	}
	time.Sleep(300 * time.Millisecond)
	w.client(0, http.MethodGet, j.id, nil, clientDeadline)
	if trouble {
		w.lateCallAtNextLife()
	}
	time.Sleep(8 * time.Second)
	w.client(0, http.MethodGet, j.id, nil, clientDeadline)
	return w.oracle.broken, nil
}

// lateCallAtNextLife freezes the side of the minion whose call is held back, lets the minion
// crash and start again, and lets the call go on.
func (w *world) lateCallAtNextLife() {
	m, heldAt := w.held()
	side := w.sides[slices.Index(w.minions, m)]
	w.event("%s freezes", side.name)
	side.signal(syscall.SIGSTOP)
	time.AfterFunc(freezeTime, func() {
		w.event("%s wakes", side.name)
		side.signal(syscall.SIGCONT)
	})
	time.Sleep(200 * time.Millisecond)
	m.crash()
	time.Sleep(500 * time.Millisecond)
	if err := m.start(); err != nil {
		w.event("minion %s does not start: %v", m.id, err)
	}
	time.Sleep(max(200*time.Millisecond, minLate-time.Since(heldAt)))
	close(w.release)
}
