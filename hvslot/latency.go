package hvslot

import (
	"slices"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// windowSize is the maximum number of samples. A 99th percentile needs
	// several hundred.
	windowSize = 512
	// windowAge is the time for which a sample counts. It is short so that the
	// slowdown that a guard reads is current.
	windowAge = 10 * time.Second
	// minSamples is the number of samples below which no percentile is computed.
	minSamples = 8
	percentile = 99
)

type sample struct {
	at   time.Time
	took time.Duration
}

// LatencyWindow holds the recent latencies of an upstream. It is safe for
// concurrent use.
type LatencyWindow struct {
	clock hv.Clock

	mu      sync.Mutex
	samples [windowSize]sample
	next    int
	// started holds when the requests in progress were started, by number.
	started    map[int64]time.Time
	lastNumber int64
}

// NewLatencyWindow returns an empty window.
func NewLatencyWindow(clock hv.Clock) *LatencyWindow {
	return &LatencyWindow{clock: clock, started: map[int64]time.Time{}}
}

// Begin records the start of a request and returns its number for End.
func (l *LatencyWindow) Begin() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	l.started[l.lastNumber] = l.clock.Now()
	return l.lastNumber
}

// End records that a request is no longer in progress.
func (l *LatencyWindow) End(number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.started, number)
}

// Add records the latency of one request.
func (l *LatencyWindow) Add(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.next] = sample{l.clock.Now(), took}
	l.next = (l.next + 1) % windowSize
}

// Slowdown returns the 99th percentile of the recent latencies divided by the
// target, or 0 if there are too few samples or no target. Requests in progress that
// are over the target count with their time so far: a service that stands still
// completes none.
func (l *LatencyWindow) Slowdown(target time.Duration) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	since := l.clock.Now().Add(-windowAge)
	var recent []time.Duration
	for _, s := range l.samples {
		if s.at.After(since) {
			recent = append(recent, s.took)
		}
	}
	for _, started := range l.started {
		if took := l.clock.Now().Sub(started); took > target {
			recent = append(recent, took)
		}
	}
	if len(recent) < minSamples || target <= 0 {
		return 0
	}
	slices.Sort(recent)
	rank := (len(recent)*percentile + 99) / 100
	return float64(recent[rank-1]) / float64(target)
}
