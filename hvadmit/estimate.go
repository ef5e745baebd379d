package hvadmit

import "time"

const (
	// minRetry and maxRetry bound the retry time that a refused caller gets.
	minRetry = 50 * time.Millisecond
	maxRetry = 30 * time.Second
)

// expectedWait estimates how long a request waits for a slot behind the queue
// of its flow and extra more requests: the length of that queue divided by the
// flow's share of the service rate.
func (c *class) expectedWait(f *flow, extra int) time.Duration {
	share := c.share()
	weights := c.waitingWeight
	if f.queue.Len() == 0 {
		weights += f.settings.Weight
	}
	share *= float64(f.settings.Weight) / float64(weights)
	share = max(share, float64(c.service.floorSlots(f.settings.Floor)))
	if share <= 0 {
		return maxRetry
	}
	waitSeconds := float64(f.queue.Len()+extra) * c.meanSeconds / share
	return time.Duration(min(waitSeconds, maxRetry.Seconds()) * float64(time.Second))
}

// share returns the number of slots that the class can count on: its weighted
// part of the slots that classes without a queue leave free, and at least its
// floor.
func (c *class) share() float64 {
	available := c.service.limit
	activeWeight := 0
	for _, o := range c.service.classes {
		if o == c || o.queued > 0 {
			activeWeight += o.settings.Weight
		} else {
			available -= o.running
		}
	}
	return max(float64(available)*float64(c.settings.Weight)/float64(activeWeight), float64(c.service.floorSlots(c.settings.Floor)))
}

// clampRetry limits a wait to the range of retry times.
func clampRetry(wait time.Duration) time.Duration { return min(max(wait, minRetry), maxRetry) }
