package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the sites' settings.
const (
	maxLease       = 10 * time.Second
	killGrace      = 900 * time.Millisecond
	gangWait       = 3 * time.Second
	checkpointTime = 2 * time.Second
	restoreTime    = 250 * time.Millisecond
	heartbeatTime  = 1100 * time.Millisecond
	maxListedEnds  = 500
	pollTime       = 5 * time.Millisecond
)

// room is what a minion offers.
type room struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// minion is a stand-in of a minion on one side machine. Each life is an incarnation.
type minion struct {
	bed     *bed
	name    string
	addr    string
	control string
	rack    string
	labels  []string
	room    room
	guards  bool
	// late is the share of orders that get no answer and are carried out 2 to 12 s later.
	late func() bool
	// moved is true once no queue is sent to its service.
	moved atomic.Bool
	// service is the service that its heartbeats name.
	service string
	// tickets is true if a start needs a ticket.
	tickets bool
	// failsUntil is the time until which all that is started fails, in Unix nanoseconds.
	failsUntil atomic.Int64

	restarting sync.Mutex

	mu       sync.Mutex
	up       bool
	server   *http.Server
	cancel   context.CancelFunc
	born     time.Time
	life     int
	fence    int64
	leaseEnd time.Duration
	runs     map[string]*taskRun
	blocked  map[string]int
	ends     []runEnd
	lastEnd  int64
	draining bool
	sequence int64
}

// taskRun is a run on a minion.
type taskRun struct {
	task    string
	number  int
	job     *job
	id      taskID
	started time.Time
	// workFrom is the work that was saved before the run.
	workFrom time.Duration
	restored bool
	need     room
	// stopAt is when a stopped run ends, or zero.
	stopAt time.Time
	// together is when all members of the gang were present, or zero.
	together time.Time
	fails    bool
}

type runEnd struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

func (m *minion) clock() time.Duration { return time.Since(m.born) }

func (m *minion) id() string { return "i-" + m.name }

// start begins a new life.
func (m *minion) start() error {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.born, m.up, m.draining = time.Now(), true, false
	m.life++
	m.fence, m.leaseEnd, m.lastEnd, m.sequence = 0, 0, 0, 0
	m.runs, m.blocked, m.ends = map[string]*taskRun{}, map[string]int{}, nil
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.server = &http.Server{Handler: m}
	go func(s *http.Server) { _ = s.Serve(l) }(m.server)
	go m.beat(ctx)
	go m.tick(ctx)
	m.bed.log("minion %s starts, life %d", m.name, m.life)
	return nil
}

// crash ends a life without notice.
func (m *minion) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.end("crashed")
}

// leave says that the minion drains, and ends it after a time.
func (m *minion) leave(drain time.Duration) { m.leaveWith(drain, func() {}) }

// leaveWith is leave with something that happens just before the minion ends.
func (m *minion) leaveWith(drain time.Duration, before func()) {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	call(context.Background(), http.MethodPut, "http://"+m.control+"/instances/"+m.id(), m.body(), time.Second)
	m.bed.log("minion %s is draining", m.name)
	time.Sleep(drain)
	before()
	status, _ := call(context.Background(), http.MethodDelete, "http://"+m.control+"/instances/"+m.id(), nil, time.Second)
	m.bed.log("minion %s says that it leaves: %d", m.name, status)
	m.crash()
}

// end ends a life. The lock is held.
func (m *minion) end(how string) {
	if !m.up {
		return
	}
	m.up = false
	m.cancel()
	_ = m.server.Close()
	for _, r := range m.runs {
		m.bed.oracle.ended(m, r, how)
	}
	m.runs = map[string]*taskRun{}
	m.bed.log("minion %s ends: %s", m.name, how)
}

// body is a heartbeat.
func (m *minion) body() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	state := "ready"
	if m.draining {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"service": m.service, "address": m.addr, "zone": "z", "version": "v1", "capacity": 8, "state": state, "cold_left_ms": 0,
		"room": m.room, "labels": append([]string{m.labels[0], m.rack}, m.labels[1:]...), "clock_ms": m.clock().Milliseconds(), "sequence": m.sequence, "born": m.born.UnixMilli(),
	})
	return b
}

func (m *minion) beat(ctx context.Context) {
	for ctx.Err() == nil {
		call(ctx, http.MethodPut, "http://"+m.control+"/instances/"+m.id(), m.body(), time.Second)
		sleep(ctx, heartbeatTime)
	}
}

func (m *minion) tick(ctx context.Context) {
	for ctx.Err() == nil {
		m.mu.Lock()
		m.endRuns()
		m.mu.Unlock()
		sleep(ctx, pollTime)
	}
}

