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
	simSeed         = 11
	simSlots        = 88
	simDeadline     = 300 * time.Millisecond
	simMeanDuration = 20 * time.Millisecond
	simDuration     = 1500 * time.Millisecond
)

type fakeClock struct{ now time.Time }

func (c *fakeClock) Now() time.Time { return c.now }

// stream is the requests of one caller. Load is the arrival rate as a multiple
// of the rate that all slots serve at the mean duration of requests;
// durationFactor multiplies that duration.
type stream struct {
	class          hv.Class
	caller         string
	load           float64
	durationFactor float64
}

type event struct {
	at       time.Time
	stream   int         // the stream of an arrival, if finished is nil
	finished *simRequest // the end of a request
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

type simRequest struct {
	ticket  *ticket
	stream  int
	arrived time.Time
	err     error
}

// sim runs streams against an admitter in virtual time.
type sim struct {
	clock     *fakeClock
	random    *rand.Rand
	admitter  *Admitter
	streams   []stream
	queue     events
	decisions []*simRequest     // admitted or refused since the last step
	latencies [][]time.Duration // time in the system per stream
	slotTime  []time.Duration   // slot time per stream
	offered   []int
	// queued counts requests that were queued after the warm-up, expired those
	// of them that were refused while they waited.
	queued, expired int
	warmUpEnd       time.Time
}

// simSettings returns settings with short queues that fill up early in a run.
func simSettings() Settings {
	settings := DefaultSettings()
	for name, c := range settings.Classes {
		c.QueueLimit = 96
		settings.Classes[name] = c
	}
	return settings
}

func runSim(t *testing.T, newAdmitter func(hv.Clock, Settings, func(int, string)) *Admitter, settings Settings, streams []stream) *sim {
	t.Helper()
	t.Logf("seed %d", simSeed)
	if err := settings.Check(); err != nil {
		t.Fatal(err)
	}
	s := &sim{
		clock: &fakeClock{now: time.Unix(1000, 0)}, random: rand.New(rand.NewPCG(simSeed, simSeed)),
		streams:   streams,
		latencies: make([][]time.Duration, len(streams)), slotTime: make([]time.Duration, len(streams)), offered: make([]int, len(streams)),
	}
	s.admitter = newAdmitter(s.clock, settings, func(n int, m string) { t.Errorf("invariant %d: %s", n, m) })
	s.admitter.SetLimit("labels", simSlots)
	// The estimate of the slot time needs several samples, which take a while
	// with long requests.
	s.warmUpEnd = s.clock.now.Add(simDuration / 2)
	for i := range streams {
		s.scheduleArrival(i)
	}
	end := s.clock.now.Add(simDuration)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		if e.at.After(end) {
			break
		}
		s.clock.now = e.at
		s.handle(e)
	}
	return s
}

func (s *sim) scheduleArrival(i int) {
	rate := s.streams[i].load * simSlots / simMeanDuration.Seconds()
	interval := time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
	heap.Push(&s.queue, event{at: s.clock.now.Add(interval), stream: i})
}

func (s *sim) handle(e event) {
	defer s.processDecisions()
	if w := e.finished; w != nil {
		s.latencies[w.stream] = append(s.latencies[w.stream], s.clock.now.Sub(w.arrived))
		s.admitter.release(w.ticket)
		return
	}
	st := s.streams[e.stream]
	s.scheduleArrival(e.stream)
	s.offered[e.stream]++
	req := hv.Request{Service: "labels", Class: st.class, Caller: st.caller, Remaining: hv.Duration(simDeadline)}
	w := &simRequest{stream: e.stream, arrived: s.clock.now}
	w.ticket, _ = s.admitter.enqueue(req, func(err error) {
		w.err = err
		s.decisions = append(s.decisions, w)
	})
	if w.ticket != nil {
		s.queued += s.countAfterWarmUp(w)
	}
}

// processDecisions starts the requests that the admitter has admitted and counts
// those that it refused.
func (s *sim) processDecisions() {
	for _, w := range s.decisions {
		if w.err != nil {
			s.expired += s.countAfterWarmUp(w)
			continue
		}
		duration := time.Duration(s.random.ExpFloat64() * float64(simMeanDuration) * s.streams[w.stream].durationFactor)
		s.slotTime[w.stream] += duration
		heap.Push(&s.queue, event{at: s.clock.now.Add(duration), finished: w})
	}
	s.decisions = s.decisions[:0]
}

// countAfterWarmUp returns 1 for a request that arrived after the warm-up, and
// 0 for an earlier one.
func (s *sim) countAfterWarmUp(w *simRequest) int {
	if w.arrived.Before(s.warmUpEnd) {
		return 0
	}
	return 1
}

// servedFraction returns the fraction of a stream's requests that finished.
func (s *sim) servedFraction(i int) float64 {
	return float64(len(s.latencies[i])) / float64(s.offered[i])
}

// p99 returns the 99th percentile of the latencies of finished requests.
func (s *sim) p99(i int) time.Duration {
	sorted := slices.Clone(s.latencies[i])
	slices.Sort(sorted)
	return sorted[len(sorted)*99/100]
}

// slotShare returns the fraction of all slot time that a stream used.
func (s *sim) slotShare(i int) float64 {
	return s.slotTime[i].Seconds() / (simSlots * simDuration.Seconds())
}

