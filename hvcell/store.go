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
	seen         map[*host]seenEnd
}

type seenEnd struct {
	life string
	got  int64
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
	b := Batch{seen: map[*host]seenEnd{}}
	n := min(len(c.changed), maxBatch)
	for _, j := range c.changed[:n] {
		j.changed = false
		b.Progress = append(b.Progress, JobProgress{j.ID, j.progress.Clone()})
	}
	c.changed = c.changed[n:]
	if len(c.changed) == 0 {
		// Ends are acknowledged only with all that they changed.
		for _, h := range c.hosts {
			if h.got > h.kept {
				b.seen[h] = seenEnd{h.life, h.got}
			}
		}
	}
	b.ExpiredJobs = c.forget(now, n)
	b.DroppedNodes = c.dropHosts(now)
	return b, len(b.Progress)+len(b.ExpiredJobs)+len(b.DroppedNodes)+len(b.seen) > 0
}

// dropAfter is how long after its leases have passed a silent node is dropped,
// so that no later owner waits for it. A node that is back registers again.
const dropAfter = 8 * time.Second

// isGone reports whether a host can be forgotten: its executor has left and
// nothing of it is left, or its node has been silent for long.
func (h *host) isGone(now time.Time) bool {
	if len(h.runs) > 0 {
		return false
	}
	if h.info.Exiting {
		return h.life == "" || now.After(h.lapse)
	}
	return !h.linked && now.Sub(h.lapse) > dropAfter
}

func (c *Cell) dropHosts(now time.Time) []string {
	var out []string
	for name, h := range c.hosts {
		if !h.dropped && h.isGone(now) {
			h.dropped = true
			out = append(out, name)
			_ = level.Info(c.options.Logger).Log("msg", "node is dropped", "host", name, "life", h.life, "silent", now.Sub(h.lapse))
		}
	}
	return out
}

// forget returns ended jobs that no caller may ask for any more.
func (c *Cell) forget(now time.Time, used int) []string {
	var out []string
	for len(c.ended) > 0 && used+len(out) < maxBatch && now.Sub(c.ended[0].at) > 2*c.options.Retention {
		out = append(out, c.ended[0].id)
		c.ended = c.ended[1:]
	}
	return out
}

// MarkStored notes that a batch is stored.
func (c *Cell) MarkStored(b Batch) {
	for h, s := range b.seen {
		if h.life == s.life {
			h.kept = max(h.kept, s.got)
		}
	}
}
