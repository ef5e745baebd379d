// World plays a small deployment on loopback addresses: it starts hvgate and hvside as the
// platform does, and stands in for the store, the minions and the clients.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

const (
	heartbeatInterval = 1100 * time.Millisecond
	holdMax           = 10 * time.Second
	gangWait          = 3 * time.Second
	checkpoint        = 500 * time.Millisecond
	cancelBound       = 3 * time.Second
)

const settingsFormat = `node_name: %q
role: %q
machine_class: %q
ip: %q
zone: %q
region: "r"
listen_addrs: {front: "%s:8161", ready: "%s:8167", control: "%s:8166"}
port_range: [7720, 7735]
app: %q
limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1100
orders: "request"
platform: {address: %q, form: "log", writes_per_s: 800, reads_per_s: 2000, parts: 12, append_ms: 2.0, record_bytes: 262144, call_bytes: 2097152, keep_s: 300, part_mb: 200}
timing_bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, hold_max_ms: 10000, kill_grace_ms: 200, gang_wait_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, checkpoint_s: 0.5, restore_ms: 100}
`

type process struct {
	name, program, settings, log string

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *process) start() error {
	out, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd = exec.Command(p.program, "--platform")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HIBISCUSVANE_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	return p.cmd.Start()
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil && p.cmd.Process != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

func (p *process) wait() {
	p.mu.Lock()
	c := p.cmd
	p.mu.Unlock()
	_ = c.Wait()
}

type world struct {
	dir       string
	subnet    string
	record    *os.File
	began     time.Time
	store     *platformtest.Store
	oracle    *oracle
	gangs     *gangs
	gates     []*process
	sides     []*process
	minions   []*minion
	servers   []*http.Server
	links     []net.Listener
	storeAddr string

	// release lets the call that is held back go on.
	release chan struct{}

	mu  sync.Mutex
	rng *rand.Rand
	// holdNext is true until the next start call is held back, of the minion heldBy, at heldAt.
	holdNext bool
	heldBy   *minion
	heldAt   time.Time
}

func (w *world) event(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// holdsBack reports whether a call to a minion is held back.
func (w *world) holdsBack(m *minion, path string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.holdNext || path != "/run-start" {
		return false
	}
	w.holdNext, w.heldBy, w.heldAt = false, m, time.Now()
	return true
}

// held returns the minion of the call that is held back, and since when.
func (w *world) held() (*minion, time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.heldBy, w.heldAt
}

// options describe the deployment.
type options struct {
	gates, sides int
	guards       bool
	room         int64
	labels       func(i int) []string
	// links holds the rates in Mbit/s of the links between gates and the store; 0 is unlimited.
	links []int64
	// gateZones are the zones of the gates; z1 where there is none.
	gateZones []string
	catalog   string
}

func newWorld(o options) (*world, error) {
	dir, err := os.MkdirTemp("", "world")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(recordPath())
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, record: record, began: time.Now(), store: platformtest.NewStore(), release: make(chan struct{}), gangs: &gangs{sets: map[string]*gangSet{}}, rng: rand.New(rand.NewSource(seed()))}
	w.oracle = newOracle(w)
	go w.stopOnSignal()
	if w.subnet, err = freeSubnet(); err != nil {
		return w, err
	}
	storeAddr, err := w.serve(w.ip(250)+":0", w.store)
	w.storeAddr = storeAddr
	if err != nil {
		return w, err
	}
	w.store.Put("keyed.op", "config", []byte(o.catalog))
	for i := range o.gates {
		addr := storeAddr
		if i < len(o.links) && o.links[i] > 0 {
			if addr, err = w.serveSlowLink(w.ip(251)+":0", storeAddr, o.links[i]); err != nil {
				return w, err
			}
		}
		zone := "z1"
		if i < len(o.gateZones) {
			zone = o.gateZones[i]
		}
		if err := w.addProcess(&w.gates, fmt.Sprintf("front-%s-%d", zone, i+1), zone, "gate", "front", w.ip(i+1), "", addr); err != nil {
			return w, err
		}
	}
	for i := range o.sides {
		ip := w.ip(100 + i)
		labels := []string{"a", fmt.Sprintf("r1-%d", i/3+1)}
		if o.labels != nil {
			labels = o.labels(i)
		}
		m := newMinion(w, fmt.Sprintf("i-%08x", 0x100+i), "z1", ip+":8166", w.ip(200+i)+":0", o.room, o.guards, labels...)
		if err := m.start(); err != nil {
			return w, err
		}
		w.minions = append(w.minions, m)
		if err := w.addProcess(&w.sides, fmt.Sprintf("side-z1-%d", i+1), "z1", "side", "side", ip, m.addr, storeAddr); err != nil {
			return w, err
		}
	}
	return w, nil
}

func (w *world) ip(i int) string { return fmt.Sprintf("%s.%d", w.subnet, i) }

func (w *world) serve(addr string, h http.Handler) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }()
	return l.Addr().String(), nil
}

