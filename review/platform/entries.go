package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// adviser is a stand-in of the advice service. Its tickets name the step, the minion and the
// time at which they expire.
type adviser struct {
	turn sync.Mutex
}

const (
	decideTime   = 50 * time.Millisecond
	periodTime   = 5 * time.Millisecond
	validityTime = 1500 * time.Millisecond
)

func mayRun(step, id string) bool {
	h := fnv.New32a()
	fmt.Fprint(h, step, id)
	return h.Sum32()%2 == 0 || id == "i-m0"
}

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.turn.Lock()
	time.Sleep(decideTime + time.Duration(len(q.Workers))*periodTime)
	a.turn.Unlock()
	good := [][]string{}
	for _, id := range q.Workers {
		if mayRun(q.Step, id) {
			good = append(good, []string{id, fmt.Sprintf("%s/%s/%d", q.Step, id, time.Now().Add(validityTime).UnixMilli())})
		}
	}
	b, _ := json.Marshal(map[string]any{"good": good, "validity_ms": validityTime.Milliseconds()})
	_, _ = w.Write(b)
}

// serveAdviser starts the advice service and returns its address.
func (b *bed) serveAdviser() string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.201:8169", b.net))
	if err != nil {
		fail("%v", err)
	}
	go func() { _ = http.Serve(l, &adviser{}) }()
	return l.Addr().String()
}

// waitAll waits until all jobs are complete.
func (b *bed) waitAll(jobs []*job, limit time.Duration) {
	open := len(jobs)
	for end := time.Now().Add(limit); open > 0 && time.Now().Before(end); time.Sleep(time.Second) {
		open = 0
		for i, j := range jobs {
			if j.state != "complete" {
				b.query(j, i%3, true)
			}
			if j.state != "complete" {
				open++
			}
		}
	}
	b.oracle.mu.Lock()
	defer b.oracle.mu.Unlock()
	if open > 0 {
		b.oracle.broke("LOST", "%d of %d accepted jobs are not complete after %v", open, len(jobs), limit)
	}
}

// someJobs hands jobs in.
func (b *bed) someJobs(n int, pause time.Duration) (out []*job) {
	for i := range n {
		j := &job{id: jobID("a", i), Spec: "some", Steps: []step{
			{Count: 6, CPU: 900, MemMB: 100, EstimateMS: 800, work: 800 * time.Millisecond},
			{Count: 3, CPU: 900, MemMB: 100, EstimateMS: 800, After: []int{0}, work: 800 * time.Millisecond},
		}}
		if b.submit(j, i) {
			out = append(out, j)
		}
		time.Sleep(pause)
	}
	return out
}

// hints has a queue with hint, and kills the gates in turn.
func hints(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, 4, true)
	defer b.close()
	config := `{"version":2,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","type":"unsafe","timeout_ms":3000,"service":"desk","max_attempts":3,"priority":0,"stretch":1.5,"slo_ms":250,"hint":{"decide_ms":50,"period_ms":5,"validity_ms":1500}}],
"services":[{"name":"desk","admission_control":true}],"limits":{"max_body_bytes":262144}}`
	b.store.Put("keyed.op", "config", []byte(config))
	for _, m := range b.minions {
		m.tickets = true
	}
	b.ready()
	go func() {
		for i := 0; i < 6 && o.trouble; i++ {
			b.gates[i%3].restart(syscall.SIGKILL, time.Second)
			time.Sleep(2 * time.Second)
		}
	}()
	b.waitAll(b.someJobs(15, time.Second), 45*time.Second)
	return b.oracle.breaks
}

