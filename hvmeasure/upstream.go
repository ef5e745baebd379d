package hvmeasure

import (
	"math"
	"math/rand/v2"
	"slices"
)

const (
	slots       = 8
	connections = 64
	// A request takes 20 ms plus an exponential part of 20 ms on average, so
	// its unloaded p99 is 112 ms.
	fixedMillis  = 20.0
	randomMillis = 20.0
	unloadedP99  = 112.0
	// refusedMillis is counted for a request that finds 64 others.
	refusedMillis = 2000.0
)

// upstream is a queue with 8 slots whose service time is stretched.
type upstream struct {
	service string
	free    [slots]float64 // when each slot is free, in ms
	ends    []float64      // ends of the requests inside, for the connections
	window  []float64      // latencies since the last report
	random  *rand.Rand
}

// second runs the arrivals of one second.
func (u *upstream) second(from float64, rate, stretch float64, all *histogram) {
	for t := from + u.random.ExpFloat64()*1000/rate; t < from+1000; t += u.random.ExpFloat64() * 1000 / rate {
		latency := u.request(t, stretch)
		u.window = append(u.window, latency)
		all.add(latency)
	}
}

func (u *upstream) request(at, stretch float64) float64 {
	u.ends = slices.DeleteFunc(u.ends, func(e float64) bool { return e <= at })
	if len(u.ends) >= connections {
		return refusedMillis
	}
	slot := 0
	for i, f := range u.free {
		if f < u.free[slot] {
			slot = i
		}
	}
	end := max(at, u.free[slot]) + (fixedMillis+randomMillis*u.random.ExpFloat64())*stretch
	u.free[slot] = end
	u.ends = append(u.ends, end)
	return end - at
}

// report returns the p99 of the window and starts a new one.
func (u *upstream) report() float64 {
	if len(u.window) == 0 {
		return 0
	}
	slices.Sort(u.window)
	p := u.window[len(u.window)*99/100]
	u.window = u.window[:0]
	return p
}

// histogram counts latencies in classes of 2%.
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
	left := int(q * float64(h.total))
	for i, n := range h.counts {
		if left -= n; left < 0 {
			return math.Pow(histogramBase, float64(i))
		}
	}
	return 0
}
