package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// taskSpec is what the work description of a job tells a minion about each of its tasks. The
// text is a list of fields such as "ms=500 cpu=1000 gang=3 ckpt lasts".
type taskSpec struct {
	work      time.Duration
	cpu       int64
	gang      int
	saves     bool
	lasts     bool
	failFirst int
	failAfter time.Duration
}

func parseSpec(text string, step int) taskSpec {
	s := taskSpec{work: 300 * time.Millisecond, cpu: 1000}
	parts := strings.Split(text, "|")
	if step < len(parts) {
		text = parts[step]
	} else {
		text = parts[len(parts)-1]
	}
	for _, f := range strings.Fields(text) {
		key, value, _ := strings.Cut(f, "=")
		n, _ := strconv.Atoi(value)
		switch key {
		case "ms":
			s.work = time.Duration(n) * time.Millisecond
		case "cpu":
			s.cpu = int64(n)
		case "gang":
			s.gang = n
		case "ckpt":
			s.saves = true
		case "lasts":
			s.lasts = true
		case "fails":
			s.failFirst = n
		case "failafter":
			s.failAfter = time.Duration(n) * time.Millisecond
		}
	}
	return s
}

// minion is a stand-in of a minion as the users' pages describe it.
type minion struct {
	world   *world
	id      string
	service string
	zone    string
	labels  []string
	room    int64
	guards  bool
	addr    string
	control string

	mu       sync.Mutex
	server   *http.Server
	up       bool
	born     time.Time
	fence    int64
	leaseEnd int64
	lastEnd  int64
	sequence int64
	state    string
	runs     map[string]*minionRun
	blocked  map[string]int
	ended    []minionEnd
}

type minionRun struct {
	task    string
	number  int
	spec    taskSpec
	started time.Time
	done    time.Duration
	// stopAt is when a stop takes effect, or zero.
	stopAt time.Time
	saved  string
}

type minionEnd struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

const killGrace = 150 * time.Millisecond

func newMinion(w *world, id, zone, control, addr string, room int64, guards bool, labels ...string) *minion {
	return &minion{world: w, id: id, service: "desk", zone: zone, labels: labels, room: room, guards: guards, addr: addr, control: control, state: "ready"}
}

// start begins a life of the minion.
func (m *minion) start() error {
	l, err := net.Listen("tcp", m.addr)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.addr = l.Addr().String()
	m.born = time.Now()
	m.fence, m.leaseEnd, m.lastEnd, m.sequence = 0, 0, 0, 0
	m.runs, m.blocked, m.ended = map[string]*minionRun{}, map[string]int{}, nil
	m.up, m.state = true, "ready"
	m.server = &http.Server{Handler: m}
	s, life := m.server, m.born
	m.mu.Unlock()
	go func() { _ = s.Serve(l) }()
	go m.tick(life)
	go m.beat(life)
	m.world.event("minion %s is up at %s, born %d", m.id, m.addr, life.UnixMilli())
	return nil
}

func (m *minion) clock() int64 { return time.Since(m.born).Milliseconds() }

func (m *minion) beatBody() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sequence++
	b, _ := json.Marshal(map[string]any{
		"service": m.service, "address": m.addr, "zone": m.zone, "version": "v1", "capacity": 8, "state": m.state, "cold_left_ms": 0,
		"room": map[string]int64{"cpu": m.room, "mem_mb": 64000, "gpu": 0}, "labels": m.labels, "clock_ms": m.clock(), "sequence": m.sequence, "born": m.born.UnixMilli(),
	})
	return b
}

// beat sends heartbeats until the life has ended.
func (m *minion) beat(life time.Time) {
	for m.lives(life) {
		_, _ = call(http.MethodPut, "http://"+m.control+"/instances/"+m.id, "", m.beatBody(), time.Second)
		time.Sleep(heartbeatInterval)
	}
}

func (m *minion) lives(life time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.up && m.born.Equal(life)
}

