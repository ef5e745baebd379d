package hvcell

import "time"

// Tick releases runs whose leases have expired, sets up due rounds, marks saved
// states to be stored, stops stragglers and moves slow and throttled runs.
func (c *Cell) Tick(now time.Time) {
	for _, h := range c.hosts {
		if len(h.runs) > 0 && c.leasesExpired(now, h) {
			c.loseRuns(now, h, "leases have expired")
		}
	}
	c.checkRecovered(now)
	for _, j := range c.jobs {
		if j.roundsStarted < j.Rounds() {
			c.startDueRounds(now, j)
		}
	}
	c.markSavedStates(now)
	c.updateRisk(now)
	if c.options.Policy.Tail {
		c.paces = c.measurePaces(now)
	}
	c.checkStragglers(now)
	c.checkTails(now)
	if !c.options.Policy.Tail {
		c.migrateThrottled(now)
	}
	c.logColocation(now)
	c.updateBestEffortLoad(now)
}

// saveInterval is the interval at which saved states are stored. A new owner that
// finds no run of a task starts it from the stored state.
const saveInterval = time.Second

func (c *Cell) markSavedStates(now time.Time) {
	if now.Sub(c.lastSaveMark) < saveInterval {
		return
	}
	c.lastSaveMark = now
	for _, j := range c.jobs {
		if j.unstoredStates {
			j.unstoredStates = false
			c.markChanged(j)
		}
	}
}
