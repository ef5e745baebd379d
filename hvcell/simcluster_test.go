package hvcell

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/log"
	"pgregory.net/rapid"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvhealth"
	"hibiscusvane.example/hibiscusvane/hvjob"
	"hibiscusvane.example/hibiscusvane/hvorder"
)

// simCluster simulates a cell and its executors in virtual time. Orders and reports
// are delivered only when a test calls for it.
type simCluster struct {
	t     rapid.TB
	now   time.Time
	cell  *Cell
	hosts map[string]*executor
	jobs  []hvjob.Job
	// stored holds the stored progress by job.
	stored    map[string]hvjob.Progress
	cancelled map[string]bool
	epoch     int64
	// policy is the policy of the owners.
	policy Policy
	// authority is how long after a claim the previous owner may have granted leases.
	authority time.Duration
	// noCatalog is true if new owners have not read the catalog yet.
	noCatalog bool
	// noCapacityChecks is true if executors start tasks beyond their capacity.
	noCapacityChecks bool
	// savedStates makes every report list the runs with their saved states.
	savedStates bool
	// savedPercents holds the progress of saved states.
	savedPercents map[string]int
	// evacuated holds the evacuated zones.
	evacuated []string
	// intercept changes the orders that are delivered to a host; it may be nil.
	intercept func(host string, o hvorder.Orders) hvorder.Orders
	// learned is the stored learned state, as of learnedAt.
	learned   LearnedState
	learnedAt time.Time
	// done holds the tasks with a done end that was acknowledged, and ended all with a done
	// end: an executor may lose the list with an end that the owner has processed.
	done, ended map[string]bool
}

// executor is a model of an executor that checks each start.
type executor struct {
	cluster     *simCluster
	name        string
	incarnation int
	capacityCPU int64
	running     map[string]int
	// blockedRuns holds the highest run number that can no longer start, by task.
	blockedRuns map[string]int
	ended       []hv.RunEnd
	lastEnd     int64
	acked       int64
	leaseEnd    time.Time
	// startedAt is when the incarnation began; its clock counts from then.
	startedAt time.Time
	minEpoch  int64
	// alive is false after a crash until the executor restarts.
	alive bool
	// speed is the progress of each run in percent per second and percents that of the
	// tasks in running; shareOffset is reported.
	speed       float64
	percents    map[string]float64
	shareOffset int
	// startTimes holds when each task in running was started.
	startTimes map[string]time.Time
	// crashes holds the crashes that the owner has not acknowledged, as the node beside
	// the executor keeps them, and lastCrash is the number of the last one.
	crashes   []hvorder.Crash
	lastCrash int64
	// digestAt is when the node last reported the full lists or a digest of them, and batch
	// the number of the last orders that it took on its connection; list is true if the
	// owner has asked for the lists.
	digestAt time.Time
	batch    int64
	list     bool
}

// digestInterval is the interval at which a node reports a digest of its runs.
const digestInterval = 3 * time.Second

var queues = map[string]hvjob.Queue{
	"urgent": {Name: "urgent", Service: "desk", MaxAttempts: 3, Stretch: 1.5, Slack: 250},
	"batch":  {Name: "batch", Service: "desk", Priority: 2, MaxAttempts: 2, Stretch: 2, Slack: 1000},
	// Jobs of these queues are in time for a minute, also under overload.
	"first":  {Name: "first", Service: "desk", MaxAttempts: 3, Stretch: 2, Slack: 60_000},
	"second": {Name: "second", Service: "desk", Priority: 2, MaxAttempts: 3, Stretch: 2, Slack: 60_000},
	// Tasks of this queue start only with a ticket.
	"advised": {Name: "advised", Service: "desk", MaxAttempts: 2, Stretch: 2, Slack: 1000, Advice: &hvjob.Advice{BaseMillis: 50, PerHostMillis: 10, ValidMillis: 3000}},
}

func newSimCluster(t rapid.TB, hosts int) *simCluster {
	w := &simCluster{t: t, now: time.Unix(1_000_000, 0), hosts: map[string]*executor{}, stored: map[string]hvjob.Progress{}, cancelled: map[string]bool{}, done: map[string]bool{}, ended: map[string]bool{}, savedPercents: map[string]int{}, authority: 10 * time.Second}
	for i := range hosts {
		e := &executor{cluster: w, name: fmt.Sprintf("host-%d", i), capacityCPU: 8000}
		e.start()
		w.hosts[e.name] = e
	}
	w.replaceOwner()
	return w
}

func (e *executor) start() {
	e.incarnation++
	e.running, e.blockedRuns, e.ended, e.lastEnd, e.acked, e.minEpoch = map[string]int{}, map[string]int{}, nil, 0, 0, 0
	e.startedAt, e.leaseEnd, e.alive = e.cluster.now, e.cluster.now, true
	e.startTimes, e.percents = map[string]time.Time{}, map[string]float64{}
}

