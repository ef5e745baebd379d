package hvlog

import (
	"context"

	hv "hibiscusvane.example/hibiscusvane"
)

// recordsExpired handles the expiry of unread records before first. The state may
// be available from a peer; otherwise the follower searches for a snapshot from
// first on and applies nothing until it finds one.
func (f *Follower) recordsExpired(ctx context.Context, first hv.Offset) {
	f.mu.Lock()
	f.status.Loaded = false
	f.scanNext, f.firstReadable = first, first
	f.notify()
	f.mu.Unlock()
	f.SyncFromPeer(ctx)
}

// SyncFromPeer replaces the state by that of a peer if that is newer. It is called
// when reads from the log service fail and when a peer is known to be ahead. It
// reports whether the state changed.
func (f *Follower) SyncFromPeer(ctx context.Context) bool {
	if f.cfg.Fetch == nil {
		return false
	}
	after := f.Status().Next
	body, err := f.cfg.Fetch(ctx, after)
	if err != nil || body == nil {
		return false
	}
	snap, err := decodeSnapshot(body)
	if err != nil {
		_ = f.cfg.Logger.Log("stream", f.cfg.Stream, "msg", "failed to decode the snapshot of a peer", "err", err)
		return false
	}
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if !f.canContinueFrom(snap) {
		return false
	}
	return f.restore(snap)
}

// canContinueFrom reports whether a snapshot is ahead of the state and the records
// after it have not expired.
func (f *Follower) canContinueFrom(snap snapshot) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status.Loaded {
		return snap.AsOf > f.status.Next
	}
	return snap.AsOf >= f.firstReadable && snap.AsOf >= f.status.Next
}

// restore replaces the state by that of a snapshot. The caller holds applyMu. The
// position never moves backward: an older snapshot is refused.
func (f *Follower) restore(snap snapshot) bool {
	if snap.AsOf < f.Status().Next {
		return false
	}
	if err := f.cfg.Applier.Restore(snap.State, snap.AsOf); err != nil {
		_ = f.cfg.Logger.Log("stream", f.cfg.Stream, "msg", "failed to restore the state from a snapshot", "asof", snap.AsOf, "err", err)
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dedup = snap.deduplicator()
	f.status.Loaded, f.status.Next = true, snap.AsOf
	f.status.RecordsSinceSnapshot, f.status.SnapshotTime, f.status.SnapshotRead = 0, snap.Time, f.cfg.Clock.Now()
	f.notify()
	return true
}
