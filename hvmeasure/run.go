package hvmeasure

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// Usage reports lag by 30 s; a host sends one every 5 s.
	reportLag   = 30 * time.Second
	reportEvery = 5 * time.Second
	// reportNoise is the deviation of the logarithm of a reported slowdown.
	reportNoise = 0.15
	// lapse is the lease of 10 s with its margin.
	lapse = 10*time.Second + 500*time.Millisecond
	// targetFactor makes the target latency of a service from its unloaded p99.
	targetFactor = 2
	triesPerTick = 64
)

// metrics are the results of one run by name.
type metrics map[string]float64

// job is the truth about one task.
type job struct {
	task       hv.Task
	truth      *program
	total      time.Duration
	done       time.Duration // run time saved in a checkpoint
	bad        bool
	canceled   bool
	blamed     bool
	impossible bool
	ended      bool
	waiting    time.Time // since when it waits for a start
	attempts   int
	failedOn   []string
}

type run struct {
	c         Case
	d         Deployment
	a         *arm
	clock     *manualClock
	start     time.Time
	random    *rand.Rand
	fleet     []*host
	programs  []program
	jobs      map[string]*job
	order     []*job
	latencies histogram
	m         metrics
	startsNow int
}

type builder func(Deployment, hv.Clock, uint64, hv.ViolationReporter) *arm

// Run measures one case once.
func Run(c Case, d Deployment, build builder, seed uint64) metrics {
	clock := &manualClock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	random := rand.New(rand.NewPCG(seed, 1))
	r := &run{
		c: c, d: d, clock: clock, start: clock.now, random: random, fleet: newFleet(d, rand.New(rand.NewPCG(seed, 2))),
		programs: programs(), jobs: map[string]*job{}, m: metrics{},
	}
	r.a = build(d, clock, seed, func(int, string) { r.m["violations"]++ })
	if c.Setup != nil {
		c.Setup(r)
	}
	r.submitStanding()
	for r.elapsed() < c.Duration {
		r.tick()
	}
	r.finish()
	return r.m
}

func (r *run) elapsed() time.Duration { return r.clock.now.Sub(r.start) }

func (r *run) tick() {
	r.clock.now = r.clock.now.Add(time.Second)
	if r.c.Event != nil {
		r.c.Event(r, r.elapsed())
	}
	r.arrivals()
	r.reports()
	for _, h := range r.fleet {
		if h.up {
			r.a.placer.SetHost(h.view(r.a, r.clock.now))
		}
	}
	r.place()
	for _, h := range r.fleet {
		r.progress(h)
		r.requests(h)
		r.check(h)
	}
}

// load is the load of the services, 0.1 to 0.9, with a period of 10 minutes.
func (r *run) load() float64 { return shape(r.elapsed()) }

// submitStanding submits the watchers, which must never lapse.
func (r *run) submitStanding() {
	for i := range 12 {
		r.submit(&job{
			task:  hv.Task{ID: fmt.Sprintf("watcher-%d", i), Kind: hv.Watcher, Program: "watch", Need: hv.Resources{Processors: 250, Memory: 500 * hv.MB}},
			truth: &program{name: "watch", runtime: 1, size: 1}, total: 1 << 60,
		})
	}
}

const meanBatch = 2 * 120 // cores times seconds of the mean job

func (r *run) arrivals() {
	cores := float64(hostCount)*float64(r.d.HostCapacity.Processors)/1000 - float64(hostCount+hostCount/2)*serviceProcessors/1000
	rate := r.c.BatchLoad * cores / meanBatch
	for t := r.random.ExpFloat64() / rate; t < 1; t += r.random.ExpFloat64() / rate {
		r.submit(r.newJob())
	}
	if r.random.Float64() < 0.1 {
		j := r.newJob()
		j.task.Urgent, j.impossible = true, false
		j.task.Need = hv.Resources{Processors: 500, Memory: hv.GB}
		r.submit(j)
	}
}

// newJob draws a batch job: 1 to 3 cores, 2 to 10 GB, mean 120 s.
func (r *run) newJob() *job {
	p := &r.programs[r.random.IntN(len(r.programs))]
	declared := time.Duration((30 + r.random.ExpFloat64()*90) * float64(time.Second))
	total := time.Duration(float64(declared) * p.runtime * (0.8 + 0.4*r.random.Float64()))
	j := &job{truth: p, total: total, bad: r.random.Float64() < r.c.FaultyJobs}
	j.task = hv.Task{
		ID: "job-" + strconv.Itoa(len(r.order)), Kind: hv.Job, Program: p.name, Runtime: hv.Duration(declared),
		Need:     hv.Resources{Processors: 1000 + int64(r.random.IntN(3))*1000, Memory: 2*hv.GB + hv.Size(r.random.IntN(9))*hv.GB},
		Deadline: r.clock.now.Add(time.Duration(float64(total) * (2 + 4*r.random.Float64()))),
	}
	if r.random.Float64() < r.c.OversizedJobs {
		j.task.Need.Processors, j.impossible = r.d.HostCapacity.Processors+1000, true
	}
	return j
}

