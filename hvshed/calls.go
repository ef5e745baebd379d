// Package hvshed decides which requests are refused at once while the store is slow or
// away (load shedding), when their callers should return, and in which order records
// are stored. It has no clock and makes no calls.
package hvshed

import (
	"slices"
	"time"
)

const (
	// maxSamples and maxSampleAge bound the response times that count. They are few, so
	// that the estimate follows the end of a slow period: under load an owner makes 30
	// appends a second, without load one every 0.3 s.
	maxSamples   = 10
	maxSampleAge = 2 * time.Second
	// quantile is the percentage of the samples that the estimate covers. One slow
	// append among several does not make the store slow.
	quantile = 80
	// DefaultResponse is the estimate without samples: a store responds in 4 ms, over
	// a slow link in 20 ms.
	DefaultResponse = 20 * time.Millisecond
	// SlowResponse is the response time from which the store counts as slow.
	SlowResponse = 100 * time.Millisecond
	// MaxResponse limits the estimate: a slow store takes up to 0.4 s for an append,
	// and a call that takes longer got no response.
	MaxResponse = 400 * time.Millisecond
	// silenceLimit is the time without any response after which the store counts as
	// down, in addition to the usual time of a response: a read that waits for
	// records ends after 0.4 s and the response time.
	silenceLimit = 700 * time.Millisecond
)

type sample struct {
	at   time.Time
	took time.Duration
}

// Calls follows the calls to a store or to another gate: their response times, those in
// progress, and the time without any response. The zero value is ready to use; it is
// not safe for concurrent use.
type Calls struct {
	samples []sample
	// next is the index of the sample that is replaced next.
	next int
	// started holds the start times of the calls in progress in their order.
	started []time.Time
	// lastResponse is when the last response came, of any call.
	lastResponse time.Time
	// slowSince is when the estimate exceeded SlowResponse, or zero.
	slowSince time.Time
}

// Begin adds a call in progress.
func (c *Calls) Begin(now time.Time) { c.started = append(c.started, now) }

// End removes a call that began at the given time. Its duration counts as a response
// time unless it is a fast failure, which says nothing about the next response.
func (c *Calls) End(began, now time.Time, responded bool) {
	if i := slices.IndexFunc(c.started, began.Equal); i >= 0 {
		c.started = slices.Delete(c.started, i, i+1)
	}
	if c.slowResponse(began) == 0 {
		c.slowSince = time.Time{}
	}
	took := now.Sub(began)
	if responded || took >= SlowResponse {
		c.addSample(sample{at: now, took: min(took, MaxResponse)})
	}
	if responded {
		c.Responded(now)
	}
	switch slow := c.Response(now) >= SlowResponse; {
	case !slow:
		c.slowSince = time.Time{}
	case c.slowSince.IsZero():
		c.slowSince = began
	}
}

func (c *Calls) addSample(s sample) {
	if len(c.samples) < maxSamples {
		c.samples = append(c.samples, s)
		return
	}
	c.samples[c.next] = s
	c.next = (c.next + 1) % maxSamples
}

// Responded records a response, also of a call whose duration depends on more than the
// store, such as a read that waits for records.
func (c *Calls) Responded(now time.Time) { c.lastResponse = now }

// Skip leaves a time out of the time without a response: nothing could be heard in it.
func (c *Calls) Skip(now time.Time, d time.Duration) {
	if c.lastResponse.IsZero() {
		return
	}
	if c.lastResponse = c.lastResponse.Add(d); c.lastResponse.After(now) {
		c.lastResponse = now
	}
}

// Response returns the moving quantile of the response times.
func (c *Calls) Response(now time.Time) time.Duration {
	var took []time.Duration
	for _, s := range c.samples {
		if now.Sub(s.at) <= maxSampleAge {
			took = append(took, s.took)
		}
	}
	if len(took) == 0 {
		return DefaultResponse
	}
	slices.Sort(took)
	return took[len(took)*quantile/100]
}

// Age returns the age of the oldest call in progress, or 0 if there is none.
func (c *Calls) Age(now time.Time) time.Duration {
	if len(c.started) == 0 {
		return 0
	}
	return now.Sub(slices.MinFunc(c.started, time.Time.Compare))
}

// InProgress returns the number of calls in progress.
func (c *Calls) InProgress() int { return len(c.started) }

// Silence returns the time without any response, or 0 before the first one.
func (c *Calls) Silence(now time.Time) time.Duration {
	if c.lastResponse.IsZero() {
		return 0
	}
	return now.Sub(c.lastResponse)
}

// Down reports whether the store responds to nobody. A slow store gets the time that it
// usually takes in addition, so that it does not count as down between two reads that
// wait for records.
func (c *Calls) Down(now time.Time) bool {
	return c.Silence(now) > silenceLimit+c.slowResponse(now)
}

// slowResponse returns the response time of a slow store, and 0 for others.
func (c *Calls) slowResponse(now time.Time) time.Duration {
	if r := c.Response(now); r >= SlowResponse {
		return r
	}
	return 0
}

// SlowFor returns how long the store has been slow.
func (c *Calls) SlowFor(now time.Time) time.Duration {
	if c.slowSince.IsZero() || c.slowResponse(now) == 0 {
		return 0
	}
	return now.Sub(c.slowSince)
}
