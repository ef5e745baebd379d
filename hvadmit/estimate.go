package hvadmit

import "time"

const (
	// minRetry and maxRetry bound the time after which a refused caller may
	// try again.
	minRetry = 50 * time.Millisecond
	maxRetry = 30 * time.Second
)

// wait estimates how long a request behind extra more of its flow would wait
// for a slot: its queue over the flow's share of the service rate.
func (c *class) wait(f *flow, extra int) time.Duration {
	share := c.share()
	weights := c.weights
	if f.queue.Len() == 0 {
		weights += f.conf.Weight
	}
	share *= float64(f.conf.Weight) / float64(weights)
	share = max(share, float64(c.service.slots(f.conf.Floor)))
	if share <= 0 {
		return maxRetry
	}
	seconds := float64(f.queue.Len()+extra) * c.took / share
	return time.Duration(min(seconds, maxRetry.Seconds()) * float64(time.Second))
}

// share is the number of slots that the class can count on: the weighted part
// of what classes without a queue leave, and at least the floor.
func (c *class) share() float64 {
	left := c.service.limit
	weights := 0
	for _, o := range c.service.classes {
		if o == c || o.queued > 0 {
			weights += o.conf.Weight
		} else {
			left -= o.running
		}
	}
	return max(float64(left)*float64(c.conf.Weight)/float64(weights), float64(c.service.slots(c.conf.Floor)))
}

// retry bounds a wait for use as a retry time.
func retry(wait time.Duration) time.Duration { return min(max(wait, minRetry), maxRetry) }
