package hvcell

import "time"

// prepareReservations reserves capacity for the steps that wait for it.
func (c *Cell) prepareReservations(_ time.Time, _ []candidate, _ []*host) {}

// reservationObstacle returns the name of the obstacle if a host is reserved for other
// work while the task would run, or an empty string.
func (c *Cell) reservationObstacle(_ time.Time, _ *task, _ *host) string { return "" }

// packingScore returns the part of a host's score that keeps whole hosts open for large
// tasks.
func (c *Cell) packingScore(_ *task, _ *host) float64 { return 0 }
