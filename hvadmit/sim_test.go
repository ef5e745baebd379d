package hvadmit

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	simSeed  = 11
	simSlots = 88
	simLeft  = 300 * time.Millisecond
	simTook  = 20 * time.Millisecond
	simTime  = 1500 * time.Millisecond
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// stream offers requests of one caller. Load is in multiples of the capacity
// by requests of usual length; factor multiplies their length.
type stream struct {
	class  hv.Class
	caller string
	load   float64
	factor float64
}

type event struct {
	at     time.Time
	stream int      // an arrival, if end is nil
	end    *waiting // the end of a request
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type waiting struct {
	ticket  *ticket
	stream  int
	arrived time.Time
	err     error
}

// sim runs streams against an admitter in virtual time.
type sim struct {
	clock   *fakeClock
	random  *rand.Rand
	admit   *Admitter
	streams []stream
	queue   events
	decided []*waiting        // admitted or refused since the last step
	took    [][]time.Duration // time in the system per stream
	busy    []time.Duration   // slot time per stream
	offered []int
	// queued and expired count requests that entered after the warm-up, and
	// those of them that were refused after they had waited.
	queued, expired int
	warm            time.Time
}

// simSettings keep queues short, so that they are full soon.
func simSettings() Settings {
	set := DefaultSettings()
	for name, c := range set.Classes {
		c.QueueLimit = 96
		set.Classes[name] = c
	}
	return set
}

func simulate(t *testing.T, build func(hv.Clock, Settings, func(int, string)) *Admitter, set Settings, streams []stream) *sim {
	t.Helper()
	t.Logf("seed %d", simSeed)
	if err := set.Check(); err != nil {
		t.Fatal(err)
	}
	s := &sim{
		clock: &fakeClock{now: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(simSeed, simSeed)),
		streams: streams,
		took:    make([][]time.Duration, len(streams)), busy: make([]time.Duration, len(streams)), offered: make([]int, len(streams)),
	}
	s.admit = build(s.clock, set, func(n int, m string) { t.Errorf("invariant %d: %s", n, m) })
	s.admit.SetLimit("labels", simSlots)
	// The first samples need a while with long requests.
	s.warm = s.clock.now.Add(simTime / 2)
	for i := range streams {
		s.schedule(i)
	}
	end := s.clock.now.Add(simTime)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(end) {
			break
		}
		s.clock.now = e.at
		s.step(e)
	}
	return s
}

func (s *sim) schedule(i int) {
	rate := s.streams[i].load * simSlots / simTook.Seconds()
	gap := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	heap.Push(&s.queue, event{at: s.clock.now.Add(gap), stream: i})
}

func (s *sim) step(e event) {
	defer s.collect()
	if w := e.end; w != nil {
		s.took[w.stream] = append(s.took[w.stream], s.clock.now.Sub(w.arrived))
		s.admit.release(w.ticket)
		return
	}
	st := s.streams[e.stream]
	s.schedule(e.stream)
	s.offered[e.stream]++
	req := hv.Request{Service: "labels", Class: st.class, Caller: st.caller, Left: hv.Duration(simLeft)}
	w := &waiting{stream: e.stream, arrived: s.clock.now}
	w.ticket, _ = s.admit.enqueue(req, func(err error) {
		w.err = err
		s.decided = append(s.decided, w)
	})
	if w.ticket != nil {
		s.queued += s.late(w)
	}
}

// collect starts what the admitter has admitted and counts what it refused.
func (s *sim) collect() {
	for _, w := range s.decided {
		if w.err != nil {
			s.expired += s.late(w)
			continue
		}
		took := time.Duration(s.random.ExpFloat64() * float64(simTook) * s.streams[w.stream].factor)
		s.busy[w.stream] += took
		heap.Push(&s.queue, event{at: s.clock.now.Add(took), end: w})
	}
	s.decided = s.decided[:0]
}

// late is 1 for a request that arrived after the warm-up.
func (s *sim) late(w *waiting) int {
	if w.arrived.Before(s.warm) {
		return 0
	}
	return 1
}

// served is the part of the offered requests of a stream that ran.
func (s *sim) served(i int) float64 { return float64(len(s.took[i])) / float64(s.offered[i]) }

// p99 is over all requests that ran.
func (s *sim) p99(i int) time.Duration {
	list := slices.Clone(s.took[i])
	slices.Sort(list)
	return list[len(list)*99/100]
}

// share is the part of all slot time that a stream got.
func (s *sim) share(i int) float64 {
	return s.busy[i].Seconds() / (simSlots * simTime.Seconds())
}

func (s *sim) total() float64 {
	sum := 0.0
	for i := range s.busy {
		sum += s.share(i)
	}
	return sum
}

