package hvmeasure

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// Usage reports arrive with a delay of 30 s; a host sends one every 5 s.
	reportLag      = 30 * time.Second
	reportInterval = 5 * time.Second
	// reportNoise is the standard deviation of the relative error of a reported
	// slowdown.
	reportNoise = 0.15
	// leaseExpiry is the lease duration of 10 s plus the clock margin.
	leaseExpiry = 10*time.Second + 500*time.Millisecond
	// targetFactor is the ratio of a service's target latency to its unloaded p99.
	targetFactor        = 2
	maxFailedPlacements = 64
)

// metrics holds the results of one run by name.
type metrics map[string]float64

// job holds the actual properties and the state of one task.
type job struct {
	task         hv.Task
	program      *program
	total        time.Duration
	checkpointed time.Duration // run time up to the last checkpoint
	faulty       bool
	canceled     bool
	judgedFaulty bool
	unplaceable  bool
	ended        bool
	waitingSince time.Time // since when it has waited to start
	attempts     int
	failedOn     []string
}

type run struct {
	c              Case
	d              Deployment
	variant        *variant
	clock          *manualClock
	start          time.Time
	random         *rand.Rand
	fleet          []*host
	programs       []program
	jobs           map[string]*job
	order          []*job
	latencies      histogram
	metrics        metrics
	startsThisTick int
}

type variantBuilder func(Deployment, hv.Clock, uint64, hv.ViolationReporter) *variant

