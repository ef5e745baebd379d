package hvcell

// colocationObstacle returns the name of the obstacle if a best-effort task would push the
// services of a host over their latency target, or an empty string.
func (c *Cell) colocationObstacle(_ *task, _ *host, _ float64) string { return "" }

// servingScore returns the part of a host's score that places services so that
// best-effort work disturbs few of them.
func (c *Cell) servingScore(_ *task, _ *host) float64 { return 0 }