func (r *run) submit(j *job) {
	j.waiting = r.clock.now
	r.jobs[j.task.ID] = j
	r.order = append(r.order, j)
	r.m["submitted core-h"] += j.total.Hours() * float64(j.task.Need.Processors) / 1000
	r.push(j)
}

func (r *run) push(j *job) {
	if r.a.queue.Push(j.task) != nil {
		r.m["refused"]++
	}
}

// place is one round of the placement loop.
func (r *run) place() {
	var back []hv.Task
	r.startsNow = 0
	for full := 0; full < triesPerTick; {
		t, ok := r.a.queue.Pop(r.clock.now)
		if !ok {
			break
		}
		j := r.jobs[t.ID]
		if j.ended {
			continue
		}
		t = r.a.correct(t)
		name, err := r.a.placer.Place(t, j.failedOn...)
		switch {
		case err == nil:
			r.begin(j, name, t.Need)
		case hv.KindOf(err) == hv.NotFound:
			j.ended = true
			r.m["impossible found"]++
		default:
			full++
			back = append(back, j.task)
		}
	}
	r.a.queue.Return(back)
	r.m["starts in 1 s"] = max(r.m["starts in 1 s"], float64(r.startsNow))
}

func (r *run) begin(j *job, name string, commit hv.Resources) {
	j.attempts++
	r.startsNow++
	r.m["starts"]++
	if j.canceled {
		r.m["canceled starts"]++
	}
	if j.impossible {
		r.m["impossible starts"]++
	}
	if j.task.Urgent || j.task.Kind == hv.Watcher {
		r.m["urgent start s"] = max(r.m["urgent start s"], r.clock.now.Sub(j.waiting).Seconds())
	}
	h := r.host(name)
	left := j.total - j.done
	if h.broken {
		left = 2 * time.Second
	}
	h.tasks = append(h.tasks, &running{
		RunningAttempt: hv.RunningAttempt{
			Attempt: hv.Attempt{Task: j.task.ID, Number: j.attempts}, Task: j.task, Committed: commit,
			State: hv.StateRunning, Share: 1000,
		},
		truth: j.truth, left: left, total: left,
	})
}

func (r *run) host(name string) *host {
	for _, h := range r.fleet {
		if h.Name == name {
			return h
		}
	}
	return nil
}

// progress advances the tasks of a host by one second.
func (r *run) progress(h *host) {
	if !h.up {
		return
	}
	speed := 1 / h.pressure()
	for _, t := range append([]*running(nil), h.tasks...) {
		step := speed * float64(t.Share) / 1000
		t.left -= time.Duration(step * float64(time.Second))
		t.work += step * float64(t.Task.Need.Processors) / 1000
		if t.since += time.Second; t.since >= checkpointEvery && !h.broken {
			t.since, t.checkpoint = 0, t.work
			t.Checkpoint = strconv.FormatFloat(t.work, 'f', 0, 64)
			r.jobs[t.Task.ID].done = r.jobs[t.Task.ID].total - t.left
		}
		j := r.jobs[t.Task.ID]
		switch {
		case h.broken || (j.bad && t.total-t.left > 5*time.Second):
			if t.total-t.left >= 2*time.Second {
				r.fail(h, t)
			}
		case t.left <= 0:
			r.complete(h, t)
		}
	}
	for h.used().Memory > h.Capacity.Memory && len(h.tasks) > 0 {
		r.m["out of memory"]++
		r.fail(h, h.tasks[len(h.tasks)-1])
	}
}

func (r *run) drop(h *host, t *running) {
	for i := range h.tasks {
		if h.tasks[i] == t {
			h.tasks = append(h.tasks[:i], h.tasks[i+1:]...)
			break
		}
	}
	task := t.Task
	task.Need = t.Committed
	r.a.placer.Release(task, h.Name)
}

func (r *run) complete(h *host, t *running) {
	r.drop(h, t)
	j := r.jobs[t.Task.ID]
	j.ended = true
	r.a.health.Record(r.clock.now, h.Name, h.Rack, t.Task.ID, true)
	r.a.history.ObserveRuntime(t.Task, j.total)
	r.a.history.ObserveUsage(t.Task, hv.Resources{
		Processors: int64(float64(t.Task.Need.Processors) * t.truth.size),
		Memory:     hv.Size(float64(t.Task.Need.Memory) * t.truth.size),
	})
	r.m["batch core-h"] += j.total.Hours() * float64(t.Task.Need.Processors) / 1000
	if r.clock.now.After(t.Task.Deadline) {
		r.m["late"]++
	}
	r.m["completed"]++
}