// tick ends runs in time.
func (m *minion) tick(life time.Time) {
	for m.lives(life) {
		m.mu.Lock()
		m.advance()
		m.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
}

// advance ends the runs that are due. The lock is held.
func (m *minion) advance() {
	now := time.Now()
	lapsed := m.clock() > m.leaseEnd
	for _, r := range m.runs {
		switch {
		case lapsed:
			m.end(r, "lapsed")
		case !r.stopAt.IsZero():
			if now.After(r.stopAt) {
				m.end(r, "stopped")
			}
		case r.spec.gang > 0:
			if how := m.world.gangs.check(r.task, r.number, r.spec, now); how != "" {
				m.end(r, how)
			}
		case r.spec.failAfter > 0 && now.Sub(r.started) >= r.spec.failAfter:
			m.end(r, "failed")
		case r.spec.lasts:
		case now.Sub(r.started)+r.done >= r.spec.work:
			how := "done"
			if r.spec.failFirst > 0 && m.world.oracle.failures(r.task) < r.spec.failFirst {
				how = "failed"
			}
			m.end(r, how)
		case r.spec.saves:
			m.save(r, now)
		}
	}
}

// save produces a new saved state with each checkpoint of work. The lock is held.
func (m *minion) save(r *minionRun, now time.Time) {
	worked := now.Sub(r.started) + r.done
	steps := worked / checkpoint
	if steps < 1 {
		return
	}
	saved := fmt.Sprintf("%08x%s", (steps * checkpoint).Milliseconds(), r.task)
	if saved != r.saved {
		r.saved = saved
	}
}

// end ends a run. The lock is held.
func (m *minion) end(r *minionRun, how string) {
	delete(m.runs, r.task)
	m.blocked[r.task] = max(m.blocked[r.task], r.number)
	m.lastEnd++
	m.ended = append(m.ended, minionEnd{m.lastEnd, r.task, r.number, how, r.saved})
	if r.spec.gang > 0 {
		m.world.gangs.leave(r.task, r.number, how)
	}
	m.world.oracle.ended(m, r.task, r.number, how)
}

type minionCall struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMS int64  `json:"deadline_ms"`
	Fence      int64  `json:"fencing_token"`
	Saved      string `json:"saved_state"`
	SeenUpto   int64  `json:"seen_upto"`
	WaitMS     int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (m *minion) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get("Expect-Instance"); id != "" && id != m.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	var c minionCall
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if m.world.holdsBack(m, r.URL.Path) {
		// The call gets no response. It is carried out late, in whatever life there is then.
		go func() {
			<-m.world.release
			m.mu.Lock()
			defer m.mu.Unlock()
			m.world.event("a call of %s for %s run %d, token %d, is carried out late", r.URL.Path, c.Task, c.Run, c.Fence)
			status, _ := m.carryOut(r.URL.Path, c)
			m.world.event("it ended with status %d", status)
		}()
		<-r.Context().Done()
		return
	}
	m.mu.Lock()
	life := m.born
	status, body := m.carryOut(r.URL.Path, c)
	m.mu.Unlock()
	if r.URL.Path == "/hold" && status == http.StatusOK {
		body = m.list(r, c, life)
	}
	if body == nil {
		panic(http.ErrAbortHandler)
	}
	b, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

// carryOut carries out a call. The lock is held.
func (m *minion) carryOut(path string, c minionCall) (int, map[string]any) {
	conflict := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"clock_ms": m.clock(), "reason": reason}
	}
	if !m.up {
		return http.StatusServiceUnavailable, nil
	}
	if c.Fence < m.fence {
		return conflict("fence")
	}
	m.fence = c.Fence
	m.advance()
	m.leaseEnd = max(m.leaseEnd, min(c.DeadlineMS, m.clock()+holdMax.Milliseconds()))
	switch path {
	case "/run-start":
		if r := m.runs[c.Task]; r != nil && r.number == c.Run {
			break
		}
		if c.Run <= m.blocked[c.Task] || m.runs[c.Task] != nil {
			return conflict("old")
		}
		if m.leaseEnd <= m.clock() {
			return conflict("late")
		}
		spec := parseSpec(c.Spec, stepOf(c.Task))
		if m.guards && m.used()+spec.cpu > m.room {
			return conflict("room")
		}
		r := &minionRun{task: c.Task, number: c.Run, spec: spec, started: time.Now()}
		if len(c.Saved) > 8 {
			ms, _ := strconv.ParseInt(c.Saved[:8], 16, 64)
			r.done, r.saved = time.Duration(ms)*time.Millisecond, c.Saved
		}
		m.runs[c.Task] = r
		if spec.gang > 0 {
			m.world.gangs.join(c.Task, c.Run, spec.gang)
		}
		m.world.oracle.started(m, c.Task, c.Run, c.Spec, c.Saved)
	case "/run-stop":
		m.blocked[c.Task] = max(m.blocked[c.Task], c.Run)
		if r := m.runs[c.Task]; r != nil && r.number <= c.Run && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(killGrace)
		}
	case "/hold":
		for len(m.ended) > 0 && m.ended[0].number <= c.SeenUpto {
			m.world.oracle.seen(m.ended[0])
			m.ended = m.ended[1:]
		}
	case "/pace":
	default:
		return http.StatusNotFound, map[string]any{}
	}
	return http.StatusOK, map[string]any{"clock_ms": m.clock()}
}

