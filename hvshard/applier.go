package hvshard

import (
	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// Applier applies the records of a shard's stream to the shard's state and
// reports the resulting ownership epoch to the quorum tracker. Both happen in
// one call, so the tracker never counts a read as successful before it knows
// the epochs in it.
type Applier struct {
	*hvtask.Shard
	quorum *hvquorum.Tracker
	stream string
}

// NewApplier returns the applier of a shard.
func NewApplier(state *hvtask.Shard, view *hvquorum.Tracker, shard int) *Applier {
	return &Applier{Shard: state, quorum: view, stream: StreamName(shard)}
}

// Apply applies the next record of the stream.
func (a *Applier) Apply(rec hv.Record) {
	a.Shard.Apply(rec)
	a.quorum.RecordEpoch(a.stream, a.Owner().Epoch)
}

// Restore replaces the state with that of a snapshot; next is the offset of the
// first record after the snapshot.
func (a *Applier) Restore(body []byte, next hv.Offset) error {
	if err := a.Shard.Restore(body, next); err != nil {
		return err
	}
	a.quorum.RecordEpoch(a.stream, a.Owner().Epoch)
	return nil
}
