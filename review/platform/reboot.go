package main

import "time"

// crashTime is shorter than the time for which srv_crash takes minions down.
const crashTime = time.Second

// reboot has a lasting task that only one minion can run. That minion fails all that it
// starts for a while, and restarts once a few seconds later. The task must run again.
func reboot(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, greySides, true)
	defer b.close()
	b.ready()
	m := b.minions[0]
	watch := &job{id: "00000000000000aa", Spec: "watch", Steps: []step{{Count: 1, CPU: 500, MemMB: 100, EstimateMS: 400, Requires: "only-m0", Perpetual: true, work: 400 * time.Millisecond}}}
	if !b.submit(watch, 0) {
		fail("the job was not accepted")
	}
	// Ordinary work on all minions shows the system that the others are sound.
	ordinary := func(n int) {
		j := &job{id: jobID("f", n), Spec: "ordinary", Steps: []step{{Count: 24, CPU: 500, MemMB: 100, EstimateMS: 400, work: 400 * time.Millisecond}}}
		go b.submit(j, n)
	}
	n := 0
	load := func(d time.Duration) {
		for end := time.Now().Add(d); time.Now().Before(end); n++ {
			ordinary(n)
			time.Sleep(500 * time.Millisecond)
		}
	}
	load(4 * time.Second)
	if o.trouble {
		b.log("minion %s fails all that it starts", m.name)
		m.failsUntil.Store(time.Now().Add(greyTime).UnixNano())
	}
	load(greyTime)
	load(4 * time.Second)
	if o.trouble {
		m.crash()
	}
	load(crashTime)
	if o.trouble {
		if err := m.start(); err != nil {
			fail("%v", err)
		}
	}
	lastRun, longest := time.Now(), time.Duration(0)
	for end := time.Now().Add(45 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		b.oracle.mu.Lock()
		if b.oracle.runningTasks(watch) > 0 {
			lastRun = time.Now()
		}
		b.oracle.mu.Unlock()
		longest = max(longest, time.Since(lastRun))
	}
	// 7 s are calm from 4 s after the minion is back: it may miss 3 s then.
	if longest > 14*time.Second {
		b.oracle.mu.Lock()
		b.oracle.broke("LOST", "the task of the lasting job %s has had no run for %v, %s is up, ready and idle", watch.id, longest.Round(time.Second), m.name)
		b.oracle.mu.Unlock()
	}
	b.query(watch, 0, true)
	return b.oracle.breaks
}
