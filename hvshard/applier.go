package hvshard

import (
	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvtask"
)

// Applier applies the records of a shard's stream to its state and tells the
// tracker of their epochs. Doing both in one place guarantees that a read is
// never noted as successful before its epochs are known.
type Applier struct {
	*hvtask.Shard
	view   *hvquorum.Tracker
	stream string
}

// NewApplier returns the applier of a shard.
func NewApplier(state *hvtask.Shard, view *hvquorum.Tracker, shard int) *Applier {
	return &Applier{Shard: state, view: view, stream: StreamName(shard)}
}

// Apply applies the next record of the stream.
func (a *Applier) Apply(rec hv.Record) {
	a.Shard.Apply(rec)
	a.view.RecordEpoch(a.stream, a.Owner().Epoch)
}

// Restore replaces the state by that of a snapshot.
func (a *Applier) Restore(body []byte, next hv.Offset) error {
	if err := a.Shard.Restore(body, next); err != nil {
		return err
	}
	a.view.RecordEpoch(a.stream, a.Owner().Epoch)
	return nil
}
