package hvcontrol

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvconf"
	"hibiscusvane.example/hibiscusvane/hvlog"
	"hibiscusvane.example/hibiscusvane/hvquorum"
	"hibiscusvane.example/hibiscusvane/hvshard"
	"hibiscusvane.example/hibiscusvane/hvtask"
	"hibiscusvane.example/hibiscusvane/hvwire"
)

// appendGap is the least time between two appends to one stream. With 18
// streams it keeps a region below 180 appends a second.
const appendGap = 100 * time.Millisecond

// How long a read waits at the head of a stream. A new record ends the wait, so
// it costs no delay; each read costs about 450 bytes.
const (
	// keysWait keeps the view of the key slots, whose lease is short, confirmed,
	// and notices an outage of the log.
	keysWait = time.Second
	// ownedWait leaves most of the lease of 10 s to the renewals of a shard.
	ownedWait = 3 * time.Second
	// idleWait is for streams from which this gate renews nothing. It is below
	// the lease, as only a gate with a confirmed view can claim a shard.
	idleWait = 8 * time.Second
)

// stream is one stream of the log with its reader and writer.
type stream struct {
	// name is the name without the region.
	name     string
	full     string
	follower *hvlog.Follower
	writer   *hvlog.Writer
	snaps    *hvlog.SnapshotWriter
	view     *hvquorum.Tracker
	// advanced is called when the stream has new records, or is nil.
	advanced func()
}

func (c *Control) newStreams() {
	always := func(wait time.Duration) func() time.Duration { return func() time.Duration { return wait } }
	c.config = c.newStream(hvconf.Stream, hvconf.Stream, hvlog.KindKeep, c.book, c.first, always(idleWait))
	c.keys = c.newStream(hvquorum.KeysStream, c.conf.Region+"."+hvquorum.KeysStream, hvlog.KindKeep, c.table, c.first, always(keysWait))
	for i := range hvtask.Shards {
		state := hvtask.New(hvtask.DefaultLimits, c.Violations)
		c.states = append(c.states, state)
		name := hvshard.StreamName(i)
		owns := func() bool { _, ok := c.owners[i].Owns(); return ok }
		wait := func() time.Duration {
			if owns() {
				return ownedWait
			}
			return idleWait
		}
		c.tasks = append(c.tasks, c.newStream(name, c.conf.Region+"."+name, hvlog.KindSnapshot, hvshard.NewApplier(state, c.view, i), owns, wait))
	}
}

// first reports whether this gate is the first by name of the live ones, which
// writes the snapshots of streams without an owner.
func (c *Control) first() bool {
	live := c.view.Live(missingAfter)
	return len(live) > 0 && live[0].Name == c.conf.Name
}

func (c *Control) newStream(name, full, snapshot string, applier hvlog.Applier, may func() bool, wait func() time.Duration) *stream {
	logger := c.Logger
	f := hvlog.NewFollower(hvlog.FollowerConfig{
		Stream: full, Log: c.Log, Clock: c.Clock, Applier: applier, Jitter: rand.Float64, Logger: logger, LongPollWait: wait,
		Fetch: func(ctx context.Context, after hv.Offset) ([]byte, error) { return c.fetch(ctx, name, after) },
	})
	w := hvlog.NewWriter(hvlog.WriterConfig{
		Name: c.conf.Incarnation, Stream: full, Log: c.Log, Clock: c.Clock, Follower: f, MinInterval: appendGap,
		Jitter: rand.Float64, Logger: logger,
	})
	retention := func() time.Duration { return c.book.Current().Settings.Limits.Retention.Std() }
	return &stream{
		name: name, full: full, follower: f, writer: w, view: c.view,
		snaps: hvlog.NewSnapshotWriter(w, hvlog.NewSchedule(retention, rand.Float64), snapshot, may, logger),
	}
}

func (s *stream) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){s.follower.Run, s.writer.Run, s.snaps.Run, s.track} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// track tells the tracker how recent the state of the stream is.
func (s *stream) track(ctx context.Context) {
	var head time.Time
	var next hv.Offset
	for {
		changed := s.follower.Changed()
		st := s.follower.Status()
		if s.name == hvquorum.KeysStream && st.Loaded {
			s.view.RecordEpoch(s.name, int64(st.Next))
		}
		switch {
		case st.Loaded && st.Head.After(head):
			head = st.Head
			s.view.RecordRead(s.name, head)
		case st.Loaded && head.IsZero():
			s.view.LoadedFromPeer(s.name)
		}
		if st.Next > next && s.advanced != nil {
			s.advanced()
		}
		next = st.Next
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Append implements hvshard.Appender.
func (s *stream) Append(ctx context.Context, kind string, body any) error {
	_, err := s.append(ctx, kind, body, false)
	return err
}

func (s *stream) append(ctx context.Context, kind string, body any, prompt bool) (hv.Offset, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, &Error{Op: "append", Kind: hv.Invalid, Err: err}
	}
	r, err := s.writer.Append(ctx, hvlog.Op{Kind: kind, Body: b, FailFast: prompt})
	return r.Offset, err
}

// fetch asks the peers for an image of a stream that is newer than after.
func (c *Control) fetch(ctx context.Context, name string, after hv.Offset) ([]byte, error) {
	var best hvwire.StreamState
	for _, s := range askAll[hvwire.StreamState](ctx, c, hvwire.MethodFetch, hvwire.Fetch{Stream: name, After: after}) {
		if s.Next > best.Next && len(s.Body) > 0 {
			best = s
		}
	}
	return best.Body, nil
}
