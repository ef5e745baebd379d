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

// Slowdown returns the 99th percentile of the recent latencies divided by the
// target, or 0 if there are too few samples or no target.
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
	if len(recent) < minSamples || target <= 0 {
		return 0
	}
	slices.Sort(recent)
	rank := (len(recent)*percentile + 99) / 100
	return float64(recent[rank-1]) / float64(target)
}
