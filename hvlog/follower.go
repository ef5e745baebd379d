package hvlog

import (
	"context"
	"sync"
	"time"

	kitlog "github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// maxReadLimit is the largest number of records requested in one read.
	maxReadLimit = 512
	// defaultLongPollWait is how long a read waits at the head of the stream
	// unless configured otherwise. On an idle stream it bounds how old Status.Head
	// can get.
	defaultLongPollWait = time.Second
	// readTimeoutMargin is how much longer than its long-poll wait a read may
	// take. Together with the longest wait it stays below the lease duration of
	// 10 s, so that a slow log service still confirms leases.
	readTimeoutMargin = 4 * time.Second
	// reachableMargin is the time without a successful read, beyond the long-poll
	// wait, after which the log service counts as unreachable.
	reachableMargin = 2 * time.Second
)

// Applier is the state machine that the records of a stream drive. The follower
// never calls it concurrently. Its state must depend on the records only.
type Applier interface {
	// Apply applies the next record that is neither a duplicate nor a snapshot.
	Apply(rec hv.Record)
	// Snapshot returns the state as JSON.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot. The next record to apply
	// has the offset next.
	Restore(body []byte, next hv.Offset) error
}

// FetchFunc requests from peers a snapshot of the stream that is newer than after.
// It returns nil when no peer has one.
type FetchFunc func(ctx context.Context, after hv.Offset) ([]byte, error)

// FollowerConfig holds the dependencies of a Follower.
type FollowerConfig struct {
	Stream  string
	Log     hv.Log
	Clock   hv.Clock
	Applier Applier
	// Fetch is nil where there are no peers.
	Fetch FetchFunc
	// Jitter returns a random number in [0, 1).
	Jitter func() float64
	Logger kitlog.Logger
	// LongPollWait returns how long the next read waits for a record at the head;
	// nil means 1 s.
	LongPollWait func() time.Duration
}

// Status is the progress of a follower.
type Status struct {
	// Next is the offset of the next record to apply.
	Next hv.Offset
	// Loaded reports whether the state includes all records before Next.
	Loaded bool
	// Head is the start time of the last successful read that reached the head of
	// the stream, or zero. Every record that was in the stream at that time has been applied.
	Head time.Time
	// Reachable reports whether the last read succeeded and is recent.
	Reachable bool
	// Duplicates counts the records that were dropped as duplicates.
	Duplicates int
	// RecordsSinceSnapshot counts the records since the last snapshot in the
	// stream.
	RecordsSinceSnapshot int
	// SnapshotTime is the record time of the last snapshot in the stream, or of
	// the first record read while there is none.
	SnapshotTime time.Time
	// SnapshotRead is the local time at which the record of SnapshotTime was read.
	SnapshotRead time.Time
}

// Follower reads one stream and applies its records in order.
type Follower struct {
	cfg FollowerConfig
	// applyMu serializes the calls of the applier.
	applyMu sync.Mutex
	// mu guards the fields below. It is not held during calls of the applier.
	mu             sync.Mutex
	status         Status
	dedup          *deduplicator
	lastRead       time.Time
	lastReadFailed bool
	changed        chan struct{}
	// lastWait is the long-poll wait of the last read.
	lastWait time.Duration
	// scanNext is the next offset to read and firstReadable the first one that has
	// not expired, while the follower searches for a snapshot.
	scanNext, firstReadable hv.Offset
	readLimit               int
}

// NewFollower returns a follower that starts at FirstOffset.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg: cfg, dedup: newDeduplicator(), changed: make(chan struct{}), readLimit: maxReadLimit,
		status: Status{Next: FirstOffset}, scanNext: FirstOffset, firstReadable: FirstOffset,
	}
}

// Run reads the stream until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			if failures > 0 {
				_ = f.cfg.Logger.Log("stream", f.cfg.Stream, "msg", "reads from the log service succeed again", "failures", failures)
			}
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		// Log one line at the start of an outage and one at its end.
		if failures == 0 {
			_ = f.cfg.Logger.Log("stream", f.cfg.Stream, "msg", "read from the log service failed", "err", err)
		}
		f.SyncFromPeer(ctx)
		sleep(ctx, backoff(failures, f.cfg.Jitter))
		failures++
	}
}

// Status returns the progress of the follower.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status
	s.Reachable = !f.lastReadFailed && !f.lastRead.IsZero() && f.cfg.Clock.Now().Sub(f.lastRead) <= f.lastWait+reachableMargin
	return s
}

