package hvlog

import (
	"context"

	hv "hibiscusvane.example/hibiscusvane"
)

// expire handles the loss of the records before first. The state may still
// come from a peer; otherwise the follower looks for a snapshot from first on
// and applies nothing before it finds one.
func (f *Follower) expire(ctx context.Context, first hv.Offset) {
	f.mu.Lock()
	f.status.Loaded = false
	f.scan, f.base = first, first
	f.notify()
	f.mu.Unlock()
	f.SyncFromPeer(ctx)
}

// SyncFromPeer takes the state of a peer if it is newer. It is called when the log
// cannot be read and when a peer is known to be ahead. It reports whether the
// state changed.
func (f *Follower) SyncFromPeer(ctx context.Context) bool {
	if f.cfg.Fetch == nil {
		return false
	}
	after := f.Status().Next
	body, err := f.cfg.Fetch(ctx, after)
	if err != nil || body == nil {
		return false
	}
	im, err := decodeImage(body)
	if err != nil {
		_ = f.cfg.Logger.Log("stream", f.cfg.Stream, "msg", "answer of peer refused", "err", err)
		return false
	}
	f.work.Lock()
	defer f.work.Unlock()
	if !f.continues(im) {
		return false
	}
	return f.restore(im)
}

// continues reports whether an image is ahead of the state and the records
// after it can still be read.
func (f *Follower) continues(im image) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status.Loaded {
		return im.AsOf > f.status.Next
	}
	return im.AsOf >= f.base && im.AsOf >= f.status.Next
}

// restore replaces the state. The caller holds work. A follower never goes
// back: an image from before its own position is refused.
func (f *Follower) restore(im image) bool {
	if im.AsOf < f.Status().Next {
		return false
	}
	if err := f.cfg.Applier.Restore(im.State, im.AsOf); err != nil {
		_ = f.cfg.Logger.Log("stream", f.cfg.Stream, "msg", "snapshot refused", "asof", im.AsOf, "err", err)
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = im.seen()
	f.status.Loaded, f.status.Next = true, im.AsOf
	f.status.RecordsSinceSnapshot, f.status.SnapshotTime, f.status.SnapshotRead = 0, im.Time, f.cfg.Clock.Now()
	f.notify()
	return true
}
