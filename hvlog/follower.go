package hvlog

import (
	"context"
	"sync"
	"time"

	kitlog "github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
)

const (
	// readLimit is the number of records asked for in one read.
	readLimit = 512
	// defaultWait is how long a read waits at the head unless the configuration
	// says otherwise. It bounds the age of a confirmation of the head on an idle
	// stream.
	defaultWait = time.Second
	// readExtra is what a read may take beyond its wait. With the longest wait
	// it stays below the lease of 10 s, so that a log that is merely slow still
	// confirms leases.
	readExtra = 4 * time.Second
	// reachExtra is the time without a successful read, beyond the wait, after
	// which the log counts as not reachable.
	reachExtra = 2 * time.Second
)

// Applier is the state that a stream describes. The follower calls it from one
// goroutine at a time. Its result must depend on the records only.
type Applier interface {
	// Apply takes the next record that is neither a duplicate nor a snapshot.
	Apply(rec hv.Record)
	// Snapshot returns the state as JSON.
	Snapshot() ([]byte, error)
	// Restore replaces the state by that of a snapshot; the record at next
	// follows.
	Restore(body []byte, next hv.Offset) error
}

// FetchFunc asks a peer for an image of the stream that is newer than after. It
// returns nil when no peer has one.
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
	// LongPollWait returns how long the next read waits at the head; nil means 1 s.
	LongPollWait func() time.Duration
}

// Status is what a follower knows about its stream.
type Status struct {
	// Next is the offset of the next record to apply.
	Next hv.Offset
	// Loaded is false until the state is complete up to Next.
	Loaded bool
	// Head is the start of the last successful read that reached the head, or
	// zero. Every record that was in the stream at that time has been applied.
	Head time.Time
	// Reachable reports whether the log service was read from lately.
	Reachable bool
	// Duplicates counts the records that were dropped.
	Duplicates int
	// RecordsSinceSnapshot counts the records since the last snapshot in the stream.
	RecordsSinceSnapshot int
	// SnapshotTime is the time of the last snapshot in the stream, or of the first
	// record read while there is none.
	SnapshotTime time.Time
	// SnapshotRead is the local time at which Snapshot was read.
	SnapshotRead time.Time
}

// Follower reads one stream and applies its records in order.
type Follower struct {
	cfg FollowerConfig
	// work serializes all calls of the applier.
	work sync.Mutex
	// mu guards the fields below. It is not held while the applier works.
	mu      sync.Mutex
	status  Status
	seen    *seen
	lastOK  time.Time
	failed  bool
	changed chan struct{}
	// wait is that of the last read.
	wait time.Duration
	// scan is the next offset to read and base the first readable one while
	// the follower looks for a snapshot.
	scan, base hv.Offset
	limit      int
}

// NewFollower returns a follower that starts at the first offset.
func NewFollower(cfg FollowerConfig) *Follower {
	return &Follower{
		cfg: cfg, seen: newSeen(), changed: make(chan struct{}), limit: readLimit,
		status: Status{Next: FirstOffset}, scan: FirstOffset, base: FirstOffset,
	}
}

// Run reads the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			if failures > 0 {
				_ = f.cfg.Logger.Log("stream", f.cfg.Stream, "msg", "reads work again", "failures", failures)
			}
			failures = 0
			continue
		}
		if ctx.Err() != nil {
			return
		}
		// An outage is one line at its start and one at its end.
		if failures == 0 {
			_ = f.cfg.Logger.Log("stream", f.cfg.Stream, "msg", "read failed", "err", err)
		}
		f.SyncFromPeer(ctx)
		pause(ctx, backoff(failures, f.cfg.Jitter))
		failures++
	}
}

// Status returns the current state of the follower.
func (f *Follower) Status() Status {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.status
	s.Reachable = !f.failed && !f.lastOK.IsZero() && f.cfg.Clock.Now().Sub(f.lastOK) <= f.wait+reachExtra
	return s
}

