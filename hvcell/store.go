package hvcell

import (
	"time"

	"hibiscusvane.example/hibiscusvane/hvjob"
)

// Batch holds the changes that must be stored before the ends of the runs that
// caused them are acknowledged.
type Batch struct {
	Progress []JobProgress
	// ExpiredJobs lists jobs whose records can be removed.
	ExpiredJobs []string
	// DroppedNodes lists nodes whose executor has exited, or whose connection has been
	// lost for long, and which can no longer run a task.
	DroppedNodes []string
	// ends holds the last end of each host that the batch covers.
	ends map[*host]hostEnd
	// connections holds the last crash and end of each host that the batch covers.
	connections map[*host]connectionNumbers
}

// connectionNumbers are the numbers of the last crash and of the last end of an ended
// executor on one connection of a node.
type connectionNumbers struct {
	attachment     int
	crash, lastEnd int64
}

// hostEnd is the number of an end in the list of one incarnation.
type hostEnd struct {
	incarnation string
	number      int64
}

// JobProgress is the progress of one job.
type JobProgress struct {
	Job      string
	Progress hvjob.Progress
	// crashVersion is the crashVersion of the job.
	crashVersion int
}

// maxBatch is the maximum number of jobs in a batch.
const maxBatch = 200

// Batch returns the changes since the last batch. It reports false if there is
// nothing to store and no end to acknowledge.
func (c *Cell) Batch(now time.Time) (Batch, bool) {
	b := Batch{ends: map[*host]hostEnd{}, connections: map[*host]connectionNumbers{}}
	n := min(len(c.changed), maxBatch)
	for _, j := range c.changed[:n] {
		j.changed = false
		b.Progress = append(b.Progress, JobProgress{j.ID, j.progress.Clone(), j.crashVersion})
	}
	c.changed = c.changed[n:]
	if len(c.changed) == 0 {
		// Ends are acknowledged only once all changes that they caused are stored.
		for _, h := range c.hosts {
			if h.processedEnd > h.storedEnd {
				b.ends[h] = hostEnd{h.incarnation, h.processedEnd}
			}
			if h.processedCrash > h.storedCrash || h.processedLastEnd > h.storedLastEnd {
				b.connections[h] = connectionNumbers{h.attachments, h.processedCrash, h.processedLastEnd}
			}
		}
	}
	b.ExpiredJobs = c.expireJobs(now, n)
	b.DroppedNodes = c.dropStaleHosts(now)
	return b, len(b.Progress)+len(b.ExpiredJobs)+len(b.DroppedNodes)+len(b.ends)+len(b.connections) > 0
}

// expireJobs returns ended jobs that callers can no longer query, twice the retention
// period after their end. The batch already holds used jobs.
func (c *Cell) expireJobs(now time.Time, used int) []string {
	var out []string
	for len(c.ended) > 0 && used+len(out) < maxBatch && now.Sub(c.ended[0].at) > 2*c.options.Retention {
		out = append(out, c.ended[0].id)
		delete(c.givenUp, c.ended[0].id)
		c.ended = c.ended[1:]
	}
	return out
}

// MarkStored allows the ends and crashes that a stored batch covers to be
// acknowledged, and the start of tasks whose crashes it holds.
func (c *Cell) MarkStored(b Batch) {
	for h, s := range b.ends {
		if h.incarnation == s.incarnation {
			h.storedEnd = max(h.storedEnd, s.number)
		}
	}
	for h, s := range b.connections {
		if h.attachments == s.attachment {
			h.storedCrash = max(h.storedCrash, s.crash)
			h.storedLastEnd = max(h.storedLastEnd, s.lastEnd)
		}
	}
	for _, name := range b.DroppedNodes {
		if h := c.hosts[name]; h != nil {
			h.removal.stored = h.removal.ordered
		}
	}
	for _, p := range b.Progress {
		if j := c.jobs[p.Job]; j != nil {
			j.storedCrashVersion = max(j.storedCrashVersion, p.crashVersion)
		}
	}
}
