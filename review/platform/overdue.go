package main

import (
	"fmt"
	"time"
)

// overdueOccurrences is the number of occurrences of a schedule of one a second for an hour.
const overdueOccurrences = 3600

// overdue has ordinary jobs beside a scheduled job of four steps that is handed in an hour
// after its first occurrence was due. The ordinary jobs must be done.
func overdue(o options) []string {
	b := newBed(o.programs, o.record, o.seed, 3, 4, true)
	defer b.close()
	b.ready()
	if o.trouble {
		j := &job{id: "00000000000000e1", Spec: "schedule", Times: overdueOccurrences, IntervalMS: 1000, InitialDelayMS: time.Now().Add(-overdueOccurrences * time.Second).UnixMilli()}
		for i := range 4 {
			s := step{Count: 1, CPU: 100, MemMB: 10, EstimateMS: 100, work: 100 * time.Millisecond}
			if i > 0 {
				s.After = []int{i - 1}
			}
			j.Steps = append(j.Steps, s)
		}
		if !b.submit(j, 0) {
			b.log("the scheduled job was not accepted")
		}
	}
	time.Sleep(time.Second)
	var jobs []*job
	for n := range 10 {
		j := &job{id: fmt.Sprintf("00000000000001%02x", n), Spec: "ordinary", Steps: []step{{Count: 2, CPU: 500, MemMB: 100, EstimateMS: 500, work: 500 * time.Millisecond}}}
		if b.submit(j, n) {
			jobs = append(jobs, j)
		}
		time.Sleep(500 * time.Millisecond)
	}
	open := len(jobs)
	for end := time.Now().Add(40 * time.Second); open > 0 && time.Now().Before(end); time.Sleep(time.Second) {
		open = 0
		for i, j := range jobs {
			if j.state != "complete" {
				b.query(j, i%3, true)
			}
			if j.state != "complete" {
				open++
			}
		}
	}
	b.oracle.mu.Lock()
	defer b.oracle.mu.Unlock()
	if open > 0 || len(jobs) < 10 {
		b.oracle.broke("LOST", "of 10 ordinary jobs %d were accepted, and %d are not complete 40 s later", len(jobs), open)
	}
	return b.oracle.breaks
}
