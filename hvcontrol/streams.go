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

// minAppendInterval is the minimum time between two appends to one stream. With
// 18 streams it keeps a region below 180 appends per second.
const minAppendInterval = 100 * time.Millisecond

// Wait times of long polls at the head of a stream. A new record ends the wait,
// so a long wait adds no delay; each read transfers about 450 bytes.
const (
	// keysLongPoll keeps the known state of the key slots, whose lease is short,
	// confirmed, and is how an outage of the log is detected.
	keysLongPoll = time.Second
	// ownedShardLongPoll leaves most of the lease of 10 s for renewals in an owned
	// shard.
	ownedShardLongPoll = 3 * time.Second
	// defaultLongPoll is for streams whose leases this gate does not renew. It is
	// below the lease, because a gate can claim a shard only while its known state
	// of the stream is confirmed.
	defaultLongPoll = 8 * time.Second
)

// stream is a stream of the log with its follower and writers.
type stream struct {
	// name is the name of the stream without the region.
	name           string
	fullName       string
	follower       *hvlog.Follower
	writer         *hvlog.Writer
	snapshotWriter *hvlog.SnapshotWriter
	quorum         *hvquorum.Tracker
	// onAdvance, if not nil, is called when new records have been read.
	onAdvance func()
}

func (c *Control) newStreams() {
	constant := func(wait time.Duration) func() time.Duration { return func() time.Duration { return wait } }
	c.settingsStream = c.newStream(hvconf.Stream, hvconf.Stream, hvlog.KindKeep, c.settings, c.isFirstByName, constant(defaultLongPoll))
	c.keysStream = c.newStream(hvquorum.KeysStream, c.conf.Region+"."+hvquorum.KeysStream, hvlog.KindKeep, c.keyTable, c.isFirstByName, constant(keysLongPoll))
	for i := range hvtask.Shards {
		state := hvtask.New(hvtask.DefaultLimits, c.Violations)
		c.shards = append(c.shards, state)
		name := hvshard.StreamName(i)
		owns := func() bool { _, ok := c.owners[i].Owns(); return ok }
		wait := func() time.Duration {
			if owns() {
				return ownedShardLongPoll
			}
			return defaultLongPoll
		}
		c.shardStreams = append(c.shardStreams, c.newStream(name, c.conf.Region+"."+name, hvlog.KindSnapshot, hvshard.NewApplier(state, c.quorum, i), owns, wait))
	}
}

// isFirstByName reports whether this gate is the first by name of the live
// gates. The first gate writes the snapshots of streams without an owner.
func (c *Control) isFirstByName() bool {
	live := c.quorum.Live(peerHeartbeatTimeout)
	return len(live) > 0 && live[0].Name == c.conf.Name
}

func (c *Control) newStream(name, fullName, snapshotKind string, applier hvlog.Applier, maySnapshot func() bool, longPollWait func() time.Duration) *stream {
	logger := c.Logger
	f := hvlog.NewFollower(hvlog.FollowerConfig{
		Stream: fullName, Log: c.Log, Clock: c.Clock, Applier: applier, Jitter: rand.Float64, Logger: logger, LongPollWait: longPollWait,
		Fetch: func(ctx context.Context, after hv.Offset) ([]byte, error) { return c.fetch(ctx, name, after) },
	})
	w := hvlog.NewWriter(hvlog.WriterConfig{
		Name: c.conf.Incarnation, Stream: fullName, Log: c.Log, Clock: c.Clock, Follower: f, MinInterval: minAppendInterval,
		Jitter: rand.Float64, Logger: logger,
	})
	retention := func() time.Duration { return c.settings.Current().Settings.Limits.Retention.Std() }
	return &stream{
		name: name, fullName: fullName, follower: f, writer: w, quorum: c.quorum,
		snapshotWriter: hvlog.NewSnapshotWriter(w, hvlog.NewSchedule(retention, rand.Float64), snapshotKind, maySnapshot, logger),
	}
}

func (s *stream) run(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range []func(context.Context){s.follower.Run, s.writer.Run, s.snapshotWriter.Run, s.trackState} {
		wg.Go(func() { f(ctx) })
	}
	wg.Wait()
}

// trackState reports to the quorum tracker up to which time the stream has been
// read.
func (s *stream) trackState(ctx context.Context) {
	var head time.Time
	var next hv.Offset
	for {
		changed := s.follower.Changed()
		st := s.follower.Status()
		if s.name == hvquorum.KeysStream && st.Loaded {
			s.quorum.RecordEpoch(s.name, int64(st.Next))
		}
		switch {
		case st.Loaded && st.Head.After(head):
			head = st.Head
			s.quorum.RecordRead(s.name, head)
		case st.Loaded && head.IsZero():
			s.quorum.LoadedFromPeer(s.name)
		}
		if st.Next > next && s.onAdvance != nil {
			s.onAdvance()
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

func (s *stream) append(ctx context.Context, kind string, body any, failFast bool) (hv.Offset, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return 0, &Error{Op: "append", Kind: hv.Invalid, Err: err}
	}
	r, err := s.writer.Append(ctx, hvlog.Op{Kind: kind, Body: b, FailFast: failFast})
	return r.Offset, err
}

// fetch returns the newest snapshot of a stream that a peer has, or nil if no
// peer has records beyond after.
func (c *Control) fetch(ctx context.Context, name string, after hv.Offset) ([]byte, error) {
	var best hvwire.StreamState
	for _, s := range callAllPeers[hvwire.StreamState](ctx, c, hvwire.MethodFetch, hvwire.Fetch{Stream: name, After: after}) {
		if s.Next > best.Next && len(s.Body) > 0 {
			best = s
		}
	}
	return best.Body, nil
}