// Guards against a flood of the least urgent work that delays urgent work.
func TestBatchFloodLeavesUrgentLatency(t *testing.T) {
	t.Parallel()
	urgent, flood := stream{hv.Urgent, "weights", 0.2, 1}, stream{hv.Batch, "sheets", 10, 1}
	alone := simulate(t, New, simSettings(), []stream{urgent}).p99(0)
	s := simulate(t, New, simSettings(), []stream{urgent, flood})
	if got := s.p99(0); got > 2*alone {
		t.Errorf("urgent p99 is %v during the flood and %v alone, want at most twice", got, alone)
	}
	if s.total() < 0.97 {
		t.Errorf("%.3f of the slots are busy during the flood, want at least 0.97", s.total())
	}
	if s.served(0) < 0.98 {
		t.Errorf("%.3f of the urgent requests ran, want at least 0.98", s.served(0))
	}
	base := simulate(t, NewFIFO, simSettings(), []stream{urgent, flood})
	if base.served(0) > 0.5 {
		t.Errorf("the baseline runs %.3f of the urgent requests: the test does not load it", base.served(0))
	}
}

// Guards against urgent floods that starve the other classes.
func TestUrgentFloodLeavesFloors(t *testing.T) {
	t.Parallel()
	streams := []stream{{hv.Urgent, "weights", 10, 1}, {hv.Standard, "reports", 0.4, 1}, {hv.Batch, "sheets", 0.4, 1}}
	s := simulate(t, New, simSettings(), streams)
	for i, floor := range []float64{0.3, 0.2, 0.1} {
		// Start and end of the run and rounding take up to a tenth.
		if got := s.share(i); got < 0.9*floor {
			t.Errorf("%s gets %.3f of the slots, want its floor %.1f", streams[i].class, got, floor)
		}
	}
	if base := simulate(t, NewFIFO, simSettings(), streams); base.share(2) > 0.09 {
		t.Errorf("the baseline leaves batch %.3f: the test does not load it", base.share(2))
	}
}

// Guards against one caller that floods its own class.
func TestCallerFloodLeavesFloors(t *testing.T) {
	t.Parallel()
	set := simSettings()
	set.Callers = map[string]CallerSettings{
		"flood":  {Weight: 10},
		"vendor": {Weight: 1, Floor: 150},
		"office": {Weight: 1, Floor: 150},
	}
	streams := []stream{{hv.Standard, "flood", 10, 1}, {hv.Standard, "vendor", 0.2, 1}, {hv.Standard, "office", 0.2, 1}}
	s := simulate(t, New, set, streams)
	for i := 1; i < 3; i++ {
		if got := s.share(i); got < 0.9*0.15 {
			t.Errorf("%s gets %.3f of the slots, want its floor 0.15", streams[i].caller, got)
		}
	}
	if s.total() < 0.97 {
		t.Errorf("%.3f of the slots are busy during the flood, want at least 0.97", s.total())
	}
}

// Guards against shares by count, which favour callers with long requests.
func TestManyCallersShareEqually(t *testing.T) {
	t.Parallel()
	var streams []stream
	for i := range 10 {
		streams = append(streams, stream{hv.Standard, fmt.Sprint("c", i), 0.5, 1 + float64(i%2)*3})
	}
	s := simulate(t, New, simSettings(), streams)
	for i := range streams {
		if got := s.share(i); got < 0.07 || got > 0.13 {
			t.Errorf("caller %d gets %.3f of the slots, want about 0.1", i, got)
		}
	}
}

// Guards against floors that hide a lost weight.
func TestClassesShareByWeight(t *testing.T) {
	t.Parallel()
	set := simSettings()
	for i, name := range hv.Classes {
		c := set.Classes[name]
		c.Weight, c.Floor = 3-i, 0
		set.Classes[name] = c
	}
	streams := []stream{{hv.Urgent, "weights", 2, 1}, {hv.Standard, "reports", 2, 1}, {hv.Batch, "sheets", 2, 1}}
	s := simulate(t, New, set, streams)
	for i := range streams {
		want := float64(3-i) / 6
		if got := s.share(i); got < 0.9*want || got > 1.1*want {
			t.Errorf("%s gets %.3f of the slots, want about %.3f", streams[i].class, got, want)
		}
	}
}

// Guards against requests that wait in vain because they are refused only
// when their deadline has passed.
func TestHopelessRequestsAreRefusedEarly(t *testing.T) {
	t.Parallel()
	s := simulate(t, New, DefaultSettings(), []stream{{hv.Urgent, "weights", 3, 5}})
	if part := float64(s.expired) / float64(s.queued); part > 0.1 {
		t.Errorf("%.3f of the queued requests expired in the queue, want at most 0.1", part)
	}
	if s.total() < 0.97 {
		t.Errorf("%.3f of the slots are busy, want at least 0.97", s.total())
	}
}
