package hvcell

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// world is a cell with executors in virtual time. Orders and reports travel
// only when a test says so.
type world struct {
	t     rapid.TB
	now   time.Time
	cell  *Cell
	hosts map[string]*executor
	jobs  []hvjob.Job
	// stored is what the store holds of each job.
	stored    map[string]hvjob.Progress
	cancelled map[string]bool
	epoch     int64
	// authority is how long the owner before may have granted leases.
	authority time.Duration
	// noCatalog is true for an owner that has not read the queues yet.
	noCatalog bool
	// savedStates makes every report list the runs with their saved states.
	savedStates bool
	// done holds the tasks with a done end that was acknowledged.
	done map[string]bool
}

// executor is a model of an executor that checks what it is told.
type executor struct {
	world   *world
	name    string
	life    int
	room    int64
	running map[string]int
	barred  map[string]int
	ended   []hv.RunEnd
	next    int64
	seen    int64
	until   time.Time
	// born is when the life began; the clock counts from it.
	born  time.Time
	fence int64
	// alive is false after a crash until a new life begins.
	alive bool
}

var queues = map[string]hvjob.Queue{
	"urgent": {Name: "urgent", Service: "desk", Attempts: 3, Stretch: 1.5, Slack: 250},
	"batch":  {Name: "batch", Service: "desk", Priority: 2, Attempts: 2, Stretch: 2, Slack: 1000},
	// Tasks of this queue start only with a ticket.
	"advised": {Name: "advised", Service: "desk", Attempts: 2, Stretch: 2, Slack: 1000, Advice: &hvjob.Advice{Decide: 50, Each: 10, Valid: 3000}},
}

func newWorld(t rapid.TB, hosts int) *world {
	w := &world{t: t, now: time.Unix(1_000_000, 0), hosts: map[string]*executor{}, stored: map[string]hvjob.Progress{}, cancelled: map[string]bool{}, done: map[string]bool{}, authority: 10 * time.Second}
	for i := range hosts {
		e := &executor{world: w, name: fmt.Sprintf("host-%d", i), room: 8000}
		e.start()
		w.hosts[e.name] = e
	}
	w.takeOver()
	return w
}

func (e *executor) start() {
	e.life++
	e.running, e.barred, e.ended, e.next, e.seen, e.fence = map[string]int{}, map[string]int{}, nil, 0, 0, 0
	e.born, e.until, e.alive = e.world.now, e.world.now, true
}

// takeOver replaces the owner by a new one that knows what is stored.
func (w *world) takeOver() {
	w.epoch++
	w.cell = New(Options{
		Epoch: w.epoch, Claimed: int64(len(w.jobs)), Now: w.now, Lease: 5 * time.Second, Authority: w.authority,
		Retain: time.Minute, Logger: log.NewNopLogger(),
		Health: hvhealth.New(hvhealth.Options{HostCount: func() int { return len(w.hosts) }}),
	})
	if !w.noCatalog {
		w.cell.SetCatalog(hvjob.NewCatalog(1, slices.Collect(maps.Values(queues)), []hvjob.Service{{Name: "desk", Guards: true}}, hvjob.Limits{}))
	}
	for name := range w.hosts {
		w.cell.AddHost(w.now, name, nil)
	}
	for i, j := range w.jobs {
		w.cell.Put(w.now, j, int64(i), w.stored[j.ID], w.cancelled[j.ID])
	}
}

func (w *world) submit(j hvjob.Job) hvjob.Job {
	j.ID = fmt.Sprintf("%016x", len(w.jobs)+1)
	j.Submitted = w.now.UnixMilli()
	j.Terms = queues[j.Queue]
	if err := j.Check(); err != nil {
		w.t.Fatal(err)
	}
	w.jobs = append(w.jobs, j)
	w.cell.Put(w.now, j, int64(len(w.jobs)-1), hvjob.Progress{}, false)
	return j
}

