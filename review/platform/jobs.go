package main

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
	"time"
)

// step and job are what a client submits, with what the minions know of the tasks.
type step struct {
	Count        int    `json:"count"`
	CPU          int64  `json:"cpu,omitempty"`
	MemMB        int64  `json:"mem_mb,omitempty"`
	GPU          int64  `json:"gpu,omitempty"`
	EstimateMS   int64  `json:"estimate_ms,omitempty"`
	After        []int  `json:"after,omitempty"`
	Checkpoint   bool   `json:"checkpoint,omitempty"`
	Gang         bool   `json:"gang,omitempty"`
	Tight        bool   `json:"tightly_coupled,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"anti_affinity,omitempty"`
	Speculative  bool   `json:"speculative,omitempty"`
	Perpetual    bool   `json:"perpetual,omitempty"`
	Image        string `json:"image,omitempty"`
	TargetMS     int64  `json:"target_ms,omitempty"`
	Fill         bool   `json:"fill,omitempty"`
	MayMiss      int    `json:"may_miss,omitempty"`

	work time.Duration
	// failRuns is how many of the first runs of each task fail.
	failRuns int
}

type job struct {
	Spec           string `json:"spec"`
	Steps          []step `json:"steps"`
	InitialDelayMS int64  `json:"initial_delay_ms,omitempty"`
	IntervalMS     int64  `json:"interval_ms,omitempty"`
	Times          int    `json:"times,omitempty"`

	id string
	// hopeless is true if the job must fail.
	hopeless bool

	// The oracle's lock protects the rest.
	accepted, refused, uncertain bool
	acceptedAt                   time.Time
	cancelSent, cancelAcked      time.Time
	state                        string
	failures                     map[string]map[int]bool
	// noted counts the ends of failed runs that were taken note of, by task.
	noted map[string]int
	done  map[string]bool
}

func (j *job) rounds() int { return max(j.Times, 1) }

// workOf is the work of a task, which varies by its index.
func (j *job) workOf(id taskID) time.Duration {
	s := j.Steps[id.step]
	if s.Gang {
		return s.work
	}
	h := fnv.New32a()
	fmt.Fprint(h, id)
	return s.work/2 + time.Duration(float64(s.work)*float64(h.Sum32()%1000)/1000)
}

func (j *job) failing(id taskID, run int) bool {
	s := j.Steps[id.step]
	if j.hopeless {
		return true
	}
	if s.Perpetual {
		return s.failRuns > 0 && run%3 == 0
	}
	return s.failRuns > 0 && len(j.failures[id.String()]) < s.failRuns && id.index%4 == 0
}

type taskID struct {
	job                string
	round, step, index int
}

func (t taskID) String() string {
	return fmt.Sprintf("%s.%d.%d.%d", t.job, t.round, t.step, t.index)
}

func parseTask(s string) (taskID, error) {
	p := strings.Split(s, ".")
	if len(p) != 4 {
		return taskID{}, fmt.Errorf("task %q", s)
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil {
			return taskID{}, err
		}
		n[i] = v
	}
	return taskID{p[0], n[0], n[1], n[2]}, nil
}

// jobID returns an identifier that begins with a digit of its own.
func jobID(first string, n int) string { return fmt.Sprintf("%s%015x", first, n) }
