package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxLeaseMS is the longest lease in milliseconds (hold_max_ms).
	maxLeaseMS = 10_000
	// heartbeatInterval is the time between two heartbeats (heartbeat_ms).
	heartbeatInterval = 1500 * time.Millisecond
	// heartbeatTimeout is how long a minion waits for the response to a heartbeat.
	heartbeatTimeout = time.Second
	// maxListedEnds is how many ends a response lists.
	maxListedEnds = 500
	// pollInterval is how often a waiting call looks for ends.
	pollInterval = 5 * time.Millisecond
)

// amount is what a task needs or a minion has.
type amount struct{ cpu, mem int64 }

type activeRun struct {
	task    string
	number  int
	spec    string
	need    amount
	started time.Time
	// lasts is how long the run works; 0 means until it is stopped.
	lasts time.Duration
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
}

// minion is a sound minion: it runs what its side orders, under leases, and lists the ends.
// Its calls arrive on one address, also after a crash.
type minion struct {
	id, service, zone, rack string
	addr, control           string
	room                    amount
	// needs holds what the tasks of each step need, by the name of the job and the step.
	needs *needs
	rec   *recorder
	// failing holds while the image of the watchers is faulty: their runs fail shortly after
	// their start.
	failing *atomic.Bool
	// keepsID is true if the minion starts again under its identifier.
	keepsID bool
	// proxy is between the side and the minion; it may be nil.
	proxy *delayProxy

	mu       sync.Mutex
	life     int
	born     time.Time
	server   *http.Server
	cancel   context.CancelFunc
	fence    int64
	leaseEnd int64
	lastEnd  int64
	sequence int64
	draining bool
	running  map[string]*activeRun
	blocked  map[string]int
	ended    []endedRun
}

// name returns the identifier of the present life.
func (m *minion) name() string {
	if m.keepsID {
		return m.id
	}
	return fmt.Sprintf("%s-%d", m.id, m.life)
}

// start begins a life: the minion holds and knows nothing of before.
func (m *minion) start() error {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m.mu.Lock()
	m.life++
	m.born, m.fence, m.leaseEnd, m.lastEnd, m.sequence, m.draining = time.Now(), 0, 0, 0, 0, false
	m.running, m.blocked, m.ended = map[string]*activeRun{}, map[string]int{}, nil
	m.cancel, m.server = cancel, &http.Server{Handler: m}
	server, name := m.server, m.name()
	m.mu.Unlock()
	if m.proxy != nil {
		if err := m.proxy.open(); err != nil {
			return err
		}
	}
	m.rec.log("minion %s starts", name)
	go func() { _ = server.Serve(l) }()
	go m.sendHeartbeats(ctx)
	go m.endRunsUntil(ctx)
	return nil
}

// crash ends the life without a word: connections are closed and later ones refused.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rec.log("minion %s crashes with %d runs", m.name(), len(m.running))
	m.cancel()
	if m.proxy != nil {
		m.proxy.close()
	}
	_ = m.server.Close()
	for _, r := range m.running {
		m.rec.ended(m.id, r.task, r.number, "crash")
	}
	m.running = map[string]*activeRun{}
}

func (m *minion) clockMS() int64 { return time.Since(m.born).Milliseconds() }

func (m *minion) heartbeat() (id string, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	body, err := json.Marshal(map[string]any{
		"service": m.service, "address": m.addr, "zone": m.zone, "version": "v1", "capacity": 8, "state": state, "cold_left_ms": 0,
		"room": map[string]int64{"cpu": m.room.cpu, "mem_mb": m.room.mem, "gpu": 0}, "labels": []string{"a", m.rack},
		"clock_ms": m.clockMS(), "sequence": m.sequence, "born": m.born.UnixMilli(),
	})
	if err != nil {
		panic(err) // the values can always be encoded
	}
	return m.name(), body
}

func (m *minion) sendHeartbeats(ctx context.Context) {
	for ctx.Err() == nil {
		id, body := m.heartbeat()
		status := putHeartbeat(ctx, m.control, id, body)
		m.rec.debug("minion %s heartbeat: %d", id, status)
		select {
		case <-ctx.Done():
		case <-time.After(heartbeatInterval):
		}
	}
}

