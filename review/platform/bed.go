package main

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hibiscusvane.example/hibiscusvane/platform/platformtest"
)

const maxAttempts = 3

const settingsText = `node_name: %q
role: %q
machine_class: %q
ip: %q
zone: "z"
region: "r"
listen_addrs: {front: "%s:8161", ready: "%s:8167", control: "%s:8166"}
port_range: [7720, 7735]
limits: {cpu_share: 0.4, cpu_cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
heartbeat_ms: 1100
timing_bounds: {contact_ms: 3000, ack_ms: 4000, drain_ms: 2000, grace_s: 6, hold_max_ms: 10000, kill_grace_ms: 900, gang_wait_ms: 3000, cancel_ms: 3000, visible_ms: 3000, early_ms: 250, finish_s: 14, status_s: 120, checkpoint_s: 2, restore_ms: 250}
orders: "request"
app: %q
hint: %q
platform: {address: %q, form: "log", writes_per_s: 800, reads_per_s: 2000, parts: 12, append_ms: 2.0, record_bytes: 262144, call_bytes: 2097152, keep_s: 300}
`

const configText = `{"version":1,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","type":"unsafe","timeout_ms":3000,"service":"desk","max_attempts":3,"priority":0,"stretch":1.5,"slo_ms":250}],
"services":[{"name":"desk","health_path":"/health","max_conns":64,"protocol":"h1","tls":false,"admission_control":%v,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`

// process is a process of the system with a proxy before the store.
type process struct {
	bed     *bed
	name    string
	program string
	ip      string
	config  string
	logPath string
	store   *proxy

	// restarting is held from a stop to the start that follows.
	restarting sync.Mutex

	mu  sync.Mutex
	cmd *exec.Cmd
}

func (p *process) start() {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		fail("%v", err)
	}
	defer out.Close()
	p.cmd = exec.Command(p.program, "--platform")
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HIBISCUSVANE_CONFIG=" + p.config}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		fail("%v", err)
	}
	p.bed.log("process %s starts", p.name)
}

func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.bed.log("process %s gets %v", p.name, s)
		_ = p.cmd.Process.Signal(s)
	}
}

// restart ends a process with a signal, and starts it again after a time.
func (p *process) restart(s syscall.Signal, down time.Duration) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.signal(syscall.SIGCONT)
	p.signal(s)
	_ = p.cmd.Wait()
	time.Sleep(down)
	p.start()
}

// pause stops a process for a time.
func (p *process) pause(d time.Duration) {
	p.restarting.Lock()
	defer p.restarting.Unlock()
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

type bed struct {
	dir       string
	net       int
	store     *platformtest.Store
	storeAddr string
	lostUntil atomic.Int64
	lateUntil atomic.Int64
	gates     []*process
	sides     []*process
	minions   []*minion
	gangs     *gangs
	oracle    *oracle
	random    *rand.Rand
	// savedBytes is the length of saved states.
	savedBytes int
	guards     bool
	closers    []func()
	// hint is the address of the advice service.
	hint string
}

func (b *bed) log(format string, args ...any) { b.oracle.note(format, args...) }

func (b *bed) stopTime() time.Duration {
	return time.Duration(rand.Int64N(int64(killGrace)))
}

// present is the bed that runs, or nil.
var present *bed

// fail ends the run if the case cannot run.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	if present != nil {
		present.close()
	}
	os.Exit(2)
}

// closeAtSignal ends everything if the run is told to stop.
func (b *bed) closeAtSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		fail("the run was told to stop")
	}()
}

// maxProcesses is the greatest number of gates or of sides in a case.
const maxProcesses = 16

