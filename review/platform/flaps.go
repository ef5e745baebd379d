package main

import (
	"time"
)

// The dose of srv_flap in the site files: one minion in ten, a period of 1.4 s, for 6.5 s.
const (
	flapPeriod = 1400 * time.Millisecond
	flapTime   = 6500 * time.Millisecond
)

// flap takes a minion down and up by turns.
func (b *bed) flap(m *minion) {
	b.log("minion %s begins to go down and up", m.name)
	for end := time.Now().Add(flapTime); time.Now().Before(end); {
		m.crash()
		time.Sleep(flapPeriod / 2)
		if err := m.start(); err != nil {
			fail("%v", err)
		}
		time.Sleep(flapPeriod / 2)
	}
	b.log("minion %s stays up", m.name)
}

// flaps has a lasting task that only one minion can run, and that minion goes down and up
// by turns, twice. No run ends failed. The job must go on afterwards.
func flaps(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, 10, true)
	defer b.close()
	b.ready()
	watch := &job{id: "00000000000000aa", Spec: "watch", Steps: []step{{Count: 1, CPU: 500, MemMB: 100, EstimateMS: 400, Requires: "only-m0", Perpetual: true, work: 400 * time.Millisecond}}}
	if !b.submit(watch, 0) {
		fail("the job was not accepted")
	}
	time.Sleep(5 * time.Second)
	for range 2 {
		if o.trouble {
			b.flap(b.minions[0])
		}
		time.Sleep(6 * time.Second)
	}
	for i := range 6 {
		b.query(watch, i%3, true)
		time.Sleep(2 * time.Second)
	}
	b.checkLasting(watch)
	return b.oracle.breaks
}

// checkLasting checks that all tasks of a lasting job run.
func (b *bed) checkLasting(j *job) {
	o := b.oracle
	o.mu.Lock()
	defer o.mu.Unlock()
	if n := o.runningTasks(j); n < j.Steps[0].Count {
		o.broke("LOST", "%d of %d tasks of the lasting job %s run although there is room for all", n, j.Steps[0].Count, j.id)
	}
}
