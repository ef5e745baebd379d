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

func (f *fleet) members() *hvmember.Table {
	m := hvmember.New(&manualClock{start})
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

func (f *fleet) keys() *hvkey.Table {
	t := hvkey.NewTable(violation)
	for i, m := range f.keyMoves() {
		rec := recordOf(hvkey.KindMove, i+1, m)
		rec.Offset, rec.Time = hv.Offset(i+1), start
		t.Apply(rec)
	}
	return t
}

// Memory returns the heap of the states of the shards, of the membership with
// the last heartbeats, of the key table and of the placer.
func (f *fleet) Memory() (shards, members, keys, placer float64) {
	// The fleet must outlive the measurement, or its end would count as well.
	defer runtime.KeepAlive(f)
	return retained(f.states), retained(f.members), retained(f.keys),
		retained(func() *hvplace.Placer { return f.placer(&manualClock{start}) })
}

// Snapshot returns the bytes of the snapshots of all shards, without and with
// the tasks that ended within a day.
func (f *fleet) Snapshot() (running, kept float64) {
	alone := &fleet{hosts: f.hosts, running: f.running}
	return snapshots(alone.states()) / hvtask.Shards, snapshots(f.states()) / hvtask.Shards
}

func snapshots(states []*hvtask.Shard) float64 {
	sum := 0
	for _, s := range states {
		b, err := s.Snapshot()
		if err != nil {
			panic(fmt.Sprint("snapshot: ", err))
		}
		sum += len(b)
	}
	return float64(sum)
}

// KeySnapshot returns the bytes of a snapshot of the key table.
func (f *fleet) KeySnapshot() float64 {
	b, err := f.keys().Snapshot()
	if err != nil {
		panic(fmt.Sprint("snapshot: ", err))
	}
	return float64(len(b))
}