// isFree reports whether nothing listens in a part of the loopback network.
func isFree(n int) bool {
	for class := range 2 {
		for host := range maxProcesses {
			for _, port := range []int{7720, 7799, 8161, 8165, 8166, 8167} {
				l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:%d", n, class, host+1, port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

// newBed starts a small deployment.
func newBed(programs, record string, seed uint64, gateCount, sideCount int, guards bool) *bed {
	f, err := os.Create(record)
	if err != nil {
		fail("%v", err)
	}
	b := &bed{gangs: &gangs{sets: map[string]*gangRun{}}, random: rand.New(rand.NewPCG(seed, 1)), guards: guards}
	b.oracle = newOracle(b, f)
	b.dir, err = os.MkdirTemp("", "review-")
	if err != nil {
		fail("%v", err)
	}
	for b.net = 1 + rand.IntN(200); ; b.net = 1 + rand.IntN(240) {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.250:8160", b.net))
		if err == nil && isFree(b.net) {
			b.closers = append(b.closers, func() { _ = l.Close() })
			break
		}
	}
	present = b
	b.closeAtSignal()
	b.store = platformtest.NewStore()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.200:8169", b.net))
	if err != nil {
		fail("%v", err)
	}
	b.storeAddr = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(b.serveStore)) }()
	b.hint = b.serveAdviser()
	b.store.Put("keyed.op", "config", fmt.Appendf(nil, configText, guards))
	for i := range gateCount {
		b.gates = append(b.gates, b.newProcess(programs, "front", i, ""))
	}
	for i := range sideCount {
		ip := fmt.Sprintf("127.%d.1.%d", b.net, i+1)
		m := &minion{bed: b, service: "desk", name: fmt.Sprint("m", i), addr: ip + ":8165", control: ip + ":8166", rack: fmt.Sprintf("r1-%d", 1+i/3), labels: []string{"a"}, room: room{CPU: 8000, MemMB: 64000}, guards: guards}
		if i%2 == 1 {
			m.labels = append(m.labels, "odd")
		}
		m.labels = append(m.labels, "only-"+m.name)
		b.minions = append(b.minions, m)
		b.sides = append(b.sides, b.newProcess(programs, "side", i, m.addr))
	}
	for _, p := range append(append([]*process{}, b.gates...), b.sides...) {
		p.start()
	}
	for _, m := range b.minions {
		if err := m.start(); err != nil {
			fail("%v", err)
		}
	}
	return b
}

func (b *bed) newProcess(programs, class string, i int, app string) *process {
	n, program := 0, "hvgate"
	if class == "side" {
		n, program = 1, "hvside"
	}
	ip := fmt.Sprintf("127.%d.%d.%d", b.net, n, i+1)
	p := &process{bed: b, name: fmt.Sprintf("%s-%d", class, i), program: filepath.Join(programs, program), ip: ip, store: newProxy(b.storeAddr)}
	p.config, p.logPath = filepath.Join(b.dir, p.name+".yaml"), filepath.Join(b.dir, p.name+".log")
	text := fmt.Sprintf(settingsText, p.name, class, class, ip, ip, ip, ip, app, b.hint, p.store.addr())
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		fail("%v", err)
	}
	return p
}

// serveStore serves the store, with writes whose answers are lost and that are done late.
func (b *bed) serveStore(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/log-append" && !fitsLimits(r) {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if r.URL.Path == "/log-append" && time.Now().UnixNano() < b.lostUntil.Load() && rand.Float64() < 0.35 {
		b.lateAppend(r)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	b.store.ServeHTTP(w, r)
}

// Limits of the store, as in the settings.
const (
	recordBytes = 262144
	callBytes   = 2097152
)

// fitsLimits reports whether the records of an append are within the limits of the store.
func fitsLimits(r *http.Request) bool {
	body, err := io.ReadAll(r.Body)
	if err != nil || len(body) > callBytes {
		return false
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > recordBytes || len(body) < 4+n {
			return false
		}
		body = body[4+n:]
	}
	return true
}

// ready waits until all gates are ready.
func (b *bed) ready() {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		n := 0
		for _, g := range b.gates {
			if status, _ := call(context.Background(), http.MethodGet, "http://"+g.ip+":8167/ready", nil, time.Second); status == http.StatusOK {
				n++
			}
		}
		if n == len(b.gates) && b.allRun() {
			time.Sleep(3 * time.Second)
			return
		}
	}
	fail("the system is not ready")
}

// close ends everything that the bed started.
func (b *bed) close() {
	for _, p := range append(append([]*process{}, b.gates...), b.sides...) {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if p.cmd != nil {
			_ = p.cmd.Wait()
		}
	}
	for _, m := range b.minions {
		m.crash()
	}
	for _, c := range b.closers {
		c()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("logs in", b.dir)
	}
}

// allRun reports whether all processes of the system run.
func (b *bed) allRun() bool {
	for _, p := range append(append([]*process{}, b.gates...), b.sides...) {
		if p.cmd.Process.Signal(syscall.Signal(0)) != nil {
			return false
		}
	}
	return true
}
