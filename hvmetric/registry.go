// Package hvmetric keeps counters, gauges and histograms, most of them per caller
// and class.
package hvmetric

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// DefaultCallerLimit is the usual bound on the distinct callers of a registry.
	DefaultCallerLimit = 64
	// maxSeries bounds the series of a registry, as an additional safeguard
	// against series names that are built from input.
	maxSeries = 4096
	// sampleSize and sampleDecay are the values from the documentation of
	// go-metrics: the quantiles cover about the last five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Registry holds all series of a process. It is safe for concurrent use.
type Registry struct {
	metrics     metrics.Registry
	callers     *labelValues
	seriesCount atomic.Int64
	dropped     metrics.Counter
}

// New returns a registry with up to callerLimit distinct caller labels. Further
// callers are counted under Other.
func New(callerLimit int) *Registry {
	r := &Registry{metrics: metrics.NewRegistry(), callers: newLabelValues(callerLimit), dropped: metrics.NewCounter()}
	// Register fails only for a duplicate name, and the registry is empty.
	_ = r.metrics.Register("hv_series_dropped_total", r.dropped)
	return r
}

// Count adds n to a counter of a caller and class. Additional pairs of label name
// and value must come from small fixed sets.
func (r *Registry) Count(name, caller string, class hv.Class, n int64, pairs ...string) {
	r.counter(r.callerSeriesName(name, caller, class, pairs)).Inc(n)
}

// Observe adds a duration to a histogram of a caller and class, in microseconds.
func (r *Registry) Observe(name, caller string, class hv.Class, took time.Duration) {
	r.histogram(r.callerSeriesName(name, caller, class, nil)).Update(took.Microseconds())
}

// Add adds n to a counter without the labels caller and class.
func (r *Registry) Add(name string, n int64, pairs ...string) {
	r.counter(seriesName(name, pairs...)).Inc(n)
}

// Set sets a gauge.
func (r *Registry) Set(name string, value int64, pairs ...string) {
	fullName := seriesName(name, pairs...)
	if g, ok := getOrCreate(r, fullName, metrics.NewGauge).(metrics.Gauge); ok {
		g.Update(value)
	}
}

// ReportViolation counts a violation of the invariant with the given number. The
// message is meant for logs and is ignored.
func (r *Registry) ReportViolation(invariant int, _ string) {
	r.Add("hv_violations_total", 1, "invariant", strconv.Itoa(invariant))
}

// ViolationCount returns the number of violations of an invariant.
func (r *Registry) ViolationCount(invariant int) int64 {
	c, ok := r.metrics.Get(seriesName("hv_violations_total", "invariant", strconv.Itoa(invariant))).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

func (r *Registry) callerSeriesName(name, caller string, class hv.Class, pairs []string) string {
	return seriesName(name, append([]string{"caller", r.callers.limitValue(caller), "class", string(class)}, pairs...)...)
}

func (r *Registry) counter(fullName string) metrics.Counter {
	if c, ok := getOrCreate(r, fullName, metrics.NewCounter).(metrics.Counter); ok {
		return c
	}
	return r.dropped
}

func (r *Registry) histogram(fullName string) metrics.Histogram {
	if h, ok := getOrCreate(r, fullName, newHistogram).(metrics.Histogram); ok {
		return h
	}
	r.dropped.Inc(1)
	return metrics.NilHistogram{}
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// getOrCreate returns the series with a name and creates it if needed. It returns
// nil if the series does not exist and the registry has maxSeries.
func getOrCreate[T any](r *Registry, fullName string, create func() T) any {
	if m := r.metrics.Get(fullName); m != nil {
		return m
	}
	if r.seriesCount.Load() >= maxSeries {
		return nil
	}
	r.seriesCount.Add(1)
	return r.metrics.GetOrRegister(fullName, create())
}
