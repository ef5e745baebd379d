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
	set     metrics.Registry
	callers *values
	count   atomic.Int64
	lost    metrics.Counter
}

// New returns a registry that keeps up to callers distinct callers apart.
func New(callers int) *Registry {
	r := &Registry{set: metrics.NewRegistry(), callers: newValues(callers), lost: metrics.NewCounter()}
	// The only error is a name that is taken, and the registry is empty.
	_ = r.set.Register("hv_series_dropped_total", r.lost)
	return r
}

// Count adds n to a counter of one caller and class. Further pairs of label
// name and value must come from small fixed sets.
func (r *Registry) Count(name, caller string, class hv.Class, n int64, pairs ...string) {
	r.counter(r.label(name, caller, class, pairs)).Inc(n)
}

// Observe adds a duration to a histogram of one caller and class.
func (r *Registry) Observe(name, caller string, class hv.Class, took time.Duration) {
	r.histogram(r.label(name, caller, class, nil)).Update(took.Microseconds())
}

// Add adds n to a counter that does not belong to a caller.
func (r *Registry) Add(name string, n int64, pairs ...string) {
	r.counter(series(name, pairs...)).Inc(n)
}

// Set sets a gauge.
func (r *Registry) Set(name string, value int64, pairs ...string) {
	full := series(name, pairs...)
	if g, ok := find(r, full, metrics.NewGauge).(metrics.Gauge); ok {
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
	c, ok := r.set.Get(series("hv_violations_total", "invariant", strconv.Itoa(invariant))).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

func (r *Registry) label(name, caller string, class hv.Class, pairs []string) string {
	return series(name, append([]string{"caller", r.callers.bound(caller), "class", string(class)}, pairs...)...)
}

func (r *Registry) counter(full string) metrics.Counter {
	if c, ok := find(r, full, metrics.NewCounter).(metrics.Counter); ok {
		return c
	}
	return r.lost
}

func (r *Registry) histogram(full string) metrics.Histogram {
	if h, ok := find(r, full, newHistogram).(metrics.Histogram); ok {
		return h
	}
	r.lost.Inc(1)
	return metrics.NilHistogram{}
}

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleDecay))
}

// find returns the series of a name and makes it if there is room.
func find[T any](r *Registry, full string, make func() T) any {
	if m := r.set.Get(full); m != nil {
		return m
	}
	if r.count.Load() >= maxSeries {
		return nil
	}
	r.count.Add(1)
	return r.set.GetOrRegister(full, make())
}