// replaceOwner replaces the owner with a new one that has only read the store.
func (w *simCluster) replaceOwner() {
	w.epoch++
	w.cell = New(Options{
		Epoch: w.epoch, ClaimOffset: int64(len(w.jobs)), ClaimedAt: w.now, LeaseDuration: 5 * time.Second, PreviousAuthority: w.authority,
		Retention: time.Minute, Policy: w.policy, Logger: log.NewNopLogger(),
		Health: hvhealth.New(hvhealth.Options{HostCount: func() int { return len(w.hosts) }}),
	})
	if !w.noCatalog {
		w.cell.SetCatalog(hvjob.NewCatalog(1, slices.Collect(maps.Values(queues)), []hvjob.Service{{Name: "desk", EnforcesCapacity: !w.noCapacityChecks}}, hvjob.Limits{}))
	}
	w.cell.Restore(w.learned)
	w.cell.SetEvacuated(w.evacuated)
	for name := range w.hosts {
		w.cell.AddHost(w.now, name, nil)
	}
	for i, j := range w.jobs {
		w.cell.ApplyJob(w.now, j, int64(i), w.stored[j.ID], w.cancelled[j.ID])
	}
}

func (w *simCluster) submit(j hvjob.Job) hvjob.Job {
	j.ID = fmt.Sprintf("%016x", len(w.jobs)+1)
	j.Submitted = w.now.UnixMilli()
	j.QueueSettings = queues[j.Queue]
	if err := j.Check(); err != nil {
		w.t.Fatal(err)
	}
	w.jobs = append(w.jobs, j)
	w.cell.ApplyJob(w.now, j, int64(len(w.jobs)-1), hvjob.Progress{}, false)
	return j
}

func (w *simCluster) cancel(id string) {
	w.cancelled[id] = true
	for i, j := range w.jobs {
		if j.ID == id {
			w.cell.ApplyJob(w.now, j, int64(i), w.stored[id], true)
		}
	}
}

func (w *simCluster) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.hosts {
		e.expireLease()
		for task := range e.running {
			e.percents[task] += e.speed * d.Seconds()
		}
	}
	w.cell.Tick(w.now)
}

func (e *executor) clock() int64 { return e.cluster.now.Sub(e.startedAt).Milliseconds() }

func (e *executor) expireLease() {
	if !e.alive || e.cluster.now.Before(e.leaseEnd) {
		return
	}
	for task, run := range e.running {
		e.end(task, run, hv.EndLapsed)
	}
}

func (e *executor) end(task string, run int, reason hv.EndReason) {
	if e.running[task] != run {
		return
	}
	delete(e.running, task)
	e.blockedRuns[task] = max(e.blockedRuns[task], run)
	e.lastEnd++
	e.ended = append(e.ended, hv.RunEnd{Number: e.lastEnd, Task: task, Run: run, Reason: reason})
	if reason == hv.EndDone && !e.cluster.isLongRunning(task) {
		e.cluster.ended[task] = true
	}
}

func (e *executor) crash() {
	if e.alive && len(e.running) > 0 {
		e.lastCrash++
		e.crashes = append(e.crashes, hvorder.Crash{Number: e.lastCrash, Incarnation: e.incarnationName(), Runs: e.crashedRuns()})
	}
	e.alive = false
	e.running, e.ended = map[string]int{}, nil
}

// crashedRuns returns all runs, the youngest first.
func (e *executor) crashedRuns() []hvorder.CrashedRun {
	var out []hvorder.CrashedRun
	for task, run := range e.running {
		out = append(out, hvorder.CrashedRun{Run: hvorder.Run{Task: task, Run: run}, AgeMillis: e.cluster.now.Sub(e.startTimes[task]).Milliseconds()})
	}
	slices.SortFunc(out, func(a, b hvorder.CrashedRun) int {
		return cmp.Or(cmp.Compare(a.AgeMillis, b.AgeMillis), cmp.Compare(a.Task, b.Task))
	})
	return out
}