func (r *run) fail(h *host, t *running) {
	r.drop(h, t)
	j := r.jobs[t.Task.ID]
	r.a.health.Record(r.clock.now, h.Name, h.Rack, t.Task.ID, false)
	r.m["failed attempts"]++
	r.m["lost core-h"] += (t.work - t.checkpoint) / 3600
	j.failedOn = append(j.failedOn, h.Name)
	if t.Task.Kind == hv.Job && r.a.health.Faulty(t.Task.ID) {
		j.ended = true
		if j.bad {
			r.m["bad jobs found"]++
			r.m["attempts for bad jobs"] += float64(j.attempts)
		} else {
			j.blamed = true
			r.m["good jobs blamed"]++
		}
		return
	}
	j.waiting = r.clock.now
	r.push(j)
}

// lose puts the tasks of a dead host back into the queue.
func (r *run) lose(h *host) {
	for len(h.tasks) > 0 {
		t := h.tasks[0]
		r.drop(h, t)
		r.m["lost core-h"] += (t.work - t.checkpoint) / 3600
		j := r.jobs[t.Task.ID]
		j.waiting = r.clock.now
		r.push(j)
	}
}

func (r *run) evict(h *host, t *running) {
	r.drop(h, t)
	r.m["evictions"]++
	if r.c.RestoredAt > 0 && r.elapsed() > r.c.RestoredAt && r.elapsed() < r.c.RestoredAt+2*time.Minute {
		r.m["evictions after return"]++
	}
	r.m["lost core-h"] += (t.work - t.checkpoint) / 3600
	r.push(r.jobs[t.Task.ID])
}

// requests runs one second of the upstreams of a host.
func (r *run) requests(h *host) {
	if !h.up {
		return
	}
	rate := 60 + 80*r.load()
	from := float64(r.elapsed().Milliseconds())
	for _, u := range h.upstreams {
		u.second(from, rate, h.stretch(u.service, r.load()), &r.latencies)
	}
	if r.elapsed()%reportEvery != 0 {
		return
	}
	for _, u := range h.upstreams {
		noise := reportNoise * r.random.NormFloat64()
		slowdown := u.report() / (targetFactor * unloadedP99) * (1 + max(noise, -0.5))
		h.reports = append(h.reports, report{r.clock.now, u.service, slowdown, h.share})
	}
}

// reports delivers what was reported 30 s ago.
func (r *run) reports() {
	for i, h := range r.fleet {
		worst := -1.0
		for len(h.reports) > 0 && r.clock.now.Sub(h.reports[0].time) >= reportLag {
			p := h.reports[0]
			h.reports = h.reports[1:]
			worst = max(worst, p.slowdown)
			r.a.placer.Observe(hv.InterferenceSample{Host: h.Name, Service: p.service, Slowdown: p.slowdown, Time: p.time, Share: p.share})
		}
		if worst >= 0 && h.up {
			r.guard(h, r.a.guards[i], worst)
		}
	}
}

func (r *run) guard(h *host, g hv.Guard, slowdown float64) {
	tasks := make([]hv.RunningAttempt, len(h.tasks))
	for i, t := range h.tasks {
		tasks[i] = t.RunningAttempt
	}
	for _, action := range g.Decide(r.clock.now, slowdown, tasks) {
		for _, t := range h.tasks {
			if t.Attempt != action.Attempt {
				continue
			}
			if action.Share == 0 {
				r.evict(h, t)
				break
			}
			t.Share, h.share = action.Share, action.Share
			r.m["throttles"]++
			break
		}
	}
	if s, ok := g.(interface{ Share() int }); ok {
		h.share = s.Share()
	}
}

// check compares the host with invariant 1 and the bound of the quarantine.
func (r *run) check(h *host) {
	if !h.committed().Fits(h.Capacity) {
		r.m["violations"]++
	}
	if h != r.fleet[0] {
		return
	}
	quarantined, healthy, found := 0.0, 0.0, 0.0
	for _, o := range r.fleet {
		usable := r.a.health.Usable(r.clock.now, o.Name)
		if !usable {
			quarantined++
		}
		if !usable && !o.broken {
			healthy++
		}
		if o.broken && r.a.suspect(o.Name) {
			found++
		}
	}
	r.m["in quarantine"] = max(r.m["in quarantine"], quarantined)
	r.m["good workers quarantined"] = max(r.m["good workers quarantined"], healthy)
	if found > r.m["bad workers found"] {
		r.m["bad workers found"] = found
		r.m["found after s"] = (r.elapsed() - r.c.BrokenAt).Seconds()
	}
}

func (r *run) finish() {
	missed, due := 0.0, 0.0
	for _, j := range r.order {
		if j.task.Kind != hv.Job || j.bad || j.canceled || j.impossible || j.task.Deadline.After(r.clock.now) {
			continue
		}
		due++
		if !j.ended || j.blamed {
			missed++
		}
	}
	r.m["missed %"] = 100 * (missed + r.m["late"]) / max(due, 1)
	r.m["p50 ms"] = r.latencies.quantile(0.5)
	r.m["p99 ms"] = r.latencies.quantile(0.99)
	r.m["p99.9 ms"] = r.latencies.quantile(0.999)
	if n := r.m["bad jobs found"]; n > 0 {
		r.m["attempts per bad job"] = r.m["attempts for bad jobs"] / n
	}
}