// Snapshot returns the state, encoded for a peer or a snapshot record, and the
// offset of the first record that it does not include. It fails with kind
// Unavailable until the state is loaded.
func (f *Follower) Snapshot() (hv.Offset, []byte, error) {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if !f.Status().Loaded {
		return 0, nil, errorf("image", hv.Unavailable, "stream %s is not loaded", f.cfg.Stream)
	}
	state, err := f.cfg.Applier.Snapshot()
	if err != nil {
		return 0, nil, &Error{Op: "image", Kind: hv.Internal, Err: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	body, err := encodeSnapshot(f.status.Next, state, f.dedup)
	return f.status.Next, body, err
}

// readOnce reads one page and applies it.
func (f *Follower) readOnce(ctx context.Context) error {
	from := f.nextOffset()
	start := f.cfg.Clock.Now()
	wait := f.nextReadWait()
	readCtx, cancel := context.WithTimeout(ctx, wait+readTimeoutMargin)
	page, err := f.cfg.Log.Read(readCtx, f.cfg.Stream, from, f.readLimit, wait)
	cancel()
	expired := err != nil && hv.KindOf(err) == hv.Expired
	if err != nil && !expired {
		f.recordReadFailure()
		return err
	}
	if page.Next < from && !expired {
		f.recordReadFailure()
		return errorf("read", hv.Unavailable, "stream %s ends at offset %d, but records up to offset %d were read before", f.cfg.Stream, page.Next, from)
	}
	if expired && page.First <= from {
		f.recordReadFailure()
		return errorf("read", hv.Unavailable, "stream %s: offset %d is reported as expired, but the first record is at %d", f.cfg.Stream, from, page.First)
	}
	f.readLimit = min(maxReadLimit, 2*f.readLimit)
	f.recordReadSuccess()
	if expired || page.First > from {
		f.recordsExpired(ctx, page.First)
		return nil
	}
	f.applyPage(ctx, start, page)
	return nil
}

func (f *Follower) nextReadWait() time.Duration {
	wait := defaultLongPollWait
	if f.cfg.LongPollWait != nil {
		wait = f.cfg.LongPollWait()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastReadFailed || f.lastRead.IsZero() {
		// Do not wait for a record on the first read, which may find the stream
		// empty, or on the first read after an outage: publications are refused
		// until the read returns.
		wait = 0
	}
	f.lastWait = wait
	return wait
}

// nextOffset returns the offset to read from.
func (f *Follower) nextOffset() hv.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status.Loaded {
		return f.status.Next
	}
	return f.scanNext
}

// applyPage applies the records of a page. It requests the state from a peer if
// the head is reached and the state is still not loaded.
func (f *Follower) applyPage(ctx context.Context, start time.Time, page hv.Page) {
	f.applyMu.Lock()
	f.loadEmptyState()
	for _, rec := range page.Records {
		if !f.processRecord(rec) {
			break
		}
	}
	atHead := f.finishPage(start, page)
	f.applyMu.Unlock()
	if atHead && !f.Status().Loaded {
		f.SyncFromPeer(ctx)
	}
}

// loadEmptyState marks the empty state as loaded if no record has expired yet.
func (f *Follower) loadEmptyState() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.status.Loaded && f.firstReadable == FirstOffset && f.status.Next == FirstOffset {
		f.status.Loaded = true
	}
}

// processRecord applies a record, or restores the state from it if the state is
// not loaded and the record is a usable snapshot. It reports false after a
// restore, when the page must be read again from the offset of the snapshot.
func (f *Follower) processRecord(rec hv.Record) bool {
	if f.nextOffset() > rec.Offset {
		return true
	}
	if f.Status().Loaded {
		f.apply(rec)
		return true
	}
	f.mu.Lock()
	f.scanNext = rec.Offset + 1
	firstReadable := f.firstReadable
	f.mu.Unlock()
	snap, ok := decodeSnapshotRecord(rec)
	if !ok || snap.AsOf < firstReadable {
		return true
	}
	return !f.restore(snap)
}

// finishPage updates the position after a page and reports whether the page
// reached the head.
func (f *Follower) finishPage(start time.Time, page hv.Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	position := &f.scanNext
	if f.status.Loaded {
		position = &f.status.Next
	}
	if len(page.Records) == 0 {
		*position = max(*position, page.Next)
	}
	atHead := *position >= page.Next
	if atHead && f.status.Loaded {
		f.status.Head = start
	}
	f.notify()
	return atHead
}

// apply passes one record to the applier unless it is a duplicate or a snapshot.
func (f *Follower) apply(rec hv.Record) {
	f.mu.Lock()
	accepted := f.dedup.accept(rec)
	f.mu.Unlock()
	if accepted && !isSnapshot(rec) {
		f.cfg.Applier.Apply(rec)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.status.Next = rec.Offset + 1
	f.status.RecordsSinceSnapshot++
	if !accepted {
		f.status.Duplicates++
	}
	if _, ok := decodeSnapshotRecord(rec); ok && accepted {
		f.status.RecordsSinceSnapshot, f.status.SnapshotTime, f.status.SnapshotRead = 0, rec.Time, f.cfg.Clock.Now()
	}
	if f.status.SnapshotTime.IsZero() {
		f.status.SnapshotTime, f.status.SnapshotRead = rec.Time, f.cfg.Clock.Now()
	}
	f.notify()
}

func (f *Follower) recordReadFailure() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadFailed = true
	// A page that is too large to read would fail every time, so request fewer
	// records.
	f.readLimit = max(1, f.readLimit/2)
}

func (f *Follower) recordReadSuccess() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastReadFailed, f.lastRead = false, f.cfg.Clock.Now()
}

// notify wakes the goroutines that wait on Changed. The caller holds mu.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next change of the status.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// findRecord reports whether a writer's record, or a later one of that writer,
// was applied. The offset is that of the writer's last record.
func (f *Follower) findRecord(writer string, sequence int64) (hv.Offset, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, ok := f.dedup.writers[writer]
	return last.Offset, ok && last.Sequence >= sequence && last.Offset < f.status.Next
}