// putHeartbeat sends a heartbeat and returns the status, or 0 without a response.
func putHeartbeat(ctx context.Context, control, id string, body []byte) int {
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+control+"/instances/"+id, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	SeenUpto     int64  `json:"seen_upto"`
	WaitMS       int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if id := r.Header.Get("Expect-Instance"); id != "" && id != m.name() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.endRuns()
	if o.FencingToken < m.fence {
		m.refuse(w, "fence")
		return
	}
	m.fence = o.FencingToken
	m.leaseEnd = max(m.leaseEnd, min(o.DeadlineMS, m.clockMS()+maxLeaseMS))
	switch r.URL.Path {
	case "/run-start":
		m.startRun(w, o)
	case "/run-stop":
		m.stopRun(w, o)
	case "/hold":
		m.hold(w, r, o)
	case "/pace":
		m.respond(w, map[string]any{})
	default:
		http.NotFound(w, r)
	}
}

func (m *minion) respond(w http.ResponseWriter, body map[string]any) {
	body["clock_ms"] = m.clockMS()
	writeJSON(w, http.StatusOK, body)
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": m.clockMS(), "reason": reason})
}

func (m *minion) startRun(w http.ResponseWriter, o order) {
	if r := m.running[o.Task]; r != nil && r.number == o.Run {
		m.respond(w, map[string]any{})
		return
	}
	need := m.needs.of(o.Task)
	switch {
	case o.Run <= m.blocked[o.Task] || m.running[o.Task] != nil:
		m.refuse(w, "old")
		return
	case o.DeadlineMS <= m.clockMS():
		m.refuse(w, "late")
		return
	case !m.fits(need):
		m.refuse(w, "room")
		return
	}
	m.running[o.Task] = &activeRun{task: o.Task, number: o.Run, spec: o.Spec, need: need, started: time.Now(), lasts: workOf(o.Spec)}
	m.rec.started(m.id, o.Task, o.Run, o.Spec)
	m.respond(w, map[string]any{})
}

func (m *minion) fits(need amount) bool {
	for _, r := range m.running {
		need.cpu, need.mem = need.cpu+r.need.cpu, need.mem+r.need.mem
	}
	return need.cpu <= m.room.cpu && need.mem <= m.room.mem
}

// workOf returns the time that a task works, from a field "ms=" of its description.
func workOf(spec string) time.Duration {
	for _, f := range strings.Fields(spec) {
		if ms, ok := strings.CutPrefix(f, "ms="); ok {
			if n, err := strconv.Atoi(ms); err == nil {
				return time.Duration(n) * time.Millisecond
			}
		}
	}
	return 0
}

func (m *minion) stopRun(w http.ResponseWriter, o order) {
	m.blocked[o.Task] = max(m.blocked[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.number <= o.Run {
		m.end(r, "stopped")
	}
	m.respond(w, map[string]any{})
}

func (m *minion) end(r *activeRun, how string) {
	delete(m.running, r.task)
	m.blocked[r.task] = max(m.blocked[r.task], r.number)
	m.lastEnd++
	m.ended = append(m.ended, endedRun{m.lastEnd, r.task, r.number, how})
	m.rec.ended(m.id, r.task, r.number, how)
}

// endRuns ends the runs that are complete, or all if the lease has expired.
func (m *minion) endRuns() {
	expired := m.clockMS() > m.leaseEnd
	for _, r := range m.running {
		switch {
		case expired:
			m.end(r, "lapsed")
		case r.lasts > 0 && time.Since(r.started) >= r.lasts:
			m.end(r, "done")
		case r.lasts == 0 && m.failing.Load():
			m.end(r, "failed")
		}
	}
}

func (m *minion) endRunsUntil(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		if ctx.Err() == nil {
			m.endRuns()
		}
		m.mu.Unlock()
		time.Sleep(pollInterval)
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	for len(m.ended) > 0 && m.ended[0].number <= o.SeenUpto {
		e := m.ended[0]
		m.rec.seen(m.id, e.task, e.run, e.how)
		m.ended = m.ended[1:]
	}
	deadline, life := time.Now().Add(time.Duration(o.WaitMS)*time.Millisecond), m.life
	for len(m.ended) == 0 && time.Now().Before(deadline) && r.Context().Err() == nil && m.life == life {
		m.mu.Unlock()
		time.Sleep(pollInterval)
		m.mu.Lock()
	}
	running, finished := [][]any{}, [][]any{}
	for _, a := range m.running {
		running = append(running, []any{a.task, a.number, "", a.percent(), a.need.cpu})
	}
	for _, e := range m.ended[:min(len(m.ended), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, ""})
	}
	m.respond(w, map[string]any{"born": m.born.UnixMilli(), "running": running, "finished": finished})
}

func (a *activeRun) percent() int64 {
	if a.lasts == 0 {
		return 100
	}
	return min(100, 100*int64(time.Since(a.started))/int64(a.lasts))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	b, err := json.Marshal(body)
	if err != nil {
		panic(err) // the stand-ins write only values that can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
