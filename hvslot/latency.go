package hvslot

import (
	"slices"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// windowSize bounds the samples; a 99th percentile needs some hundreds.
	windowSize = 512
	// windowAge is how long a sample counts, so that a guard sees the present.
	windowAge = 10 * time.Second
	// windowLeast is the number of samples below which there is no percentile.
	windowLeast = 8
	percentile  = 99
)

type sample struct {
	at   time.Time
	took time.Duration
}

// LatencyWindow is a sliding window of the upstream's latencies.
type LatencyWindow struct {
	clock hv.Clock

	mu      sync.Mutex
	samples [windowSize]sample
	next    int
}

// NewLatencyWindow returns an empty window.
func NewLatencyWindow(clock hv.Clock) *LatencyWindow { return &LatencyWindow{clock: clock} }

// Add records the latency of one request.
func (l *LatencyWindow) Add(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples[l.next] = sample{l.clock.Now(), took}
	l.next = (l.next + 1) % windowSize
}

// Slowdown returns the 99th percentile divided by the target, or 0 without
// enough samples.
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
	if len(recent) < windowLeast || target <= 0 {
		return 0
	}
	slices.Sort(recent)
	rank := (len(recent)*percentile + 99) / 100
	return float64(recent[rank-1]) / float64(target)
}