func (s *sim) utilization() float64 {
	sum := 0.0
	for i := range s.slotTime {
		sum += s.slotShare(i)
	}
	return sum
}

// Guards against an overload of batch requests that delays urgent ones.
func TestBatchOverloadKeepsUrgentLatency(t *testing.T) {
	t.Parallel()
	urgent, overload := stream{hv.Urgent, "weights", 0.2, 1}, stream{hv.Batch, "sheets", 10, 1}
	alone := runSim(t, New, simSettings(), []stream{urgent}).p99(0)
	s := runSim(t, New, simSettings(), []stream{urgent, overload})
	if got := s.p99(0); got > 2*alone {
		t.Errorf("urgent p99 is %v during the overload and %v alone, want at most twice", got, alone)
	}
	if s.utilization() < 0.97 {
		t.Errorf("%.3f of the slots are busy during the overload, want at least 0.97", s.utilization())
	}
	if s.servedFraction(0) < 0.98 {
		t.Errorf("%.3f of the urgent requests ran, want at least 0.98", s.servedFraction(0))
	}
	baseline := runSim(t, NewFIFO, simSettings(), []stream{urgent, overload})
	if baseline.servedFraction(0) > 0.5 {
		t.Errorf("the baseline runs %.3f of the urgent requests, want at most 0.5: the load of the test is too low", baseline.servedFraction(0))
	}
}

// Guards against an overload of urgent requests that starves the other classes.
func TestUrgentOverloadKeepsFloors(t *testing.T) {
	t.Parallel()
	streams := []stream{{hv.Urgent, "weights", 10, 1}, {hv.Standard, "reports", 0.4, 1}, {hv.Batch, "sheets", 0.4, 1}}
	s := runSim(t, New, simSettings(), streams)
	for i, floor := range []float64{0.3, 0.2, 0.1} {
		// The start and end of the run and rounding cost up to a tenth.
		if got := s.slotShare(i); got < 0.9*floor {
			t.Errorf("%s gets %.3f of the slots, want its floor %.1f", streams[i].class, got, floor)
		}
	}
	if baseline := runSim(t, NewFIFO, simSettings(), streams); baseline.slotShare(2) > 0.09 {
		t.Errorf("the baseline leaves batch %.3f of the slots, want at most 0.09: the load of the test is too low", baseline.slotShare(2))
	}
}

// Guards against one caller that overloads its class and takes the slots that
// the floors of other callers reserve.
func TestCallerOverloadKeepsFloors(t *testing.T) {
	t.Parallel()
	settings := simSettings()
	settings.Callers = map[string]CallerSettings{
		"overload": {Weight: 10},
		"vendor":   {Weight: 1, Floor: 150},
		"office":   {Weight: 1, Floor: 150},
	}
	streams := []stream{{hv.Standard, "overload", 10, 1}, {hv.Standard, "vendor", 0.2, 1}, {hv.Standard, "office", 0.2, 1}}
	s := runSim(t, New, settings, streams)
	for i := 1; i < 3; i++ {
		if got := s.slotShare(i); got < 0.9*0.15 {
			t.Errorf("%s gets %.3f of the slots, want its floor 0.15", streams[i].caller, got)
		}
	}
	if s.utilization() < 0.97 {
		t.Errorf("%.3f of the slots are busy during the overload, want at least 0.97", s.utilization())
	}
}

// Guards against shares by number of requests instead of slot time, which favour
// callers with long requests.
func TestManyCallersShareEqually(t *testing.T) {
	t.Parallel()
	var streams []stream
	for i := range 10 {
		streams = append(streams, stream{hv.Standard, fmt.Sprint("c", i), 0.5, 1 + float64(i%2)*3})
	}
	s := runSim(t, New, simSettings(), streams)
	for i := range streams {
		if got := s.slotShare(i); got < 0.07 || got > 0.13 {
			t.Errorf("caller %d gets %.3f of the slots, want about 0.1", i, got)
		}
	}
}

// Guards against weights that have no effect, which floors would hide.
func TestClassesShareByWeight(t *testing.T) {
	t.Parallel()
	settings := simSettings()
	for i, name := range hv.Classes {
		c := settings.Classes[name]
		c.Weight, c.Floor = 3-i, 0
		settings.Classes[name] = c
	}
	streams := []stream{{hv.Urgent, "weights", 2, 1}, {hv.Standard, "reports", 2, 1}, {hv.Batch, "sheets", 2, 1}}
	s := runSim(t, New, settings, streams)
	for i := range streams {
		want := float64(3-i) / 6
		if got := s.slotShare(i); got < 0.9*want || got > 1.1*want {
			t.Errorf("%s gets %.3f of the slots, want about %.3f", streams[i].class, got, want)
		}
	}
}

// Guards against requests that are refused only when their deadline has passed
// in the queue, although the expected wait was too long from the start.
func TestRequestsThatMissDeadlineAreRefusedEarly(t *testing.T) {
	t.Parallel()
	s := runSim(t, New, DefaultSettings(), []stream{{hv.Urgent, "weights", 3, 5}})
	if fraction := float64(s.expired) / float64(s.queued); fraction > 0.1 {
		t.Errorf("%.3f of the queued requests expired in the queue, want at most 0.1", fraction)
	}
	if s.utilization() < 0.97 {
		t.Errorf("%.3f of the slots are busy, want at least 0.97", s.utilization())
	}
}