func (m *minion) used() int64 {
	n := int64(0)
	for _, r := range m.runs {
		n += r.spec.cpu
	}
	return n
}

// list waits for an end and returns both lists, or nil if the life has ended.
func (m *minion) list(r *http.Request, c minionCall, life time.Time) map[string]any {
	end := time.Now().Add(time.Duration(min(c.WaitMS, 2000)) * time.Millisecond)
	for {
		m.mu.Lock()
		if !m.up || !m.born.Equal(life) {
			m.mu.Unlock()
			return nil
		}
		m.advance()
		if len(m.ended) > 0 || !time.Now().Before(end) || r.Context().Err() != nil {
			break
		}
		m.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
	}
	defer m.mu.Unlock()
	running, finished := [][]any{}, [][]any{}
	names := make([]string, 0, len(m.runs))
	for name := range m.runs {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		u := m.runs[name]
		percent := int64(100)
		if !u.spec.lasts && u.spec.work > 0 {
			percent = min(99, 100*int64(time.Since(u.started)+u.done)/int64(u.spec.work))
		}
		running = append(running, []any{u.task, u.number, u.saved, percent, u.spec.cpu})
	}
	for _, e := range m.ended[:min(len(m.ended), 500)] {
		finished = append(finished, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return map[string]any{"clock_ms": m.clock(), "born": m.born.UnixMilli(), "running": running, "finished": finished}
}

func stepOf(task string) int {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return 0
	}
	n, _ := strconv.Atoi(parts[2])
	return n
}

// gangs knows which members of gangs run.
type gangs struct {
	mu   sync.Mutex
	sets map[string]*gangSet
}

type gangSet struct {
	size    int
	members map[string]bool
	first   time.Time
	full    time.Time
	broken  string
}

func gangKey(task string, run int) string {
	return task[:strings.LastIndexByte(task, '.')] + "@" + strconv.Itoa(run)
}

func (g *gangs) join(task string, run, size int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.sets[gangKey(task, run)]
	if s == nil {
		s = &gangSet{size: size, members: map[string]bool{}, first: time.Now()}
		g.sets[gangKey(task, run)] = s
	}
	s.members[task] = true
	if len(s.members) == s.size && s.full.IsZero() {
		s.full = time.Now()
	}
}

func (g *gangs) check(task string, run int, spec taskSpec, now time.Time) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.sets[gangKey(task, run)]
	switch {
	case s == nil:
		return ""
	case s.broken == "done":
		return "done"
	case s.broken != "":
		return "broken"
	case s.full.IsZero() && now.Sub(s.first) > gangWait:
		return "alone"
	case !s.full.IsZero() && now.Sub(s.full) >= spec.work:
		s.broken = "done"
		return "done"
	}
	return ""
}

func (g *gangs) leave(task string, run int, how string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if s := g.sets[gangKey(task, run)]; s != nil && s.broken == "" && how != "alone" {
		s.broken = how
	}
}

// crash ends the life of the minion without a word. Its address refuses connections until it
// starts again.
func (m *minion) crash() {
	m.mu.Lock()
	m.up = false
	s := m.server
	for _, r := range m.runs {
		m.world.oracle.ended(m, r.task, r.number, "crash")
	}
	m.runs = map[string]*minionRun{}
	m.mu.Unlock()
	_ = s.Close()
	m.world.event("minion %s crashes", m.id)
}

// runsTask reports whether a task runs on the minion whose name has a prefix.
func (m *minion) runsTask(prefix string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for task := range m.runs {
		if strings.HasPrefix(task, prefix) {
			return true
		}
	}
	return false
}
