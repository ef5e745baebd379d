package hvcell

import (
	"time"

	"github.com/go-kit/log/level"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// Batch is what has to be stored before its ends are acknowledged.
type Batch struct {
	Progress []JobProgress
	// ExpiredJobs lists jobs whose records can be removed.
	ExpiredJobs []string
	// DroppedNodes lists nodes that are gone and can run nothing any more.
	DroppedNodes []string
	ends         map[*host]hostEnd
}

type hostEnd struct {
	incarnation string
	number      int64
}

// JobProgress is the progress of one job.
type JobProgress struct {
	Job      string
	Progress hvjob.Progress
}

// maxBatch bounds the jobs of one batch.
const maxBatch = 200

// Batch returns what has changed since the last one. It reports false if
// there is nothing to store and no end to acknowledge.
func (c *Cell) Batch(now time.Time) (Batch, bool) {
	b := Batch{ends: map[*host]hostEnd{}}
	n := min(len(c.changed), maxBatch)
	for _, j := range c.changed[:n] {
		j.changed = false
		b.Progress = append(b.Progress, JobProgress{j.ID, j.progress.Clone()})
	}
	c.changed = c.changed[n:]
	if len(c.changed) == 0 {
		// Ends are acknowledged only with all that they changed.
		for _, h := range c.hosts {
			if h.processedEnd > h.storedEnd {
				b.ends[h] = hostEnd{h.incarnation, h.processedEnd}
			}
		}
	}
	b.ExpiredJobs = c.expireJobs(now, n)
	b.DroppedNodes = c.dropGoneHosts(now)
	return b, len(b.Progress)+len(b.ExpiredJobs)+len(b.DroppedNodes)+len(b.ends) > 0
}

// dropDelay is how long after its leases have passed a silent node is dropped,
// so that no later owner waits for it. A node that is back registers again.
const dropDelay = 8 * time.Second

// isGone reports whether a host can be forgotten: its executor has left and
// nothing of it is left, or its node has been silent for long.
func (h *host) isGone(now time.Time) bool {
	if len(h.runs) > 0 {
		return false
	}
	if h.info.Exiting {
		return h.incarnation == "" || now.After(h.leaseExpiry)
	}
	return !h.connected && now.Sub(h.leaseExpiry) > dropDelay
}

func (c *Cell) dropGoneHosts(now time.Time) []string {
	var out []string
	for name, h := range c.hosts {
		if !h.dropped && h.isGone(now) {
			h.dropped = true
			out = append(out, name)
			_ = level.Info(c.options.Logger).Log("msg", "node is dropped", "host", name, "life", h.incarnation, "silent", now.Sub(h.leaseExpiry))
		}
	}
	return out
}

// expireJobs returns ended jobs that no caller may ask for any more.
func (c *Cell) expireJobs(now time.Time, used int) []string {
	var out []string
	for len(c.ended) > 0 && used+len(out) < maxBatch && now.Sub(c.ended[0].at) > 2*c.options.Retention {
		out = append(out, c.ended[0].id)
		c.ended = c.ended[1:]
	}
	return out
}

// MarkStored notes that a batch is stored.
func (c *Cell) MarkStored(b Batch) {
	for h, s := range b.ends {
		if h.incarnation == s.incarnation {
			h.storedEnd = max(h.storedEnd, s.number)
		}
	}
}
