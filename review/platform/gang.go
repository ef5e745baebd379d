package main

import "time"

// The dose of srv_grey in the site files: all that 0.085 of the minions start fails, for
// 6.5 s. One minion of twelve is less.
const (
	greySides = 12
	greyTime  = 6500 * time.Millisecond
)

// gang has a gang that only one minion can run. That minion fails all that it starts for a
// while, which is less than max_attempts of the gang's runs take. The gang must start again.
func gang(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, greySides, true)
	defer b.close()
	b.ready()
	m := b.minions[0]
	if o.trouble {
		b.log("minion %s fails all that it starts", m.name)
		m.failsUntil.Store(time.Now().Add(greyTime).UnixNano())
	}
	j := &job{id: "00000000000000d1", Spec: "gang", Steps: []step{{Count: 2, CPU: 500, MemMB: 100, EstimateMS: 4000, Gang: true, Requires: "only-m0", work: 4 * time.Second}}}
	if !b.submit(j, 0) {
		fail("the job was not accepted")
	}
	idle := time.Now()
	for end := time.Now().Add(50 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		b.query(j, 0, true)
		b.oracle.mu.Lock()
		running := b.oracle.runningTasks(j)
		b.oracle.mu.Unlock()
		if running > 0 || j.state == "complete" {
			idle = time.Now()
		}
		if j.state == "complete" || j.state == "failed" {
			return b.oracle.breaks
		}
	}
	b.oracle.mu.Lock()
	defer b.oracle.mu.Unlock()
	b.oracle.broke("LOST", "accepted job %s has nothing running for %v, %s is up, ready and idle; state %q, failed runs %v", j.id, time.Since(idle).Round(time.Second), m.name, j.state, j.failures)
	return b.oracle.breaks
}
