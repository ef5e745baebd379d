package hvmeasure

import (
	"math"
	"math/rand/v2"
	"slices"
)

const (
	slots       = 8
	connections = 64
	// A request takes 20 ms plus an exponentially distributed time with a mean
	// of 20 ms, so its unloaded p99 is 112 ms.
	fixedMillis  = 20.0
	randomMillis = 20.0
	unloadedP99  = 112.0
	// refusedMillis is the latency recorded for a request that is refused because
	// all 64 connections are in use.
	refusedMillis = 2000.0
)

// upstream is a queue with 8 slots whose service time is multiplied by a
// slowdown.
type upstream struct {
	service  string
	free     [slots]float64 // when each slot is free, in ms
	endTimes []float64      // when the requests that hold a connection end
	window   []float64      // latencies since the last report, in ms
	random   *rand.Rand
}

// runSecond simulates the requests that arrive within one second.
func (u *upstream) runSecond(from float64, rate, slowdown float64, latencies *histogram) {
	for t := from + u.random.ExpFloat64()*1000/rate; t < from+1000; t += u.random.ExpFloat64() * 1000 / rate {
		latency := u.request(t, slowdown)
		u.window = append(u.window, latency)
		latencies.add(latency)
	}
}

func (u *upstream) request(arrival, slowdown float64) float64 {
	u.endTimes = slices.DeleteFunc(u.endTimes, func(e float64) bool { return e <= arrival })
	if len(u.endTimes) >= connections {
		return refusedMillis
	}
	slot := 0
	for i, f := range u.free {
		if f < u.free[slot] {
			slot = i
		}
	}
	end := max(arrival, u.free[slot]) + (fixedMillis+randomMillis*u.random.ExpFloat64())*slowdown
	u.free[slot] = end
	u.endTimes = append(u.endTimes, end)
	return end - arrival
}

// takeP99 returns the p99 of the window and starts a new window.
func (u *upstream) takeP99() float64 {
	if len(u.window) == 0 {
		return 0
	}
	slices.Sort(u.window)
	p99 := u.window[len(u.window)*99/100]
	u.window = u.window[:0]
	return p99
}

// histogram counts latencies in buckets that each are 2% wider than the one
// before.
type histogram struct {
	counts [512]int
	total  int
}

const histogramBase = 1.02

func (h *histogram) add(millis float64) {
	i := int(math.Log(max(millis, 1)) / math.Log(histogramBase))
	h.counts[min(i, len(h.counts)-1)]++
	h.total++
}

func (h *histogram) quantile(q float64) float64 {
	remaining := int(q * float64(h.total))
	for i, n := range h.counts {
		if remaining -= n; remaining < 0 {
			return math.Pow(histogramBase, float64(i))
		}
	}
	return 0
}