func (w *world) addProcess(list *[]*process, name, zone, role, class, ip, app, storeAddr string) error {
	p := &process{name: name, program: filepath.Join("target", "hv"+role), settings: filepath.Join(w.dir, name+".yaml"), log: filepath.Join(w.dir, name+".log")}
	text := fmt.Sprintf(settingsFormat, name, role, class, ip, zone, ip, ip, ip, app, storeAddr)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		return err
	}
	*list = append(*list, p)
	return p.start()
}

// stop ends all processes. It removes the folder unless the logs are wanted.
func (w *world) stop() {
	for _, p := range append(append([]*process{}, w.gates...), w.sides...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		p.wait()
	}
	for _, s := range w.servers {
		_ = s.Close()
	}
	for _, l := range w.links {
		_ = l.Close()
	}
	if to := os.Getenv("KEEP_LOGS"); to != "" {
		_ = os.Rename(w.dir, to)
		return
	}
	_ = os.RemoveAll(w.dir)
}

// stopOnSignal ends all processes if this one is told to stop.
func (w *world) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	w.stop()
	os.Exit(couldNot)
}

// ready waits until a gate is ready.
func (w *world) ready(gate int) error {
	for range 200 {
		if status, _ := call(http.MethodGet, "http://"+w.ip(gate+1)+":8167/ready", "", nil, time.Second); status == http.StatusOK {
			return nil
		}
		time.Sleep(50 * time.Millisecond)
	}
	return errors.New("gate is not ready")
}

// call sends a request and returns the status, or 0 without a response.
func call(method, url, host string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	r.Host = host
	r.Close = true
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", "3000")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, b
}

// client sends a request of a client to a gate and records it.
func (w *world) client(gate int, method, id string, body []byte, timeout time.Duration) (int, string) {
	w.event("client sends %s %s to gate %d", method, id, gate+1)
	status, b := call(method, "http://"+w.ip(gate+1)+":8161/q/"+id, "h.example", body, timeout)
	w.event("client gets %d %s for %s %s from gate %d", status, bytes.TrimSpace(b), method, id, gate+1)
	var state struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal(b, &state)
	return status, state.State
}

// body returns the body of a submission.
func (j *jobRecord) body() []byte {
	steps := make([]map[string]any, 0, len(j.steps))
	for _, s := range j.steps {
		out := map[string]any{}
		for k, v := range s {
			if k != "max" {
				out[k] = v
			}
		}
		steps = append(steps, out)
	}
	m := map[string]any{"spec": j.spec, "steps": steps}
	if j.times > 0 {
		m["times"], m["initial_delay_ms"], m["interval_ms"] = j.times, j.first, j.interval
	}
	b, _ := json.Marshal(m)
	return b
}

// owner returns the index of the gate that last claimed the cell, or -1, by the record in the
// store's topic.
func (w *world) owner() int {
	status, b := call(http.MethodGet, "http://"+w.storeAddr+"/log-newest?topic=keyed.cell&part=0", "", nil, time.Second)
	if status != http.StatusOK {
		return -1
	}
	var page struct {
		Items []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
		} `json:"items"`
	}
	if json.Unmarshal(b, &page) != nil {
		return -1
	}
	for _, it := range page.Items {
		if it.Key != "owner" {
			continue
		}
		for i, p := range w.gates {
			if bytes.Contains(it.Value, []byte(`"`+p.name+`"`)) {
				return i
			}
		}
	}
	return -1
}

func freeSubnet() (string, error) {
	r := rand.New(rand.NewSource(time.Now().UnixNano()))
	for range 50 {
		s := fmt.Sprintf("127.%d.%d", 20+r.Intn(200), r.Intn(250))
		l, err := net.Listen("tcp", s+".1:7799")
		if err != nil {
			continue
		}
		_ = l.Close()
		return s, nil
	}
	return "", errors.New("no free loopback addresses")
}
