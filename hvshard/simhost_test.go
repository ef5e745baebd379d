package hvshard

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// fenceRetention is how long a side remembers ended attempts.
const fenceRetention = 60 * time.Second

// simHost is a host with its worker and side.
type simHost struct {
	s               *sim
	name            string
	sideIncarnation string
	paused          time.Time
	downUntil       time.Time // the host is down until then
	runs            map[hv.Attempt]*simRun
	epochs          [simShards]int64
	fences          map[hv.Attempt]time.Time
	reports         []*hvwire.Report
	heartbeatSent   map[string]time.Time
	heartbeats      uint64
	ticks           int
}

type simRun struct {
	task     hv.Task
	shard    int
	epoch    int64
	leaseEnd time.Time
	doneAt   time.Time
}

func newSimHost(s *sim, name string) *simHost {
	h := &simHost{s: s, name: name, runs: map[hv.Attempt]*simRun{}}
	h.restart()
	return h
}

// restart replaces the side process. The worker keeps the tasks running.
func (h *simHost) restart() {
	h.s.incarnations++
	h.sideIncarnation = fmt.Sprintf("%s-%d", h.name, h.s.incarnations)
	h.fences, h.reports, h.heartbeatSent = map[hv.Attempt]time.Time{}, nil, map[string]time.Time{}
	h.epochs = [simShards]int64{}
	for _, r := range h.runs {
		h.epochs[r.shard] = max(h.epochs[r.shard], r.epoch)
	}
}

// crash ends the host and its tasks; the host restarts without tasks after d.
func (h *simHost) crash(d time.Duration) {
	for _, a := range h.attempts() {
		h.endRun(a, "")
	}
	h.restart()
	h.downUntil = h.s.now.Add(d)
}

func (h *simHost) down() bool { return h.downUntil.After(h.s.now) }

func (h *simHost) receive(run func()) {
	switch {
	case h.down():
	case h.paused.After(h.s.now):
		h.s.schedule(h.paused.Sub(h.s.now), func() { h.receive(run) })
	default:
		run()
	}
}

func (h *simHost) attempts() []hv.Attempt {
	return slices.SortedFunc(maps.Keys(h.runs), func(a, b hv.Attempt) int { return strings.Compare(a.String(), b.String()) })
}

func (h *simHost) tick() {
	if h.down() {
		return
	}
	// The worker itself ends tasks whose lease has expired, even while its side
	// is paused.
	for _, a := range h.attempts() {
		if !h.runs[a].leaseEnd.After(h.s.now) {
			h.endRun(a, hvwire.EventLapsed)
		}
	}
	if h.paused.After(h.s.now) {
		return
	}
	for _, a := range h.attempts() {
		if r := h.runs[a]; !r.doneAt.IsZero() && !r.doneAt.After(h.s.now) {
			event := hvwire.EventDone
			if h.s.chance(15) {
				event = hvwire.EventFailed
			}
			h.endRun(a, event)
		}
	}
	if h.ticks++; h.ticks%20 == 0 {
		h.heartbeat()
	}
}

// endRun ends a run and reports the event.
func (h *simHost) endRun(a hv.Attempt, event string) {
	delete(h.runs, a)
	h.s.tasks[a.Task].ended(h.s, a, event, "")
	if event != "" {
		h.report(hvwire.Report{Attempt: a, Event: event})
	}
}

func (h *simHost) report(r hvwire.Report) {
	r.Host, r.Shard = h.name, shardOf(r.Attempt.Task)
	if r.Event != hvwire.EventStarted {
		h.fences[r.Attempt] = h.s.now
	}
	h.reports = append(h.reports, &r)
}

// heartbeat sends a heartbeat and the unacknowledged reports to all gates.
func (h *simHost) heartbeat() {
	h.heartbeats++
	b := hvwire.Heartbeat{Incarnation: h.sideIncarnation, Sequence: h.heartbeats}
	for _, a := range h.attempts() {
		r := h.runs[a]
		b.Attempts = append(b.Attempts, hvwire.AttemptState{Attempt: a, Shard: r.shard, Epoch: r.epoch, State: hv.StateRunning})
	}
	for a, since := range h.fences {
		if h.s.now.Sub(since) > fenceRetention {
			delete(h.fences, a)
		}
	}
	reports := slices.Clone(h.reports)
	for _, g := range h.s.gates {
		h.heartbeatSent[fmt.Sprint(g.name, b.Sequence)] = h.s.now
		h.heartbeatTo(g, b, h.s.now, reports)
	}
}

func (h *simHost) heartbeatTo(g *simGate, b hvwire.Heartbeat, sent time.Time, reports []*hvwire.Report) {
	reply := func(run func()) { g.toHost(h.name, func(*simHost) { run() }) }
	h.s.send(h.name, g.name, func() {
		g.receive(func() {
			if h.sideIncarnation != b.Incarnation {
				return
			}
			for _, o := range g.owners {
				if r := o.Heartbeat(hv.Host{Name: h.name}, b); r != nil {
					reply(func() { h.renew(*r, sent) })
				}
			}
			for _, r := range reports {
				if ack := g.owners[r.Shard].Report(*r); ack.OK {
					e, _ := g.states[r.Shard].Lookup(r.Attempt.Task)
					recorded := r.Checkpoint != "" && e.Checkpoint == r.Checkpoint
					reply(func() { h.reportAcked(r, recorded) })
				}
			}
		})
	})
}