// report returns a report of the node; a full one has the lists that a node sends
// when the owner attaches.
func (e *executor) report(full bool) hvorder.Report {
	r := hvorder.Report{ExecutorGone: !e.alive, Host: &hvorder.Host{ID: idOf(e.name), Incarnation: e.incarnationName(), Service: "desk", Zone: zoneOf(e.name), Rack: rackOf(e.name), Capacity: hvjob.Resources{CPU: e.capacityCPU, Memory: 1 << 20}}}
	r.Crashes, r.ShareOffset = slices.Clone(e.crashes), e.shareOffset
	if !e.alive {
		return r
	}
	if h := e.cluster.cell.hosts[e.name]; h != nil && h.incarnation != e.incarnationName() {
		// A node sends the full lists of a new incarnation.
		full = true
	}
	full = full || e.list
	if !full && e.cluster.now.Sub(e.digestAt) >= digestInterval {
		r.Digest = e.digest()
	}
	if full || r.Digest != 0 {
		e.digestAt, e.list = e.cluster.now, false
	}
	r.Incarnation, r.Clock, r.Full, r.Batch = e.incarnationName(), e.clock(), full, e.batch
	r.Ended = append(r.Ended, e.ended...)
	if full || e.cluster.savedStates {
		for task, run := range e.running {
			r.Running = append(r.Running, hv.RunState{Task: task, Run: run, SavedState: e.saved(task), Percent: min(int(e.percents[task]), 99)})
		}
	}
	return r
}

// digest returns the digest of the runs on the executor.
func (e *executor) digest() hvorder.Digest {
	d := hvorder.EmptyDigest
	for task, run := range e.running {
		d = d.With(hvorder.Run{Task: task, Run: run})
	}
	return d
}

// saved returns a different saved state for each report, as a task that makes
// progress does.
func (e *executor) saved(task string) string {
	saved := fmt.Sprint(task, e.clock())
	e.cluster.savedPercents[saved] = int(e.percents[task])
	return saved
}

// zoneOf returns the zone of a host: there are two, and hosts alternate.
func zoneOf(host string) string {
	if strings.HasSuffix(host, "0") || strings.HasSuffix(host, "2") {
		return "north"
	}
	return "south"
}

// rackOf returns the rack of a host: three hosts are in one.
func rackOf(host string) string {
	n, _ := strconv.Atoi(strings.TrimPrefix(host, "host-"))
	return fmt.Sprintf("r1-%d", 1+n/3)
}

// evacuate replaces the set of evacuated zones.
func (w *simCluster) evacuate(zones ...string) {
	w.evacuated = zones
	w.cell.SetEvacuated(zones)
}

func idOf(host string) string { return "i-" + host }

func (e *executor) incarnationName() string { return fmt.Sprint(e.incarnation) }

func (e *executor) applyGrant(g hvorder.Grant) {
	e.crashes = slices.DeleteFunc(e.crashes, func(k hvorder.Crash) bool { return k.Number <= g.AckedCrash })
	e.list = e.list || g.List
	if !e.alive {
		return
	}
	leaseEnd := e.startedAt.Add(time.Duration(g.LeaseEnd) * time.Millisecond)
	if leaseEnd.After(e.leaseEnd) {
		e.leaseEnd = leaseEnd
	}
	e.acknowledge(g.AckedEnd)
}

func (e *executor) acknowledge(seen int64) {
	e.acked = max(e.acked, seen)
	for len(e.ended) > 0 && e.ended[0].Number <= e.acked {
		if e.ended[0].Reason == hv.EndDone && !e.cluster.isLongRunning(e.ended[0].Task) {
			e.cluster.done[e.ended[0].Task] = true
		}
		e.ended = e.ended[1:]
	}
}

func (w *simCluster) attach(name string) {
	e := w.hosts[name]
	if e.alive {
		e.minEpoch = w.epoch
	}
	e.batch = 0
	e.applyGrant(w.cell.NodeAttached(w.now, name, e.report(true)))
}

func (w *simCluster) attachAll() {
	for name := range w.hosts {
		w.attach(name)
	}
}

// exchange delivers the reports of all attached hosts, stores a batch, plans and
// delivers the orders. Hosts take part in the order of their names, so that a test with a
// seed repeats.
func (w *simCluster) exchange() {
	names := slices.Sorted(maps.Keys(w.hosts))
	for _, name := range names {
		e := w.hosts[name]
		if h := w.cell.hosts[name]; h != nil && h.connected {
			e.applyGrant(w.cell.Report(w.now, name, e.report(false)))
		}
	}
	w.store()
	w.cell.Tick(w.now)
	w.cell.Plan(w.now)
	for _, name := range names {
		w.deliver(name)
	}
}

// learnedStoreInterval is the interval at which owners store their learned state.
const learnedStoreInterval = 2 * time.Second

func (w *simCluster) store() {
	w.cell.Confirm(w.now)
	if w.now.Sub(w.learnedAt) >= learnedStoreInterval {
		w.learned, w.learnedAt = w.cell.LearnedState(), w.now
	}
	b, ok := w.cell.Batch(w.now)
	if !ok {
		return
	}
	for _, p := range b.Progress {
		w.stored[p.Job] = p.Progress
	}
	w.cell.MarkStored(b)
}

// deliver carries out the orders for a host and returns them.
func (w *simCluster) deliver(name string) hvorder.Orders {
	o, ok := w.cell.Orders(name)
	if w.intercept != nil {
		o = w.intercept(name, o)
	}
	if ok || len(o.Stops) > 0 {
		w.checkStarts(name, o)
		w.hosts[name].applyOrders(o)
	}
	return o
}

