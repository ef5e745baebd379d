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

// fenceFor is how long a side remembers attempts that have ended.
const fenceFor = 60 * time.Second

// simHost is a worker with its side.
type simHost struct {
	s       *sim
	name    string
	side    string
	paused  time.Time
	off     time.Time // the host is down until then
	runs    map[hv.Attempt]*simRun
	epochs  [simShards]int64
	fences  map[hv.Attempt]time.Time
	reports []*hvwire.Report
	sent    map[string]time.Time
	beats   uint64
	ticks   int
}

type simRun struct {
	task  hv.Task
	shard int
	epoch int64
	lease time.Time
	done  time.Time
}

func newSimHost(s *sim, name string) *simHost {
	h := &simHost{s: s, name: name, runs: map[hv.Attempt]*simRun{}}
	h.restart()
	return h
}

// restart replaces the side process. Its tasks keep running at the worker.
func (h *simHost) restart() {
	h.s.starts++
	h.side = fmt.Sprintf("%s-%d", h.name, h.s.starts)
	h.fences, h.reports, h.sent = map[hv.Attempt]time.Time{}, nil, map[string]time.Time{}
	h.epochs = [simShards]int64{}
	for _, r := range h.runs {
		h.epochs[r.shard] = max(h.epochs[r.shard], r.epoch)
	}
}

// die ends the host with its tasks; it returns empty after d.
func (h *simHost) die(d time.Duration) {
	for _, a := range h.attempts() {
		h.finish(a, "")
	}
	h.restart()
	h.off = h.s.now.Add(d)
}

func (h *simHost) down() bool { return h.off.After(h.s.now) }

func (h *simHost) receive(run func()) {
	switch {
	case h.down():
	case h.paused.After(h.s.now):
		h.s.after(h.paused.Sub(h.s.now), func() { h.receive(run) })
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
	// The worker itself ends tasks whose lease has lapsed, also while its side
	// is paused.
	for _, a := range h.attempts() {
		if !h.runs[a].lease.After(h.s.now) {
			h.finish(a, hvwire.EventLapsed)
		}
	}
	if h.paused.After(h.s.now) {
		return
	}
	for _, a := range h.attempts() {
		if r := h.runs[a]; !r.done.IsZero() && !r.done.After(h.s.now) {
			event := hvwire.EventDone
			if h.s.chance(15) {
				event = hvwire.EventFailed
			}
			h.finish(a, event)
		}
	}
	if h.ticks++; h.ticks%20 == 0 {
		h.beat()
	}
}

// finish ends a run and reports the event.
func (h *simHost) finish(a hv.Attempt, event string) {
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

// beat sends a heartbeat and the open reports to all gates.
func (h *simHost) beat() {
	h.beats++
	b := hvwire.Heartbeat{Incarnation: h.side, Sequence: h.beats}
	for _, a := range h.attempts() {
		r := h.runs[a]
		b.Attempts = append(b.Attempts, hvwire.AttemptState{Attempt: a, Shard: r.shard, Epoch: r.epoch, State: hv.StateRunning})
	}
	for a, since := range h.fences {
		if h.s.now.Sub(since) > fenceFor {
			delete(h.fences, a)
		}
	}
	reports := slices.Clone(h.reports)
	for _, g := range h.s.gates {
		h.sent[fmt.Sprint(g.name, b.Sequence)] = h.s.now
		h.beatTo(g, b, h.s.now, reports)
	}
}

func (h *simHost) beatTo(g *simGate, b hvwire.Heartbeat, sent time.Time, reports []*hvwire.Report) {
	reply := func(run func()) { g.toHost(h.name, func(*simHost) { run() }) }
	h.s.send(h.name, g.name, func() {
		g.receive(func() {
			if h.side != b.Incarnation {
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
					reply(func() { h.acked(r, recorded) })
				}
			}
		})
	})
}

func (h *simHost) acked(r *hvwire.Report, recorded bool) {
	open := len(h.reports)
	h.reports = slices.DeleteFunc(h.reports, func(other *hvwire.Report) bool { return other == r })
	if recorded && len(h.reports) < open {
		h.s.tasks[r.Attempt.Task].recorded++
	}
}

func (h *simHost) renew(r hvwire.Renewal, sent time.Time) {
	if r.Epoch < h.epochs[r.Shard] {
		return
	}
	h.epochs[r.Shard] = r.Epoch
	for _, a := range r.Stop {
		if h.runs[a] != nil {
			h.finish(a, hvwire.EventStopped)
		}
	}
	for _, run := range h.runs {
		if run.shard == r.Shard {
			run.epoch, run.lease = r.Epoch, latest(run.lease, sent.Add(r.Lease.Std()))
		}
	}
}

func (h *simHost) start(g *simGate, m hvwire.Start) {
	_, fenced := h.fences[m.Attempt]
	if m.Incarnation != h.side || m.Epoch < h.epochs[m.Shard] || h.runs[m.Attempt] != nil || fenced {
		return
	}
	h.epochs[m.Shard] = m.Epoch
	lease := h.sent[fmt.Sprint(g.name, m.HeartbeatSequence)].Add(m.Lease.Std())
	if !lease.After(h.s.now) || h.s.chance(10) {
		h.report(hvwire.Report{Attempt: m.Attempt, Event: hvwire.EventRefused, Reason: "injected"})
		return
	}
	run := &simRun{task: m.Task, shard: m.Shard, epoch: m.Epoch, lease: lease}
	if m.Task.Kind == hv.Job {
		run.done = h.s.now.Add(time.Second + h.s.random(25*time.Second))
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
		h.finish(m.Attempt, hvwire.EventStopped)
	}
}

func shardOf(id string) int { return hvtask.ShardOf(id) % simShards }

// history is what really happened to a task: the oracle.
type history struct {
	task     hv.Task
	accepted bool
	running  map[hv.Attempt]string
	starts   int
	// evicted is the checkpoint of the last end, if it was an eviction with one.
	evicted string
	// resumed is the number of evictions in the log at the last start.
	resumed int
	// evictions counts all, recorded those that are in the log with their
	// checkpoint, checkpoint those that wrote one.
	evictions  int
	recorded   int
	checkpoint int
}

func (r *history) started(s *sim, host string, m hvwire.Start) {
	s.t.Helper()
	if len(r.running) > 0 {
		s.t.Fatalf("%s: invariant 2: %s starts on %s while %v runs", s.at(), m.Attempt, host, r.running)
	}
	inLog := 0
	for _, g := range s.gates {
		e, _ := g.states[m.Shard].Lookup(m.Attempt.Task)
		inLog = max(inLog, e.Evictions)
	}
	if inLog > r.resumed && r.evicted != "" && m.Checkpoint != r.evicted {
		s.t.Fatalf("%s: invariant 3: %s starts from %q, evicted with %q", s.at(), m.Attempt, m.Checkpoint, r.evicted)
	}
	r.resumed = inLog
	r.starts++
	if r.task.Once && r.starts > 1+r.checkpoint {
		s.t.Fatalf("%s: %s is start %d of a once task with %d checkpoints", s.at(), m.Attempt, r.starts, r.checkpoint)
	}
	r.running[m.Attempt] = host
	r.evicted = ""
}

func (r *history) ended(s *sim, a hv.Attempt, event, checkpoint string) {
	delete(r.running, a)
	if event == hvwire.EventEvicted {
		r.evicted = checkpoint
		r.evictions++
		if checkpoint != "" {
			r.checkpoint++
		}
	}
}
