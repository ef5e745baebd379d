// Package hvmetric counts requests and measures times per caller and class.
package hvmetric

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// DefaultCallerLimit bounds the distinct callers of one registry.
	DefaultCallerLimit = 64
	// maxSeries bounds the series of one registry as a second line of defence
	// against names that are built from input.
	maxSeries = 4096
	// sampleSize and sampleDecay are those of the library's documentation:
	// the quantiles follow about the last five minutes.
	sampleSize  = 1028
	sampleDecay = 0.015
)

// Registry holds all series of one process. Its methods may be called from
// any goroutine.
type Registry struct {
	metrics     metrics.Registry
	callers     *labelValues
	seriesCount atomic.Int64
	dropped     metrics.Counter
}

// New returns a registry that keeps up to callers distinct callers apart.
func New(callers int) *Registry {
	r := &Registry{metrics: metrics.NewRegistry(), callers: newLabelValues(callers), dropped: metrics.NewCounter()}
	// The only error is a name that is taken, and the registry is empty.
	_ = r.metrics.Register("hv_series_dropped_total", r.dropped)
	return r
}

// Count adds n to a counter of one caller and class. Further pairs of label
// name and value must come from small fixed sets.
func (r *Registry) Count(name, caller string, class hv.Class, n int64, pairs ...string) {
	r.counter(r.callerSeriesName(name, caller, class, pairs)).Inc(n)
}

// Observe adds a duration to a histogram of one caller and class.
func (r *Registry) Observe(name, caller string, class hv.Class, took time.Duration) {
	r.histogram(r.callerSeriesName(name, caller, class, nil)).Update(took.Microseconds())
}

// Add adds n to a counter that does not belong to a caller.
func (r *Registry) Add(name string, n int64, pairs ...string) {
	r.counter(seriesName(name, pairs...)).Inc(n)
}

// Set sets a gauge.
func (r *Registry) Set(name string, value int64, pairs ...string) {
	full := seriesName(name, pairs...)
	if g, ok := getOrCreate(r, full, metrics.NewGauge).(metrics.Gauge); ok {
		g.Update(value)
	}
}

// ReportViolation counts a violated invariant by its number. The message is for
// logs and is not kept.
func (r *Registry) ReportViolation(invariant int, _ string) {
	r.Add("hv_violations_total", 1, "invariant", strconv.Itoa(invariant))
}

// ViolationCount returns how often an invariant was violated.
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

func (r *Registry) counter(full string) metrics.Counter {
	if c, ok := getOrCreate(r, full, metrics.NewCounter).(metrics.Counter); ok {
		return c
	}
	return r.dropped
}

func (r *Registry) histogram(full string) metrics.Histogram {
	if h, ok := getOrCreate(r, full, newHistogram).(metrics.Histogram); ok {
		return h
	}
	r.dropped.Inc(1)
	return metrics.NilHistogram{}
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// getOrCreate returns the series of a name and makes it if there is room.
func getOrCreate[T any](r *Registry, full string, create func() T) any {
	if m := r.metrics.Get(full); m != nil {
		return m
	}
	if r.seriesCount.Load() >= maxSeries {
		return nil
	}
	r.seriesCount.Add(1)
	return r.metrics.GetOrRegister(full, create())
}
