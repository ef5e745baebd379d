package hvslope

import (
	"fmt"
	"runtime"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvkey"
	"hibiscusvane.example/hibiscusvane/hvmember"
	"hibiscusvane.example/hibiscusvane/hvplace"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

func (f *fleet) membership() *hvmember.Table {
	m := hvmember.New(&manualClock{startTime})
	for i, h := range f.hosts {
		a := hvwire.Announce{Host: h, Incarnation: sideOf(i), Service: serviceOf(i), Slots: 8, Connections: 64}
		if err := m.Announce(a, nil); err != nil {
			panic(err)
		}
		if err := m.Heartbeat(heartbeat(i, 1, f.attempts(i)), nil); err != nil {
			panic(err)
		}
	}
	return m
}

func (f *fleet) keyTable() *hvkey.Table {
	t := hvkey.NewTable(violation)
	for i, m := range f.keyMoves() {
		rec := recordOf(hvkey.KindMove, i+1, m)
		rec.Offset, rec.Time = hv.Offset(i+1), startTime
		t.Apply(rec)
	}
	return t
}

// MemorySizes returns the heap bytes of the shard states, of the membership with
// the latest heartbeats, of the key table and of the placer.
func (f *fleet) MemorySizes() (shards, members, keys, placer float64) {
	// If the fleet were collected during a measurement, its heap would be
	// subtracted from the result.
	defer runtime.KeepAlive(f)
	return retainedHeap(f.shardStates), retainedHeap(f.membership), retainedHeap(f.keyTable),
		retainedHeap(func() *hvplace.Placer { return f.placer(&manualClock{startTime}) })
}

// SnapshotSizes returns the mean size in bytes of a shard's snapshot, without and
// with the tasks that ended within a day.
func (f *fleet) SnapshotSizes() (running, withEnded float64) {
	runningOnly := &fleet{hosts: f.hosts, running: f.running}
	return snapshotBytes(runningOnly.shardStates()) / hvtask.Shards, snapshotBytes(f.shardStates()) / hvtask.Shards
}

func snapshotBytes(states []*hvtask.Shard) float64 {
	total := 0
	for _, s := range states {
		b, err := s.Snapshot()
		if err != nil {
			panic(fmt.Sprint("shard snapshot: ", err))
		}
		total += len(b)
	}
	return float64(total)
}

// KeySnapshotSize returns the size of a snapshot of the key table in bytes.
func (f *fleet) KeySnapshotSize() float64 {
	b, err := f.keyTable().Snapshot()
	if err != nil {
		panic(fmt.Sprint("key table snapshot: ", err))
	}
	return float64(len(b))
}