// Snapshot returns the state for a peer or a snapshot record, and the offset that
// follows it. It fails with kind Unavailable while the state is incomplete.
func (f *Follower) Snapshot() (hv.Offset, []byte, error) {
	f.work.Lock()
	defer f.work.Unlock()
	if !f.Status().Loaded {
		return 0, nil, errorf("image", hv.Unavailable, "stream %s is not loaded", f.cfg.Stream)
	}
	state, err := f.cfg.Applier.Snapshot()
	if err != nil {
		return 0, nil, &Error{Op: "image", Kind: hv.Internal, Err: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	body, err := encodeImage(f.status.Next, state, f.seen)
	return f.status.Next, body, err
}

// step makes one read.
func (f *Follower) step(ctx context.Context) error {
	cursor := f.cursor()
	start := f.cfg.Clock.Now()
	wait := f.nextWait()
	read, cancel := context.WithTimeout(ctx, wait+readExtra)
	page, err := f.cfg.Log.Read(read, f.cfg.Stream, cursor, f.limit, wait)
	cancel()
	expired := err != nil && hv.KindOf(err) == hv.Expired
	if err != nil && !expired {
		f.fail()
		return err
	}
	if page.Next < cursor && !expired {
		f.fail()
		return errorf("read", hv.Unavailable, "stream %s ends at %d but %d was read before", f.cfg.Stream, page.Next, cursor)
	}
	if expired && page.First <= cursor {
		f.fail()
		return errorf("read", hv.Unavailable, "stream %s: %d is expired but the first record is %d", f.cfg.Stream, cursor, page.First)
	}
	f.limit = min(readLimit, 2*f.limit)
	f.succeed()
	if expired || page.First > cursor {
		f.expire(ctx, page.First)
		return nil
	}
	f.take(ctx, start, page)
	return nil
}

func (f *Follower) nextWait() time.Duration {
	wait := defaultWait
	if f.cfg.LongPollWait != nil {
		wait = f.cfg.LongPollWait()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failed || f.lastOK.IsZero() {
		// A process that starts must not wait for a record to learn that the
		// stream is empty, nor one after an outage to learn that it has ended:
		// publications are refused until then.
		wait = 0
	}
	f.wait = wait
	return wait
}

// cursor returns the offset to read from.
func (f *Follower) cursor() hv.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.status.Loaded {
		return f.status.Next
	}
	return f.scan
}

// take applies the records of a page.
func (f *Follower) take(ctx context.Context, start time.Time, page hv.Page) {
	f.work.Lock()
	f.beginAtFirst()
	for _, rec := range page.Records {
		if !f.takeRecord(rec) {
			break
		}
	}
	head := f.finishPage(start, page)
	f.work.Unlock()
	if head && !f.Status().Loaded {
		f.SyncFromPeer(ctx)
	}
}

// beginAtFirst makes the empty state complete when nothing has expired yet.
func (f *Follower) beginAtFirst() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.status.Loaded && f.base == FirstOffset && f.status.Next == FirstOffset {
		f.status.Loaded = true
	}
}

// takeRecord applies a record or looks for a snapshot in it. It reports false
// when the rest of the page must be read again.
func (f *Follower) takeRecord(rec hv.Record) bool {
	if f.cursor() > rec.Offset {
		return true
	}
	if f.Status().Loaded {
		f.apply(rec)
		return true
	}
	f.mu.Lock()
	f.scan = rec.Offset + 1
	base := f.base
	f.mu.Unlock()
	im, ok := snapshotOf(rec)
	if !ok || im.AsOf < base {
		return true
	}
	return !f.restore(im)
}

// finishPage records how far a page reached and reports whether it ended at
// the head.
func (f *Follower) finishPage(start time.Time, page hv.Page) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	position := &f.scan
	if f.status.Loaded {
		position = &f.status.Next
	}
	if len(page.Records) == 0 {
		*position = max(*position, page.Next)
	}
	head := *position >= page.Next
	if head && f.status.Loaded {
		f.status.Head = start
	}
	f.notify()
	return head
}

// apply hands one record to the applier unless it is a duplicate.
func (f *Follower) apply(rec hv.Record) {
	f.mu.Lock()
	accepted := f.seen.accept(rec)
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
	if _, ok := snapshotOf(rec); ok && accepted {
		f.status.RecordsSinceSnapshot, f.status.SnapshotTime, f.status.SnapshotRead = 0, rec.Time, f.cfg.Clock.Now()
	}
	if f.status.SnapshotTime.IsZero() {
		f.status.SnapshotTime, f.status.SnapshotRead = rec.Time, f.cfg.Clock.Now()
	}
	f.notify()
}

func (f *Follower) fail() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = true
	// A page that is too large to read fails every time, so ask for less.
	f.limit = max(1, f.limit/2)
}

func (f *Follower) succeed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed, f.lastOK = false, f.cfg.Clock.Now()
}

// notify wakes those who wait for progress. The caller holds mu.
func (f *Follower) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next progress.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// find returns where a writer's record was applied, if it was.
func (f *Follower) find(writer string, sequence int64) (hv.Offset, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, ok := f.seen.marks[writer]
	return m.Offset, ok && m.Sequence >= sequence && m.Offset < f.status.Next
}
