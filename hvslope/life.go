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
	lease = 10 * time.Second
	// step and runtime are those of an owner and of a short job.
	step         = 50 * time.Millisecond
	stepsSecond  = int(time.Second / step)
	shortRuntime = 3 * time.Second
)

// life runs owners of all shards in virtual time over hosts that do what they
// are told, and counts records and time.
type life struct {
	*fleet
	clock  *manualClock
	view   *hvquorum.Tracker
	states []*hvtask.Shard
	owners []*hvshard.Owner
	// held are the attempts of each host, started when they began.
	held    [][]hvwire.AttemptState
	started map[string]time.Time
	index   map[string]int
	offsets []hv.Offset

	// starts is the rate of the design size; smaller fleets have a part of it.
	starts         int
	sequence       uint64
	submitted      int
	owed           float64
	records, bytes int
	lives          int
	stepTime       time.Duration
	beatTime       time.Duration
	applyTime      time.Duration
	allocations    bool
	allocated      uint64
}

func (f *fleet) newLife(starts int) *life {
	l := &life{
		fleet: f, starts: starts, clock: &manualClock{start}, states: f.states(), started: map[string]time.Time{}, index: map[string]int{},
		offsets: make([]hv.Offset, hvtask.Shards),
	}
	for i, h := range f.hosts {
		l.held = append(l.held, f.attempts(i))
		l.index[h.Name] = i
	}
	l.view = hvquorum.New(hvquorum.Config{Gate: gateName, Incarnation: owner, LeaseDuration: lease, ClockMargin: lease / 20}, l.clock, []string{gateName})
	placer := f.placer(l.clock)
	for i := range hvtask.Shards {
		l.offsets[i] = 100
		l.owners = append(l.owners, hvshard.New(
			hvshard.Config{Gate: gateName, Incarnation: owner, Shard: i, LeaseDuration: lease, ClockMargin: lease / 20},
			hvshard.Deps{
				Clock: l.clock, States: l.states, Quorum: l.view, Placer: placer, Hosts: l,
				Rand: rand.New(rand.NewPCG(1, uint64(i))),
			}))
		l.owners[i].SetSettings(hvshard.Settings{Teams: quotas()})
	}
	return l
}

func quotas() map[string]hv.Resources {
	all := map[string]hv.Resources{}
	for i := range teamCount {
		all[taskOf(i).Team] = hv.Resources{Processors: 1 << 40, Memory: 1 << 50, Accelerators: 1 << 20}
	}
	return all
}

// Life starts tasks at a rate for a number of seconds, after a time in which
// the rate of their ends becomes the same.
func (f *fleet) Life(starts, seconds int) *life {
	l := f.newLife(starts)
	warm := 2 * int(shortRuntime/time.Second)
	for range warm {
		l.second()
	}
	l.records, l.bytes, l.lives, l.stepTime, l.beatTime, l.applyTime = 0, 0, 0, 0, 0, 0
	for range seconds {
		l.second()
	}
	return l
}

// second runs the heartbeats and steps of one second.
func (l *life) second() {
	for i := range l.owners {
		l.view.RecordRead(hvshard.StreamName(i), l.clock.now)
	}
	for tick := range stepsSecond {
		l.clock.now = l.clock.now.Add(step)
		l.submit()
		// Hosts are spread evenly over the second.
		for h := tick; h < len(l.hosts); h += stepsSecond {
			l.beat(h)
		}
		for i := range l.owners {
			l.step(i)
		}
	}
}

func (l *life) submit() {
	for l.owed += float64(l.starts*len(l.hosts)) / designHosts / float64(stepsSecond); l.owed >= 1; l.owed-- {
		t := taskOf(2_000_000 + 3*l.submitted)
		l.submitted++
		if _, err := l.owners[hvtask.ShardOf(t.ID)].Add(hvtask.Submit(t)); err != nil {
			panic(err)
		}
	}
}

func (l *life) beat(host int) {
	l.finish(host)
	l.sequence++
	b := heartbeat(host, l.sequence, l.held[host])
	begin := time.Now()
	for _, o := range l.owners {
		o.Heartbeat(l.hosts[host], b)
	}
	l.beatTime += time.Since(begin)
}

// finish ends the short jobs of a host, which stay listed until the owner has
// acknowledged the end.
func (l *life) finish(host int) {
	kept := l.held[host][:0:0]
	for _, a := range l.held[host] {
		since, short := l.started[a.Attempt.Task]
		if !short || l.clock.now.Sub(since) < shortRuntime || !l.report(host, a) {
			kept = append(kept, a)
		}
	}
	l.held[host] = kept
}

func (l *life) report(host int, a hvwire.AttemptState) bool {
	ack := l.owners[a.Shard].Report(hvwire.Report{Host: l.hosts[host].Name, Attempt: a.Attempt, Shard: a.Shard, Event: hvwire.EventDone})
	if ack.OK {
		delete(l.started, a.Attempt.Task)
		l.lives++
	}
	return ack.OK
}

func (l *life) step(shard int) {
	b := l.timedStep(shard)
	if b == nil {
		return
	}
	l.offsets[shard]++
	rec := recordOf(hvtask.KindOps, int(l.offsets[shard]), b.Body)
	l.records++
	l.bytes += len(encode(rec))
	rec.Offset, rec.Time = l.offsets[shard], l.clock.now
	begin := time.Now()
	l.states[shard].Apply(rec)
	l.applyTime += time.Since(begin)
	l.owners[shard].Finish(b, l.clock.now, nil)
}

func (l *life) timedStep(shard int) *hvshard.Batch {
	var before, after runtime.MemStats
	if l.allocations {
		runtime.ReadMemStats(&before)
		defer func() {
			runtime.ReadMemStats(&after)
			l.allocated += after.TotalAlloc - before.TotalAlloc
		}()
	}
	begin := time.Now()
	b := l.owners[shard].Step(l.clock.now)
	l.stepTime += time.Since(begin)
	return b
}

// Start implements hvshard.Hosts.
func (l *life) Start(host string, m hvwire.Start) {
	if _, ok := l.started[m.Attempt.Task]; ok {
		return
	}
	i := l.index[host]
	l.started[m.Attempt.Task] = l.clock.now
	l.held[i] = append(l.held[i], stateOf(m.Attempt.Task))
}

// Stop implements hvshard.Hosts.
func (l *life) Stop(host string, m hvwire.Stop) {
	panic("the owner stops " + m.Attempt.String() + " on " + host + ": " + m.Reason)
}

// Throttle implements hvshard.Hosts.
func (l *life) Throttle(string, hvwire.Throttle) {}

// stepBytes returns the bytes that a step of an owner allocates at the peak
// rate, over the steps of one second. Reading the allocation stops the
// program, so the times come from other runs.
func (f *fleet) stepBytes() float64 {
	l := f.Life(designStarts, 0)
	l.allocations = true
	l.second()
	return float64(l.allocated) / float64(hvtask.Shards*stepsSecond)
}