func (w *world) cancel(id string) {
	w.cancelled[id] = true
	for i, j := range w.jobs {
		if j.ID == id {
			w.cell.Put(w.now, j, int64(i), w.stored[id], true)
		}
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.hosts {
		e.lapse()
	}
	w.cell.Tick(w.now)
}

func (e *executor) clock() int64 { return e.world.now.Sub(e.born).Milliseconds() }

func (e *executor) lapse() {
	if !e.alive || e.world.now.Before(e.until) {
		return
	}
	for task, run := range e.running {
		e.end(task, run, hv.EndLapsed)
	}
}

func (e *executor) end(task string, run int, how hv.How) {
	if e.running[task] != run {
		return
	}
	delete(e.running, task)
	e.barred[task] = max(e.barred[task], run)
	e.next++
	e.ended = append(e.ended, hv.RunEnd{Number: e.next, Task: task, Run: run, How: how})
}

func (e *executor) crash() {
	e.alive = false
	e.running, e.ended = map[string]int{}, nil
}

// report lists everything, as a node does when the owner attaches.
func (e *executor) report(full bool) hvorder.Report {
	r := hvorder.Report{Node: e.name, Dead: !e.alive, Host: &hvorder.Host{ID: idOf(e.name), Life: e.lifeName(), Service: "desk", Rack: "r1-1", Room: hvjob.Size{CPU: e.room, Memory: 1 << 20}}}
	if !e.alive {
		return r
	}
	if h := e.world.cell.hosts[e.name]; h != nil && h.life != e.lifeName() {
		// A node tells the full lists of a new incarnation.
		full = true
	}
	r.Life, r.Clock, r.Full = e.lifeName(), e.clock(), full
	r.Ended = append(r.Ended, e.ended...)
	if full || e.world.savedStates {
		for task, run := range e.running {
			r.Running = append(r.Running, hv.RunState{Task: task, Run: run, Saved: e.saved(task)})
		}
	}
	return r
}

// saved is a new state for each report, as of a task that makes progress.
func (e *executor) saved(task string) string { return fmt.Sprint(task, e.clock()) }

func idOf(host string) string { return "i-" + host }

func (e *executor) lifeName() string { return fmt.Sprint(e.life) }

func (e *executor) granted(g hvorder.Grant) {
	if !e.alive {
		return
	}
	until := e.born.Add(time.Duration(g.Until) * time.Millisecond)
	if until.After(e.until) {
		e.until = until
	}
	e.acknowledge(g.Seen)
}

func (e *executor) acknowledge(seen int64) {
	e.seen = max(e.seen, seen)
	for len(e.ended) > 0 && e.ended[0].Number <= e.seen {
		if e.ended[0].How == hv.EndDone {
			e.world.done[e.ended[0].Task] = true
		}
		e.ended = e.ended[1:]
	}
}

func (w *world) attach(name string) {
	e := w.hosts[name]
	if e.alive {
		e.fence = w.epoch
	}
	e.granted(w.cell.Attached(w.now, name, e.report(true)))
}

func (w *world) attachAll() {
	for name := range w.hosts {
		w.attach(name)
	}
}

// exchange sends reports, plans and carries out orders on all attached hosts.
func (w *world) exchange() {
	for name, e := range w.hosts {
		if h := w.cell.hosts[name]; h != nil && h.linked {
			e.granted(w.cell.Report(w.now, name, e.report(false)))
		}
	}
	w.store()
	w.cell.Tick(w.now)
	w.cell.Plan(w.now)
	for name := range w.hosts {
		w.deliver(name)
	}
}

func (w *world) store() {
	b, ok := w.cell.Batch(w.now)
	if !ok {
		return
	}
	for _, p := range b.Progress {
		w.stored[p.Job] = p.Progress
	}
	w.cell.Stored(b)
}

// deliver carries out the orders for a host and returns them.
func (w *world) deliver(name string) hvorder.Orders {
	o, ok := w.cell.Orders(name)
	if ok {
		w.hosts[name].obey(o)
	}
	return o
}

func (e *executor) obey(o hvorder.Orders) {
	if !e.alive || o.Life != e.lifeName() || o.Epoch < e.fence {
		return
	}
	e.granted(hvorder.Grant{Until: o.Until, Seen: o.Seen})
	var report hvorder.Report
	for _, s := range o.Stops {
		e.barred[s.Task] = max(e.barred[s.Task], s.Run)
		if run, ok := e.running[s.Task]; ok && run <= s.Run {
			e.end(s.Task, run, hv.EndStopped)
		} else {
			report.Stopped = append(report.Stopped, s)
		}
	}
	for _, s := range o.Starts {
		if !e.begin(s) {
			report.Refused = append(report.Refused, hvorder.Refusal{Run: s.Run, Kind: hv.Expired})
		}
	}
	report.Life, report.Clock = e.lifeName(), e.clock()
	report.Ended = append(report.Ended, e.ended...)
	e.granted(e.world.cell.Report(e.world.now, e.name, report))
}

// begin starts a run and checks the promises about it.
func (e *executor) begin(s hvorder.Start) bool {
	w := e.world
	number := s.Profile.Run.Run
	if number <= e.barred[s.Task] || !w.now.Before(e.until) {
		return false
	}
	for _, other := range w.hosts {
		if run, ok := other.running[s.Task]; ok {
			w.t.Fatalf("task %s starts as run %d on %s while run %d is on %s", s.Task, number, e.name, run, other.name)
		}
	}
	if w.done[s.Task] {
		w.t.Fatalf("task %s starts as run %d on %s after its end was acknowledged", s.Task, number, e.name)
	}
	w.checkOrder(s.Task)
	e.running[s.Task] = number
	return true
}

// checkOrder fails if an earlier step of a task's job is not complete.
func (w *world) checkOrder(name string) {
	id, err := hvjob.ParseTask(name)
	if err != nil {
		w.t.Fatal(err)
	}
	for _, j := range w.jobs {
		if j.ID != id.Job {
			continue
		}
		for _, a := range j.Steps[id.Step].After {
			for k := range j.Steps[a].Count {
				before := hvjob.Task{Job: j.ID, Step: a, Index: k}.String()
				if !w.done[before] && !w.endedDone(before) {
					w.t.Fatalf("task %s starts before %s is done", name, before)
				}
			}
		}
	}
}

// endedDone reports whether a done end of a task waits to be acknowledged, or
// its progress is stored.
func (w *world) endedDone(task string) bool {
	for _, e := range w.hosts {
		for _, end := range e.ended {
			if end.Task == task && end.How == hv.EndDone {
				return true
			}
		}
	}
	id, err := hvjob.ParseTask(task)
	if err != nil {
		return false
	}
	if r, ok := w.stored[id.Job].Rounds[id.Round]; ok {
		return r.Steps[id.Step].Done.Has(id.Index)
	}
	return w.stored[id.Job].State.Final()
}

func (w *world) runs() int {
	n := 0
	for _, e := range w.hosts {
		n += len(e.running)
	}
	return n
}

// finishAll ends every run in one way.
func (w *world) finishAll(how hv.How) {
	for _, e := range w.hosts {
		for task, run := range e.running {
			e.end(task, run, how)
		}
	}
}

func steps(list ...hvjob.Step) hvjob.Job { return hvjob.Job{Queue: "urgent", Steps: list} }

func step1(count int, cpu int64) hvjob.Step {
	return hvjob.Step{Count: count, Need: hvjob.Size{CPU: cpu, Memory: 100}, Estimate: 5000}
}