// Run simulates one case once.
func Run(c Case, d Deployment, build variantBuilder, seed uint64) metrics {
	clock := &manualClock{time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	random := rand.New(rand.NewPCG(seed, 1))
	r := &run{
		c: c, d: d, clock: clock, start: clock.now, random: random, fleet: newFleet(d, rand.New(rand.NewPCG(seed, 2))),
		programs: programs(), jobs: map[string]*job{}, metrics: metrics{},
	}
	r.variant = build(d, clock, seed, func(int, string) { r.metrics["violations"]++ })
	if c.Setup != nil {
		c.Setup(r)
	}
	r.submitWatchers()
	for r.elapsed() < c.Duration {
		r.tick()
	}
	r.finish()
	return r.metrics
}

func (r *run) elapsed() time.Duration { return r.clock.now.Sub(r.start) }

func (r *run) tick() {
	r.clock.now = r.clock.now.Add(time.Second)
	if r.c.Event != nil {
		r.c.Event(r, r.elapsed())
	}
	r.arrivals()
	r.deliverReports()
	for _, h := range r.fleet {
		if h.up {
			r.variant.placer.SetHost(h.view(r.variant, r.clock.now))
		}
	}
	r.place()
	for _, h := range r.fleet {
		r.advance(h)
		r.runRequests(h)
		r.checkHosts(h)
	}
}

// load returns the load of the services, which varies between 0.1 and 0.9 with
// a period of 10 minutes.
func (r *run) load() float64 { return loadAt(r.elapsed()) }

// submitWatchers submits the watchers, which must always run.
func (r *run) submitWatchers() {
	for i := range 12 {
		r.submit(&job{
			task:    hv.Task{ID: fmt.Sprintf("watcher-%d", i), Kind: hv.Watcher, Program: "watch", Need: hv.Resources{Processors: 250, Memory: 500 * hv.MB}},
			program: &program{name: "watch", runtimeFactor: 1, sizeFactor: 1}, total: 1 << 60,
		})
	}
}

const meanJobCoreSeconds = 2 * 120 // 2 cores for 120 s

func (r *run) arrivals() {
	cores := float64(hostCount)*float64(r.d.HostCapacity.Processors)/1000 - float64(hostCount+hostCount/2)*serviceProcessors/1000
	rate := r.c.BatchLoad * cores / meanJobCoreSeconds
	for t := r.random.ExpFloat64() / rate; t < 1; t += r.random.ExpFloat64() / rate {
		r.submit(r.newJob())
	}
	if r.random.Float64() < 0.1 {
		j := r.newJob()
		j.task.Urgent, j.unplaceable = true, false
		j.task.Need = hv.Resources{Processors: 500, Memory: hv.GB}
		r.submit(j)
	}
}

// newJob draws a batch job: 1 to 3 cores, 2 to 10 GB, 120 s on average.
func (r *run) newJob() *job {
	p := &r.programs[r.random.IntN(len(r.programs))]
	declared := time.Duration((30 + r.random.ExpFloat64()*90) * float64(time.Second))
	total := time.Duration(float64(declared) * p.runtimeFactor * (0.8 + 0.4*r.random.Float64()))
	j := &job{program: p, total: total, faulty: r.random.Float64() < r.c.FaultyJobs}
	j.task = hv.Task{
		ID: "job-" + strconv.Itoa(len(r.order)), Kind: hv.Job, Program: p.name, Runtime: hv.Duration(declared),
		Need:     hv.Resources{Processors: 1000 + int64(r.random.IntN(3))*1000, Memory: 2*hv.GB + hv.Size(r.random.IntN(9))*hv.GB},
		Deadline: r.clock.now.Add(time.Duration(float64(total) * (2 + 4*r.random.Float64()))),
	}
	if r.random.Float64() < r.c.OversizedJobs {
		j.task.Need.Processors, j.unplaceable = r.d.HostCapacity.Processors+1000, true
	}
	return j
}

func (r *run) submit(j *job) {
	j.waitingSince = r.clock.now
	r.jobs[j.task.ID] = j
	r.order = append(r.order, j)
	r.metrics["submitted core-h"] += j.total.Hours() * float64(j.task.Need.Processors) / 1000
	r.push(j)
}

func (r *run) push(j *job) {
	if r.variant.queue.Push(j.task) != nil {
		r.metrics["refused"]++
	}
}

// place runs the placement loop once. It stops after maxFailedPlacements tasks
// that found no host.
func (r *run) place() {
	var unplaced []hv.Task
	r.startsThisTick = 0
	for failed := 0; failed < maxFailedPlacements; {
		t, ok := r.variant.queue.Pop(r.clock.now)
		if !ok {
			break
		}
		j := r.jobs[t.ID]
		if j.ended {
			continue
		}
		t = r.variant.correct(t)
		name, err := r.variant.placer.Place(t, j.failedOn...)
		switch {
		case err == nil:
			r.startTask(j, name, t.Need)
		case hv.KindOf(err) == hv.NotFound:
			j.ended = true
			r.metrics["impossible found"]++
		default:
			failed++
			unplaced = append(unplaced, j.task)
		}
	}
	r.variant.queue.Return(unplaced)
	r.metrics["starts in 1 s"] = max(r.metrics["starts in 1 s"], float64(r.startsThisTick))
}

func (r *run) startTask(j *job, name string, committed hv.Resources) {
	j.attempts++
	r.startsThisTick++
	r.metrics["starts"]++
	if j.canceled {
		r.metrics["canceled starts"]++
	}
	if j.unplaceable {
		r.metrics["impossible starts"]++
	}
	if j.task.Urgent || j.task.Kind == hv.Watcher {
		r.metrics["urgent start s"] = max(r.metrics["urgent start s"], r.clock.now.Sub(j.waitingSince).Seconds())
	}
	h := r.host(name)
	remaining := j.total - j.checkpointed
	if h.broken {
		remaining = 2 * time.Second
	}
	h.tasks = append(h.tasks, &runningTask{
		RunningAttempt: hv.RunningAttempt{
			Attempt: hv.Attempt{Task: j.task.ID, Number: j.attempts}, Task: j.task, Committed: committed,
			State: hv.StateRunning, Share: 1000,
		},
		program: j.program, remaining: remaining, total: remaining,
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

// advance advances the tasks of a host by one second.
func (r *run) advance(h *host) {
	if !h.up {
		return
	}
	speed := 1 / h.overcommit()
	for _, t := range append([]*runningTask(nil), h.tasks...) {
		step := speed * float64(t.Share) / 1000
		t.remaining -= time.Duration(step * float64(time.Second))
		t.coreSeconds += step * float64(t.Task.Need.Processors) / 1000
		if t.sinceCheckpoint += time.Second; t.sinceCheckpoint >= checkpointInterval && !h.broken {
			t.sinceCheckpoint, t.checkpointed = 0, t.coreSeconds
			t.Checkpoint = strconv.FormatFloat(t.coreSeconds, 'f', 0, 64)
			r.jobs[t.Task.ID].checkpointed = r.jobs[t.Task.ID].total - t.remaining
		}
		j := r.jobs[t.Task.ID]
		switch {
		case h.broken || (j.faulty && t.total-t.remaining > 5*time.Second):
			if t.total-t.remaining >= 2*time.Second {
				r.fail(h, t)
			}
		case t.remaining <= 0:
			r.complete(h, t)
		}
	}
	for h.used().Memory > h.Capacity.Memory && len(h.tasks) > 0 {
		r.metrics["out of memory"]++
		r.fail(h, h.tasks[len(h.tasks)-1])
	}
}

func (r *run) removeTask(h *host, t *runningTask) {
	for i := range h.tasks {
		if h.tasks[i] == t {
			h.tasks = append(h.tasks[:i], h.tasks[i+1:]...)
			break
		}
	}
	task := t.Task
	task.Need = t.Committed
	r.variant.placer.Release(task, h.Name)
}

func (r *run) complete(h *host, t *runningTask) {
	r.removeTask(h, t)
	j := r.jobs[t.Task.ID]
	j.ended = true
	r.variant.health.Record(r.clock.now, h.Name, h.Rack, t.Task.ID, true)
	r.variant.history.ObserveRuntime(t.Task, j.total)
	r.variant.history.ObserveUsage(t.Task, hv.Resources{
		Processors: int64(float64(t.Task.Need.Processors) * t.program.sizeFactor),
		Memory:     hv.Size(float64(t.Task.Need.Memory) * t.program.sizeFactor),
	})
	r.metrics["batch core-h"] += j.total.Hours() * float64(t.Task.Need.Processors) / 1000
	if r.clock.now.After(t.Task.Deadline) {
		r.metrics["late"]++
	}
	r.metrics["completed"]++
}

func (r *run) fail(h *host, t *runningTask) {
	r.removeTask(h, t)
	j := r.jobs[t.Task.ID]
	r.variant.health.Record(r.clock.now, h.Name, h.Rack, t.Task.ID, false)
	r.metrics["failed attempts"]++
	r.metrics["lost core-h"] += (t.coreSeconds - t.checkpointed) / 3600
	j.failedOn = append(j.failedOn, h.Name)
	if t.Task.Kind == hv.Job && r.variant.health.Faulty(t.Task.ID) {
		j.ended = true
		if j.faulty {
			r.metrics["bad jobs found"]++
			r.metrics["attempts for bad jobs"] += float64(j.attempts)
		} else {
			j.judgedFaulty = true
			r.metrics["good jobs marked faulty"]++
		}
		return
	}
	j.waitingSince = r.clock.now
	r.push(j)
}

// requeueTasks puts the tasks of a failed host back into the queue.
func (r *run) requeueTasks(h *host) {
	for len(h.tasks) > 0 {
		t := h.tasks[0]
		r.removeTask(h, t)
		r.metrics["lost core-h"] += (t.coreSeconds - t.checkpointed) / 3600
		j := r.jobs[t.Task.ID]
		j.waitingSince = r.clock.now
		r.push(j)
	}
}

func (r *run) evict(h *host, t *runningTask) {
	r.removeTask(h, t)
	r.metrics["evictions"]++
	if r.c.RestoredAt > 0 && r.elapsed() > r.c.RestoredAt && r.elapsed() < r.c.RestoredAt+2*time.Minute {
		r.metrics["evictions after restore"]++
	}
	r.metrics["lost core-h"] += (t.coreSeconds - t.checkpointed) / 3600
	r.push(r.jobs[t.Task.ID])
}

// runRequests simulates one second of requests to the upstreams of a host.
func (r *run) runRequests(h *host) {
	if !h.up {
		return
	}
	rate := 60 + 80*r.load()
	from := float64(r.elapsed().Milliseconds())
	for _, u := range h.upstreams {
		u.runSecond(from, rate, h.slowdown(u.service, r.load()), &r.latencies)
	}
	if r.elapsed()%reportInterval != 0 {
		return
	}
	for _, u := range h.upstreams {
		noise := reportNoise * r.random.NormFloat64()
		slowdown := u.takeP99() / (targetFactor * unloadedP99) * (1 + max(noise, -0.5))
		h.reports = append(h.reports, loadReport{r.clock.now, u.service, slowdown, h.share})
	}
}

// deliverReports passes on the reports that are at least reportLag old.
func (r *run) deliverReports() {
	for i, h := range r.fleet {
		worst := -1.0
		for len(h.reports) > 0 && r.clock.now.Sub(h.reports[0].time) >= reportLag {
			p := h.reports[0]
			h.reports = h.reports[1:]
			worst = max(worst, p.slowdown)
			r.variant.placer.Observe(hv.InterferenceSample{Host: h.Name, Service: p.service, Slowdown: p.slowdown, Time: p.time, Share: p.share})
		}
		if worst >= 0 && h.up {
			r.guard(h, r.variant.guards[i], worst)
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
			r.metrics["throttles"]++
			break
		}
	}
	if s, ok := g.(interface{ Share() int }); ok {
		h.share = s.Share()
	}
}

// checkHosts checks that a host is not overcommitted (invariant 1). Once per
// tick, at the first host, it also records the quarantine metrics.
func (r *run) checkHosts(h *host) {
	if !h.committed().Fits(h.Capacity) {
		r.metrics["violations"]++
	}
	if h != r.fleet[0] {
		return
	}
	quarantined, healthyQuarantined, found := 0.0, 0.0, 0.0
	for _, o := range r.fleet {
		usable := r.variant.health.Usable(r.clock.now, o.Name)
		if !usable {
			quarantined++
		}
		if !usable && !o.broken {
			healthyQuarantined++
		}
		if o.broken && r.variant.suspect(o.Name) {
			found++
		}
	}
	r.metrics["in quarantine"] = max(r.metrics["in quarantine"], quarantined)
	r.metrics["good workers quarantined"] = max(r.metrics["good workers quarantined"], healthyQuarantined)
	if found > r.metrics["bad workers found"] {
		r.metrics["bad workers found"] = found
		r.metrics["found after s"] = (r.elapsed() - r.c.BrokenAt).Seconds()
	}
}

func (r *run) finish() {
	missed, due := 0.0, 0.0
	for _, j := range r.order {
		if j.task.Kind != hv.Job || j.faulty || j.canceled || j.unplaceable || j.task.Deadline.After(r.clock.now) {
			continue
		}
		due++
		if !j.ended || j.judgedFaulty {
			missed++
		}
	}
	r.metrics["missed %"] = 100 * (missed + r.metrics["late"]) / max(due, 1)
	r.metrics["p50 ms"] = r.latencies.quantile(0.5)
	r.metrics["p99 ms"] = r.latencies.quantile(0.99)
	r.metrics["p99.9 ms"] = r.latencies.quantile(0.999)
	if n := r.metrics["bad jobs found"]; n > 0 {
		r.metrics["attempts per bad job"] = r.metrics["attempts for bad jobs"] / n
	}
}