// checkStarts fails the test if orders start a task in an evacuated zone or after its end
// was acknowledged.
func (w *simCluster) checkStarts(name string, o hvorder.Orders) {
	if len(o.Starts) > 0 && slices.Contains(w.evacuated, zoneOf(name)) {
		w.t.Fatalf("%d starts are ordered on %s in the evacuated zone %s", len(o.Starts), name, zoneOf(name))
	}
	for _, s := range o.Starts {
		if w.done[s.Task] {
			w.t.Fatalf("start of %s is ordered on %s after its end was acknowledged", s.Task, name)
		}
	}
}

func (e *executor) applyOrders(o hvorder.Orders) {
	if !e.alive || o.Incarnation != e.incarnationName() || o.Epoch < e.minEpoch {
		return
	}
	e.batch = o.Batch
	e.applyGrant(hvorder.Grant{LeaseEnd: o.LeaseEnd, AckedEnd: o.AckedEnd})
	var report hvorder.Report
	for _, s := range o.Stops {
		e.blockedRuns[s.Task] = max(e.blockedRuns[s.Task], s.Run)
		if run, ok := e.running[s.Task]; ok && run <= s.Run {
			e.end(s.Task, run, hv.EndStopped)
		} else {
			report.Stopped = append(report.Stopped, s)
		}
	}
	for _, s := range o.Starts {
		if !e.begin(s) {
			report.Refused = append(report.Refused, hvorder.Refusal{Run: s.Run, Kind: hv.Expired})
			continue
		}
		report.Began = append(report.Began, hvjob.JobOf(s.Task))
	}
	report.Incarnation, report.Clock, report.ShareOffset = e.incarnationName(), e.clock(), e.shareOffset
	report.Ended = append(report.Ended, e.ended...)
	e.applyGrant(e.cluster.cell.Report(e.cluster.now, e.name, report))
}

// begin starts a run unless it is blocked or the lease has expired. It fails the test
// if the task has another run, has ended or depends on an incomplete step.
func (e *executor) begin(s hvorder.Start) bool {
	w := e.cluster
	number := s.Profile.Run.Run
	if number <= e.blockedRuns[s.Task] || !w.now.Before(e.leaseEnd) {
		return false
	}
	for _, other := range w.hosts {
		if run, ok := other.running[s.Task]; ok && (other == e || !w.mayCopy(s.Task)) {
			w.t.Fatalf("task %s starts as run %d on %s while run %d is on %s", s.Task, number, e.name, run, other.name)
		}
	}
	if w.done[s.Task] && !w.mayCopy(s.Task) {
		w.t.Fatalf("task %s starts as run %d on %s after its end was acknowledged", s.Task, number, e.name)
	}
	w.checkOrder(s.Task)
	e.running[s.Task], e.startTimes[s.Task] = number, w.now
	e.percents[s.Task] = float64(w.savedPercents[s.SavedState])
	return true
}

// mayCopy reports whether a task may have two runs at a time. A start of the second may
// be on its way when the first is done, so checkStarts checks when it is ordered.
func (w *simCluster) mayCopy(task string) bool {
	id, err := hvjob.ParseTask(task)
	i := slices.IndexFunc(w.jobs, func(j hvjob.Job) bool { return j.ID == id.Job })
	return err == nil && i >= 0 && w.policy.Tail && w.jobs[i].Steps[id.Step].Speculative
}

// isLongRunning reports whether a task starts again however it ends.
func (w *simCluster) isLongRunning(task string) bool {
	id, err := hvjob.ParseTask(task)
	i := slices.IndexFunc(w.jobs, func(j hvjob.Job) bool { return j.ID == id.Job })
	return err == nil && i >= 0 && w.jobs[i].Steps[id.Step].LongRunning
}

// checkOrder fails the test if a step that a task depends on is not complete.
func (w *simCluster) checkOrder(name string) {
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
				if !w.ended[before] {
					w.t.Fatalf("task %s starts before %s is done", name, before)
				}
			}
		}
	}
}

func (w *simCluster) runs() int {
	n := 0
	for _, e := range w.hosts {
		n += len(e.running)
	}
	return n
}

// finishAll ends every run for the same reason.
func (w *simCluster) finishAll(reason hv.EndReason) {
	for _, e := range w.hosts {
		for task, run := range e.running {
			e.end(task, run, reason)
		}
	}
}

func urgentJob(list ...hvjob.Step) hvjob.Job { return hvjob.Job{Queue: "urgent", Steps: list} }

func testStep(count int, cpu int64) hvjob.Step {
	return hvjob.Step{Count: count, Need: hvjob.Resources{CPU: cpu, Memory: 100}, Estimate: 5000}
}