// drop drops the queue of accepted jobs from the configuration, replaces the owner, and
// brings the queue back.
func drop(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, 4, true)
	defer b.close()
	b.ready()
	jobs := b.someJobs(12, 50*time.Millisecond)
	if o.trouble {
		b.log("the queue is dropped")
		b.store.Put("keyed.op", "config", []byte(`{"version":5,"routes":[{"name":"other","host":"h.example","path_prefix":"/o/","service":"desk","max_attempts":1,"stretch":1.5,"slo_ms":250}],"services":[{"name":"desk","admission_control":true}],"limits":{"max_body_bytes":262144}}`))
		time.Sleep(time.Second)
		for _, g := range b.gates {
			go g.restart(syscall.SIGKILL, time.Second)
		}
		time.Sleep(20 * time.Second)
		b.oracle.mu.Lock()
		for _, j := range jobs {
			if len(j.done) < 9 {
				b.oracle.broke("LOST", "job %s of the dropped queue has %d of 9 tasks done", j.id, len(j.done))
			}
		}
		b.oracle.mu.Unlock()
		b.store.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":9,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","service":"desk","max_attempts":3,"stretch":1.5,"slo_ms":250}],"services":[{"name":"desk","admission_control":true}],"limits":{"max_body_bytes":262144}}`))
		time.Sleep(3 * time.Second)
	}
	b.waitAll(jobs, 30*time.Second)
	return b.oracle.breaks
}

// stops stops the gates while the store does not answer. They must end within grace_s.
func stops(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, 4, true)
	defer b.close()
	b.ready()
	jobs := b.someJobs(5, 100*time.Millisecond)
	for _, g := range b.gates {
		g.store.setCut(o.trouble)
	}
	time.Sleep(1500 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for i := 0; ctx.Err() == nil; i++ {
			go b.submit(&job{id: jobID("d", i), Spec: "x", Steps: []step{{Count: 1, CPU: 100, MemMB: 10, work: 100 * time.Millisecond}}}, i)
			time.Sleep(100 * time.Millisecond)
		}
	}()
	var all sync.WaitGroup
	for _, g := range b.gates {
		all.Go(func() {
			began := time.Now()
			g.signal(syscall.SIGTERM)
			_ = g.cmd.Wait()
			took := time.Since(began)
			b.log("%s ended after %v", g.name, took)
			if took > 6*time.Second {
				b.oracle.mu.Lock()
				b.oracle.broke("LOST", "%s had not ended by itself %v after SIGTERM", g.name, took)
				b.oracle.mu.Unlock()
			}
		})
	}
	all.Wait()
	cancel()
	for _, g := range b.gates {
		g.store.setCut(false)
		g.start()
	}
	time.Sleep(4 * time.Second)
	b.waitAll(jobs, 30*time.Second)
	return b.oracle.breaks
}

// evacuation empties the zone of all minions and takes it back while the owner is replaced.
func evacuation(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, 4, true)
	defer b.close()
	b.ready()
	jobs := b.someJobs(6, 50*time.Millisecond)
	if o.trouble {
		b.store.Put("keyed.op", "evacuate/z", []byte(`{"zone":"z"}`))
		time.Sleep(time.Second)
		for _, g := range b.gates {
			go g.restart(syscall.SIGKILL, time.Second)
		}
		time.Sleep(8 * time.Second)
		b.store.Put("keyed.op", "evacuate/z", nil)
	}
	b.waitAll(jobs, 30*time.Second)
	return b.oracle.breaks
}

// moved moves the queue of accepted jobs to another service, whose minions are the last two,
// and lowers its attempts.
func moved(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, 4, true)
	defer b.close()
	for _, m := range b.minions[2:] {
		m.mu.Lock()
		m.service = "bench"
		m.mu.Unlock()
	}
	b.ready()
	jobs := b.someJobs(20, 50*time.Millisecond)
	if o.trouble {
		b.log("the queue moves to another service")
		b.store.Put("keyed.op", "config", []byte(`{"version":5,"routes":[{"name":"q","host":"h.example","path_prefix":"/q/","service":"bench","max_attempts":2,"stretch":1.5,"slo_ms":250}],"services":[{"name":"desk","admission_control":true},{"name":"bench","admission_control":true}],"limits":{"max_body_bytes":262144}}`))
		time.Sleep(configTime)
		for _, m := range b.minions[:2] {
			m.moved.Store(true)
		}
	}
	b.waitAll(jobs, 50*time.Second)
	return b.oracle.breaks
}

// configTime is config_apply_ms.
const configTime = 2 * time.Second