func (h *simHost) reportAcked(r *hvwire.Report, recorded bool) {
	open := len(h.reports)
	h.reports = slices.DeleteFunc(h.reports, func(other *hvwire.Report) bool { return other == r })
	if recorded && len(h.reports) < open {
		h.s.tasks[r.Attempt.Task].loggedCheckpoints++
	}
}

func (h *simHost) renew(r hvwire.Renewal, sent time.Time) {
	if r.Epoch < h.epochs[r.Shard] {
		return
	}
	h.epochs[r.Shard] = r.Epoch
	for _, a := range r.Stop {
		if h.runs[a] != nil {
			h.endRun(a, hvwire.EventStopped)
		}
	}
	for _, run := range h.runs {
		if run.shard == r.Shard {
			run.epoch, run.leaseEnd = r.Epoch, latest(run.leaseEnd, sent.Add(r.Lease.Std()))
		}
	}
}

func (h *simHost) start(g *simGate, m hvwire.Start) {
	_, fenced := h.fences[m.Attempt]
	if m.Incarnation != h.sideIncarnation || m.Epoch < h.epochs[m.Shard] || h.runs[m.Attempt] != nil || fenced {
		return
	}
	h.epochs[m.Shard] = m.Epoch
	lease := h.heartbeatSent[fmt.Sprint(g.name, m.HeartbeatSequence)].Add(m.Lease.Std())
	if !lease.After(h.s.now) || h.s.chance(10) {
		h.report(hvwire.Report{Attempt: m.Attempt, Event: hvwire.EventRefused, Reason: "injected"})
		return
	}
	run := &simRun{task: m.Task, shard: m.Shard, epoch: m.Epoch, leaseEnd: lease}
	if m.Task.Kind == hv.Job {
		run.doneAt = h.s.now.Add(time.Second + h.s.randomDuration(25*time.Second))
	}
	h.runs[m.Attempt] = run
	h.s.tasks[m.Attempt.Task].started(h.s, h.name, m)
	h.report(hvwire.Report{Attempt: m.Attempt, Event: hvwire.EventStarted})
}

func (h *simHost) stop(m hvwire.Stop) {
	if m.Epoch < h.epochs[m.Shard] {
		return
	}
	h.epochs[m.Shard] = m.Epoch
	run := h.runs[m.Attempt]
	if run == nil {
		if _, fenced := h.fences[m.Attempt]; !fenced {
			h.report(hvwire.Report{Attempt: m.Attempt, Event: hvwire.EventStopped, Reason: "it does not run"})
		}
		return
	}
	checkpoint := ""
	if m.Checkpoint && !h.s.chance(20) {
		checkpoint = "checkpoint of " + m.Attempt.String()
	}
	switch {
	case m.Checkpoint && checkpoint == "" && run.task.Once:
	case m.Checkpoint:
		delete(h.runs, m.Attempt)
		h.s.tasks[m.Attempt.Task].ended(h.s, m.Attempt, hvwire.EventEvicted, checkpoint)
		h.report(hvwire.Report{Attempt: m.Attempt, Event: hvwire.EventEvicted, Checkpoint: checkpoint})
	default:
		h.endRun(m.Attempt, hvwire.EventStopped)
	}
}

func shardOf(id string) int { return hvtask.ShardOf(id) % simShards }

// taskHistory is the actual history of a task, which the test compares the
// recorded state with.
type taskHistory struct {
	task     hv.Task
	accepted bool
	running  map[hv.Attempt]string
	starts   int
	// evictionCheckpoint is the checkpoint of the last end, if the task was
	// evicted with one.
	evictionCheckpoint string
	// loggedAtStart is the number of evictions in the log at the last start.
	loggedAtStart int
	// evictionCount counts all evictions, checkpointCount those with a
	// checkpoint, and loggedCheckpoints those whose checkpoint is in the log.
	evictionCount     int
	loggedCheckpoints int
	checkpointCount   int
}

func (r *taskHistory) started(s *sim, host string, m hvwire.Start) {
	s.t.Helper()
	if len(r.running) > 0 {
		s.t.Fatalf("%s: invariant 2: %s starts on %s while %v runs", s.elapsed(), m.Attempt, host, r.running)
	}
	inLog := 0
	for _, g := range s.gates {
		e, _ := g.states[m.Shard].Lookup(m.Attempt.Task)
		inLog = max(inLog, e.Evictions)
	}
	if inLog > r.loggedAtStart && r.evictionCheckpoint != "" && m.Checkpoint != r.evictionCheckpoint {
		s.t.Fatalf("%s: invariant 3: %s starts from %q, evicted with %q", s.elapsed(), m.Attempt, m.Checkpoint, r.evictionCheckpoint)
	}
	r.loggedAtStart = inLog
	r.starts++
	if r.task.Once && r.starts > 1+r.checkpointCount {
		s.t.Fatalf("%s: %s is start %d of a task that may run only once, with %d checkpoints", s.elapsed(), m.Attempt, r.starts, r.checkpointCount)
	}
	r.running[m.Attempt] = host
	r.evictionCheckpoint = ""
}

func (r *taskHistory) ended(s *sim, a hv.Attempt, event, checkpoint string) {
	delete(r.running, a)
	if event == hvwire.EventEvicted {
		r.evictionCheckpoint = checkpoint
		r.evictionCount++
		if checkpoint != "" {
			r.checkpointCount++
		}
	}
}
