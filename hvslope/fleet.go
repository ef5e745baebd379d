// Package hvslope measures how the costs of the parts of the control plane grow
// with the size of the fleet. It uses the real types and small fakes.
package hvslope

import (
	"fmt"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvlog"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// The design size of docs/design.md. Tasks and starts of smaller fleets are
// scaled by the number of hosts.
const (
	designHosts     = 790
	designTasks     = 6600
	designStarts    = 83   // task starts per second at the peak
	designJobs      = 4900 // jobs per day; ended tasks are kept for a day
	teamCount       = 63
	sidesPerService = 11
	zoneCount       = 4
	hostsPerRack    = 3
)

// FleetSizes are the numbers of hosts for which the table has columns.
var FleetSizes = []int{11, 100, 400, designHosts}

// gateName, region and owner identify the gate that owns all shards;
// writerIncarnation identifies the writer of the records.
const (
	gateName          = "gate-1"
	region            = "region-1"
	owner             = "0190f3c2-0000-7000-8000-000000000001"
	writerIncarnation = "0190f3c2-0000-7000-8000-000000000002"
)

// startTime is the time of the clock at the beginning of every measurement.
var startTime = time.Date(2027, 3, 1, 9, 0, 0, 0, time.UTC)

type manualClock struct{ now time.Time }

func (c *manualClock) Now() time.Time { return c.now }

// fleet is a deterministic set of hosts with running and ended tasks.
type fleet struct {
	hosts   []hv.Host
	running []hv.Task
	ended   []hv.Task
}

func newFleet(hosts int) *fleet {
	f := &fleet{}
	for i := range hosts {
		f.hosts = append(f.hosts, hostOf(i))
	}
	for i := range designTasks * hosts / designHosts {
		f.running = append(f.running, taskOf(i))
	}
	for i := range designJobs * hosts / designHosts {
		f.ended = append(f.ended, taskOf(1_000_000+3*i))
	}
	return f
}

func hostOf(i int) hv.Host {
	rack := i / hostsPerRack
	return hv.Host{
		Name: fmt.Sprintf("host-%03d", i), Zone: fmt.Sprintf("zone-%d", rack%zoneCount), Rack: fmt.Sprintf("rack-%03d", rack),
		Capacity: hv.Resources{Processors: 32000, Memory: 125 * hv.GB, Accelerators: 1},
	}
}

// taskOf returns a task with an identifier generated from i. Every third task is
// a service.
func taskOf(i int) hv.Task {
	t := hv.Task{
		ID: uuidOf(3, i), Kind: hv.Job, Team: fmt.Sprintf("team-%02d", i%teamCount), Program: fmt.Sprintf("program-%02d", i%24),
		Args: []string{"--area", fmt.Sprintf("area-%03d", i%500)}, Labels: map[string]string{"caller": "field-office", "area": "cebu"},
		Need: hv.Resources{Processors: 2000, Memory: 6 * hv.GB}, Runtime: hv.Duration(20 * time.Minute), Deadline: startTime.Add(6 * time.Hour),
	}
	if i%3 == 1 {
		t.Kind, t.Runtime, t.Deadline = hv.Service, 0, time.Time{}
	}
	return t
}

// uuidOf returns an identifier as long as those that gates and sides generate.
func uuidOf(kind, i int) string { return fmt.Sprintf("0190f3c2-%04x-7000-8000-%012x", kind, i) }

func sideOf(host int) string { return uuidOf(4, host) }

func serviceOf(host int) string { return fmt.Sprintf("service-%02d", host/sidesPerService) }

func (f *fleet) services() int { return (len(f.hosts) + sidesPerService - 1) / sidesPerService }

// hostFor returns the host of a running task. It distributes the tasks evenly.
func (f *fleet) hostFor(task int) int { return task % len(f.hosts) }

// attempts lists the attempts on a host, as its heartbeats do.
func (f *fleet) attempts(host int) []hvwire.AttemptState {
	var list []hvwire.AttemptState
	for i := host; i < len(f.running); i += len(f.hosts) {
		list = append(list, stateOf(f.running[i].ID))
	}
	return list
}

func stateOf(task string) hvwire.AttemptState {
	return hvwire.AttemptState{
		Attempt: hv.Attempt{Task: task, Number: 1}, Shard: hvtask.ShardOf(task), Epoch: 1, State: hv.StateRunning, Share: 1000,
	}
}

// heartbeat returns the heartbeat of a side, including the usage of its attempts.
func heartbeat(host int, sequence uint64, attempts []hvwire.AttemptState) hvwire.Heartbeat {
	n := int64(len(attempts))
	b := hvwire.Heartbeat{
		Incarnation: sideOf(host), Sequence: sequence, Running: 5, Waiting: 2, Attempts: attempts, Slowdown: 0.83, SettingsVersion: 1,
		Committed: hv.Resources{Processors: 3000 + 2000*n, Memory: 6*hv.GB + hv.Size(n)*6*hv.GB},
	}
	for _, a := range attempts {
		b.Usage = append(b.Usage, hv.Usage{Attempt: a.Attempt, Used: hv.Resources{Processors: 1730, Memory: 5 * hv.GB}, Age: hv.Duration(12 * time.Second)})
	}
	return b
}

// shardOps returns the operations that bring one shard into its state, as a
// sequence of records to apply in order.
func (f *fleet) shardOps(shard int) []hvtask.Ops {
	claim := []hvtask.Op{{Op: hvtask.OpClaim, Gate: gateName}}
	var submits, places, runs, ends []hvtask.Op
	add := func(t hv.Task, host int, ended bool) {
		if hvtask.ShardOf(t.ID) != shard {
			return
		}
		submits = append(submits, hvtask.Submit(t))
		places = append(places, hvtask.Op{Op: hvtask.OpPlace, TaskID: t.ID, Number: 1, Host: f.hosts[host].Name, SideIncarnation: sideOf(host)})
		runs = append(runs, hvtask.Op{Op: hvtask.OpRun, TaskID: t.ID, Number: 1})
		if ended {
			ends = append(ends, hvtask.Op{Op: hvtask.OpEnd, TaskID: t.ID, Number: 1, State: hvtask.Done})
		}
	}
	for i, t := range f.running {
		add(t, f.hostFor(i), false)
	}
	for i, t := range f.ended {
		t.Kind, t.Deadline = hv.Job, startTime.Add(6*time.Hour)
		add(t, i%len(f.hosts), true)
	}
	var all []hvtask.Ops
	for _, ops := range [][]hvtask.Op{claim, submits, places, runs, ends} {
		all = append(all, hvtask.Ops{Epoch: 1, OwnerIncarnation: owner, Ops: ops})
	}
	return all
}

// keyMoves assigns the key slots of each service to its sides, round robin.
func (f *fleet) keyMoves() []hvkey.Moves {
	var all []hvkey.Moves
	for s := range f.services() {
		m := hvkey.Moves{Service: serviceOf(s * sidesPerService)}
		sides := min(sidesPerService, len(f.hosts)-s*sidesPerService)
		for slot := range hvkey.SlotCount {
			m.Moves = append(m.Moves, hvkey.Move{Slot: slot, To: sideOf(s*sidesPerService + slot%sides)})
		}
		all = append(all, m)
	}
	return all
}

// recordOf returns a record in the form in which a writer appends it.
func recordOf(kind string, sequence int, body any) hv.Record {
	return hv.Record{ID: hvlog.FormatID(writerIncarnation, int64(sequence)), Kind: kind, Body: encode(body)}
}

// shardStates returns the state of every shard.
func (f *fleet) shardStates() []*hvtask.Shard {
	var all []*hvtask.Shard
	for shard := range hvtask.Shards {
		s := hvtask.New(hvtask.DefaultLimits, violation)
		for i, ops := range f.shardOps(shard) {
			rec := recordOf(hvtask.KindOps, i+1, ops)
			rec.Offset, rec.Time = hv.Offset(i+1), startTime
			s.Apply(rec)
		}
		all = append(all, s)
	}
	return all
}

func violation(invariant int, message string) {
	panic(fmt.Sprintf("invariant %d violated: %s", invariant, message))
}