type order struct {
	Task         string `json:"task"`
	Run          int    `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	SeenUpto     int64  `json:"seen_upto"`
	WaitMS       int64  `json:"wait_ms"`
	Saved        string `json:"saved_state"`
	Percent      int    `json:"percent"`
	Ticket       string `json:"ticket"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var o order
	if json.Unmarshal(b, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id() {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	m.mu.Lock()
	life := m.life
	m.mu.Unlock()
	if m.late != nil && m.late() {
		time.AfterFunc(2*time.Second+time.Duration(rand.Int64N(int64(10*time.Second))), func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.up && m.life == life {
				m.carryOut(r.URL.Path, o)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	m.mu.Lock()
	if !m.up || m.life != life {
		m.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	status, body := m.carryOut(r.URL.Path, o)
	if status == http.StatusOK && r.URL.Path == "/hold" {
		for until := time.Now().Add(time.Duration(o.WaitMS) * time.Millisecond); len(m.ends) == 0 && time.Now().Before(until) && r.Context().Err() == nil && m.life == life; {
			m.mu.Unlock()
			time.Sleep(pollTime)
			m.mu.Lock()
		}
		if !m.up || m.life != life {
			m.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		body = m.lists()
	}
	body["clock_ms"] = m.clock().Milliseconds()
	m.mu.Unlock()
	out, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(out)
}

// carryOut carries out an order. The lock is held.
func (m *minion) carryOut(path string, o order) (int, map[string]any) {
	m.endRuns()
	body := map[string]any{}
	if o.FencingToken < m.fence {
		body["reason"] = "fence"
		return http.StatusConflict, body
	}
	m.fence = o.FencingToken
	if end := min(time.Duration(o.DeadlineMS)*time.Millisecond, m.clock()+maxLease); end > m.leaseEnd {
		m.leaseEnd = end
	}
	switch path {
	case "/run-start":
		return m.startRun(o)
	case "/run-stop":
		m.blocked[o.Task] = max(m.blocked[o.Task], o.Run)
		if r := m.runs[o.Task]; r != nil && r.number <= o.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(m.bed.stopTime())
			m.bed.oracle.note("%s run %d on %s is told to stop", r.task, r.number, m.name)
		}
	case "/hold":
		for len(m.ends) > 0 && m.ends[0].number <= o.SeenUpto {
			m.bed.oracle.acknowledged(m, m.ends[0], m.clock() > m.leaseEnd)
			m.ends = m.ends[1:]
		}
	case "/pace":
	default:
		return http.StatusNotFound, body
	}
	return http.StatusOK, body
}

func (m *minion) startRun(o order) (int, map[string]any) {
	conflict := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	if r := m.runs[o.Task]; r != nil && r.number == o.Run {
		return http.StatusOK, map[string]any{}
	}
	id, err := parseTask(o.Task)
	if err != nil {
		return http.StatusBadRequest, map[string]any{}
	}
	if o.Run <= m.blocked[o.Task] || m.runs[o.Task] != nil {
		return conflict("old")
	}
	if m.leaseEnd <= m.clock() {
		return conflict("late")
	}
	if m.tickets && !m.validTicket(o, id) {
		return conflict("ticket")
	}
	j := m.bed.oracle.jobOf(id.job)
	need := room{}
	if j != nil && id.step < len(j.Steps) {
		s := j.Steps[id.step]
		need = room{s.CPU, s.MemMB, s.GPU}
		if s.Fill {
			need.CPU = 0
		}
	}
	used := need
	for _, r := range m.runs {
		used = room{used.CPU + r.need.CPU, used.MemMB + r.need.MemMB, used.GPU + r.need.GPU}
	}
	over := used.CPU > m.room.CPU || used.MemMB > m.room.MemMB || used.GPU > m.room.GPU
	if over && m.guards {
		return conflict("room")
	}
	r := &taskRun{task: o.Task, number: o.Run, job: j, id: id, started: time.Now(), need: need}
	if o.Saved != "" {
		r.restored = true
		r.workFrom = m.bed.oracle.savedWork(o.Saved)
	}
	if j != nil {
		r.fails = j.failing(id, o.Run)
	}
	if time.Now().UnixNano() < m.failsUntil.Load() {
		r.fails = true
	}
	m.bed.oracle.starting(m, r, o, over)
	m.runs[o.Task] = r
	m.bed.gangs.join(m, r)
	return http.StatusOK, map[string]any{}
}

// validTicket reports whether an order has a ticket for its step that has not expired.
func (m *minion) validTicket(o order, id taskID) bool {
	prefix := fmt.Sprintf("%s.%d.%d/%s/", id.job, id.round, id.step, m.id())
	var until int64
	if _, err := fmt.Sscanf(strings.TrimPrefix(o.Ticket, prefix), "%d", &until); err != nil || !strings.HasPrefix(o.Ticket, prefix) {
		return false
	}
	return time.Now().UnixMilli() <= until
}

// work is the work that a run has done.
func (r *taskRun) work(at time.Time) time.Duration {
	from := r.started
	if r.isGang() {
		if r.together.IsZero() {
			return r.workFrom
		}
		from = r.together
	}
	d := at.Sub(from)
	if r.restored {
		d -= restoreTime
	}
	return r.workFrom + max(d, 0)
}

func (r *taskRun) step() *step {
	if r.job == nil || r.id.step >= len(r.job.Steps) {
		return &step{}
	}
	return &r.job.Steps[r.id.step]
}

func (r *taskRun) isGang() bool { return r.step().Gang }

func (r *taskRun) duration() time.Duration {
	if r.job == nil {
		return time.Second
	}
	return r.job.workOf(r.id)
}

// saved is the saved state of a run: checkpoints are whole multiples of checkpointTime.
func (m *minion) saved(r *taskRun, at time.Time, atStop bool) string {
	if !r.step().Checkpoint {
		return ""
	}
	w := r.work(at)
	if !atStop {
		w = w / checkpointTime * checkpointTime
	}
	if w <= 0 {
		return ""
	}
	return m.bed.oracle.save(r, w)
}

// endRuns ends what is complete, stopped or expired. The lock is held.
func (m *minion) endRuns() {
	if !m.up {
		return
	}
	now := time.Now()
	lapse := m.born.Add(m.leaseEnd)
	for _, r := range m.runs {
		switch {
		case now.After(lapse):
			m.endRun(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			m.endRun(r, "stopped")
		case r.isGang() && r.together.IsZero():
			if at, broken := m.bed.gangs.state(r); broken {
				m.endRun(r, "broken")
			} else if !at.IsZero() {
				r.together = at
			} else if now.Sub(r.started) > gangWait {
				m.endRun(r, "alone")
			}
		case r.isGang() && m.bed.gangs.isBroken(r):
			m.endRun(r, "broken")
		case r.step().Perpetual:
			if r.fails && r.work(now) >= r.duration() {
				m.endRun(r, "failed")
			}
		case r.work(now) >= r.duration():
			if r.fails {
				m.endRun(r, "failed")
			} else {
				m.endRun(r, "done")
			}
		}
	}
}

// endRun ends a run. The lock is held.
func (m *minion) endRun(r *taskRun, how string) {
	delete(m.runs, r.task)
	m.blocked[r.task] = max(m.blocked[r.task], r.number)
	m.lastEnd++
	saved := ""
	if how != "done" {
		saved = m.saved(r, time.Now(), how == "stopped")
	}
	m.ends = append(m.ends, runEnd{m.lastEnd, r.task, r.number, how, saved})
	m.bed.oracle.ended(m, r, how)
}

func (m *minion) lists() map[string]any {
	m.endRuns()
	running, finished := [][]any{}, [][]any{}
	now := time.Now()
	for _, r := range m.runs {
		percent := int64(100)
		if w := r.work(now); w < r.duration() {
			percent = int64(100 * w / max(r.duration(), 1))
		}
		load := r.need.CPU
		if r.step().TargetMS > 0 {
			load = r.step().TargetMS / 3
		}
		running = append(running, []any{r.task, r.number, m.saved(r, now, false), percent, load})
	}
	for _, e := range m.ends[:min(len(m.ends), maxListedEnds)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"born": m.born.UnixMilli(), "running": running, "finished": finished}
}

// gangs knows which members of gangs are present on all minions.
type gangs struct {
	mu   sync.Mutex
	sets map[string]*gangRun
}

type gangRun struct {
	present  map[int]bool
	together time.Time
	broken   bool
}

func gangKey(r *taskRun) string {
	return fmt.Sprintf("%s.%d.%d/%d", r.id.job, r.id.round, r.id.step, r.number)
}

func (g *gangs) get(r *taskRun) *gangRun {
	k := gangKey(r)
	if g.sets[k] == nil {
		g.sets[k] = &gangRun{present: map[int]bool{}}
	}
	return g.sets[k]
}

func (g *gangs) join(_ *minion, r *taskRun) {
	if !r.isGang() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.get(r)
	s.present[r.id.index] = true
	if len(s.present) == r.step().Count && s.together.IsZero() {
		s.together = time.Now()
	}
}

func (g *gangs) leave(r *taskRun, how string) {
	if !r.isGang() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.get(r)
	delete(s.present, r.id.index)
	if how != "done" && !s.together.IsZero() {
		s.broken = true
	}
}

func (g *gangs) state(r *taskRun) (time.Time, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.get(r)
	return s.together, s.broken
}

func (g *gangs) isBroken(r *taskRun) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.get(r).broken
}
