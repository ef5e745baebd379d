package hvshard

import (
	"fmt"
	"testing"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// BenchmarkDecision measures one placement by an owner, from submission to
// start, with 6,600 running tasks in 16 shards, of which the owner has one.
func BenchmarkDecision(b *testing.B) {
	for _, hosts := range []int{11, 100, 790} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			w := newLoadedFixture(b, hosts)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				id := fmt.Sprintf("new%d", i)
				w.submit(id)
				w.step(flushInterval)
				w.step(flushInterval)
				if len(w.starts) == 0 {
					b.Fatal("not placed")
				}
				b.StopTimer()
				w.starts = w.starts[:0]
				w.record(hvtask.Ops{Epoch: 1, OwnerIncarnation: "g1", Ops: []hvtask.Op{
					{Op: hvtask.OpRun, TaskID: id, Number: 1}, hvtask.Cancel(id), {Op: hvtask.OpLose, TaskID: id, Number: 1},
				}})
				w.heartbeatAll()
				b.StartTimer()
			}
		})
	}
}

// BenchmarkIdleShard measures the cost of one owned shard per second without
// new work: steps, the periodic checks and a heartbeat of every host.
func BenchmarkIdleShard(b *testing.B) {
	for _, hosts := range []int{11, 100, 790} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			w := newLoadedFixture(b, hosts)
			b.ReportAllocs()
			for b.Loop() {
				w.heartbeatAll()
				for range 20 {
					w.step(stepInterval)
				}
			}
		})
	}
}

// newLoadedFixture returns an owner of one shard with a 16th of 6,600 running
// tasks.
func newLoadedFixture(b *testing.B, hosts int) *ownerFixture {
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprintf("h%d", i))
	}
	w := newOwnerFixture(b, names...)
	w.step(maxPlacementJitter)
	w.heartbeatAll()
	for i := range 6600 / hvtask.Shards {
		id := fmt.Sprintf("task%d", i)
		w.submit(id)
		w.record(hvtask.Ops{Epoch: 1, OwnerIncarnation: "g1", Ops: []hvtask.Op{
			{Op: hvtask.OpPlace, TaskID: id, Number: 1, Host: names[i%hosts], SideIncarnation: names[i%hosts] + "1"},
			{Op: hvtask.OpRun, TaskID: id, Number: 1},
		}})
	}
	w.heartbeatAll()
	w.step(time.Second)
	return w
}

func (b *ownerFixture) heartbeatAll() {
	for _, name := range b.hosts {
		var listed []hvwire.AttemptState
		for _, e := range b.applier.OnHost(name) {
			listed = append(listed, hvwire.AttemptState{Attempt: e.Attempt(), Epoch: 1, State: hv.StateRunning})
		}
		b.heartbeat(name, listed...)
	}
}
