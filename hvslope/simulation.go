package hvslope

import (
	"math/rand/v2"
	"runtime"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvshard"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

const (
	leaseDuration = 10 * time.Second
	// stepInterval is the interval of a shard owner's steps; jobRuntime is the run
	// time of the jobs that the simulation starts.
	stepInterval   = 50 * time.Millisecond
	stepsPerSecond = int(time.Second / stepInterval)
	jobRuntime     = 3 * time.Second
)

// simulation runs the owners of all shards in virtual time, with hosts that start
// every task as requested. It counts records and measures processing time.
type simulation struct {
	*fleet
	clock  *manualClock
	quorum *hvquorum.Tracker
	states []*hvtask.Shard
	owners []*hvshard.Owner
	// heldAttempts are the attempts on each host; startTimes has the start times
	// of those that the simulation started.
	heldAttempts [][]hvwire.AttemptState
	startTimes   map[string]time.Time
	hostIndex    map[string]int
	offsets      []hv.Offset

	// startRate is the number of task starts per second at the design size.
	// Smaller fleets have a proportional rate.
	startRate          int
	sequence           uint64
	submitted          int
	pendingStarts      float64
	records, bytes     int
	completed          int
	stepTime           time.Duration
	heartbeatTime      time.Duration
	applyTime          time.Duration
	measureAllocations bool
	allocatedBytes     uint64
}

func (f *fleet) newSimulation(startRate int) *simulation {
	s := &simulation{
		fleet: f, startRate: startRate, clock: &manualClock{startTime}, states: f.shardStates(), startTimes: map[string]time.Time{}, hostIndex: map[string]int{},
		offsets: make([]hv.Offset, hvtask.Shards),
	}
	for i, h := range f.hosts {
		s.heldAttempts = append(s.heldAttempts, f.attempts(i))
		s.hostIndex[h.Name] = i
	}
	s.quorum = hvquorum.New(hvquorum.Config{Gate: gateName, Incarnation: owner, LeaseDuration: leaseDuration, ClockMargin: leaseDuration / 20}, s.clock, []string{gateName})
	placer := f.placer(s.clock)
	for i := range hvtask.Shards {
		s.offsets[i] = 100
		s.owners = append(s.owners, hvshard.New(
			hvshard.Config{Gate: gateName, Incarnation: owner, Shard: i, LeaseDuration: leaseDuration, ClockMargin: leaseDuration / 20},
			hvshard.Deps{
				Clock: s.clock, States: s.states, Quorum: s.quorum, Placer: placer, Hosts: s,
				Rand: rand.New(rand.NewPCG(1, uint64(i))),
			}))
		s.owners[i].SetSettings(hvshard.Settings{Teams: quotas()})
	}
	return s
}

func quotas() map[string]hv.Resources {
	all := map[string]hv.Resources{}
	for i := range teamCount {
		all[taskOf(i).Team] = hv.Resources{Processors: 1 << 40, Memory: 1 << 50, Accelerators: 1 << 20}
	}
	return all
}

// Simulate starts tasks at a rate for a number of seconds, after a warm-up in
// which tasks come to end at the same rate.
func (f *fleet) Simulate(startRate, seconds int) *simulation {
	s := f.newSimulation(startRate)
	warmUp := 2 * int(jobRuntime/time.Second)
	for range warmUp {
		s.runSecond()
	}
	s.records, s.bytes, s.completed, s.stepTime, s.heartbeatTime, s.applyTime = 0, 0, 0, 0, 0, 0
	for range seconds {
		s.runSecond()
	}
	return s
}

// runSecond simulates one second of heartbeats and steps.
func (s *simulation) runSecond() {
	for i := range s.owners {
		s.quorum.RecordRead(hvshard.StreamName(i), s.clock.now)
	}
	for tick := range stepsPerSecond {
		s.clock.now = s.clock.now.Add(stepInterval)
		s.submit()
		// The heartbeats of the hosts are spread evenly over the second.
		for h := tick; h < len(s.hosts); h += stepsPerSecond {
			s.sendHeartbeat(h)
		}
		for i := range s.owners {
			s.step(i)
		}
	}
}

func (s *simulation) submit() {
	for s.pendingStarts += float64(s.startRate*len(s.hosts)) / designHosts / float64(stepsPerSecond); s.pendingStarts >= 1; s.pendingStarts-- {
		t := taskOf(2_000_000 + 3*s.submitted)
		s.submitted++
		if _, err := s.owners[hvtask.ShardOf(t.ID)].Add(hvtask.Submit(t)); err != nil {
			panic(err)
		}
	}
}

func (s *simulation) sendHeartbeat(host int) {
	s.finishJobs(host)
	s.sequence++
	b := heartbeat(host, s.sequence, s.heldAttempts[host])
	begin := time.Now()
	for _, o := range s.owners {
		o.Heartbeat(s.hosts[host], b)
	}
	s.heartbeatTime += time.Since(begin)
}

// finishJobs ends the jobs of a host that have reached their run time. A job
// stays listed until the owner has acknowledged its end.
func (s *simulation) finishJobs(host int) {
	running := s.heldAttempts[host][:0:0]
	for _, a := range s.heldAttempts[host] {
		startedAt, started := s.startTimes[a.Attempt.Task]
		if !started || s.clock.now.Sub(startedAt) < jobRuntime || !s.reportDone(host, a) {
			running = append(running, a)
		}
	}
	s.heldAttempts[host] = running
}

func (s *simulation) reportDone(host int, a hvwire.AttemptState) bool {
	ack := s.owners[a.Shard].Report(hvwire.Report{Host: s.hosts[host].Name, Attempt: a.Attempt, Shard: a.Shard, Event: hvwire.EventDone})
	if ack.OK {
		delete(s.startTimes, a.Attempt.Task)
		s.completed++
	}
	return ack.OK
}

func (s *simulation) step(shard int) {
	b := s.timedStep(shard)
	if b == nil {
		return
	}
	s.offsets[shard]++
	rec := recordOf(hvtask.KindOps, int(s.offsets[shard]), b.Body)
	s.records++
	s.bytes += len(encode(rec))
	rec.Offset, rec.Time = s.offsets[shard], s.clock.now
	begin := time.Now()
	s.states[shard].Apply(rec)
	s.applyTime += time.Since(begin)
	s.owners[shard].Finish(b, s.clock.now, nil)
}

func (s *simulation) timedStep(shard int) *hvshard.Batch {
	var before, after runtime.MemStats
	if s.measureAllocations {
		runtime.ReadMemStats(&before)
		defer func() {
			runtime.ReadMemStats(&after)
			s.allocatedBytes += after.TotalAlloc - before.TotalAlloc
		}()
	}
	begin := time.Now()
	b := s.owners[shard].Step(s.clock.now)
	s.stepTime += time.Since(begin)
	return b
}

// Start implements hvshard.Hosts.
func (s *simulation) Start(host string, m hvwire.Start) {
	if _, ok := s.startTimes[m.Attempt.Task]; ok {
		return
	}
	i := s.hostIndex[host]
	s.startTimes[m.Attempt.Task] = s.clock.now
	s.heldAttempts[i] = append(s.heldAttempts[i], stateOf(m.Attempt.Task))
}

// Stop implements hvshard.Hosts.
func (s *simulation) Stop(host string, m hvwire.Stop) {
	panic("unexpected stop of " + m.Attempt.String() + " on " + host + ": " + m.Reason)
}

// Throttle implements hvshard.Hosts.
func (s *simulation) Throttle(string, hvwire.Throttle) {}

// stepAllocation returns the mean bytes that a step of an owner allocates at the
// peak rate, over the steps of one second. runtime.ReadMemStats stops the world,
// so times are measured in other runs.
func (f *fleet) stepAllocation() float64 {
	s := f.Simulate(designStarts, 0)
	s.measureAllocations = true
	s.runSecond()
	return float64(s.allocatedBytes) / float64(hvtask.Shards*stepsPerSecond)
}
