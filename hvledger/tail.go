package hvledger

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvtick"
)

const (
	// readWait is how long the store holds a read that has no records to return. A
	// store that stops responding is detected after readWait and the time of a call.
	readWait = 400 * time.Millisecond
	// readRetryInterval is the time between reads while the store does not respond.
	readRetryInterval = 150 * time.Millisecond
)

// Consumer receives the records that a Tailer reads.
type Consumer interface {
	Load(page hv.KeyedPage)
	Apply(page hv.KeyedPage)
	Next() int64
	// Loading reports whether a load takes effect only once further records are applied.
	Loading() bool
	ReadFailed()
}

// Tailer reads one keyed topic continuously.
type Tailer struct {
	store    hv.KeyedStore
	topic    string
	consumer Consumer
	logger   log.Logger
	// minInterval returns the minimum time between two reads, which limits the
	// calls to the store under load.
	minInterval func() time.Duration

	// latestOnly is true if only the newest record of each key is needed.
	latestOnly bool

	// mu serializes the results of Run and Sync.
	mu     sync.Mutex
	loaded bool
	failed bool
}

// NewTailer returns a tailer of a topic.
func NewTailer(store hv.KeyedStore, topic string, consumer Consumer, minInterval func() time.Duration, logger log.Logger) *Tailer {
	return &Tailer{store: store, topic: topic, consumer: consumer, minInterval: minInterval, logger: logger}
}

// NewLatestTailer returns a tailer of a topic of which only the newest record of
// each key is needed. When it is behind it loads the newest records instead of
// reading the older ones: over a link with little bandwidth a series of large
// records takes longer than the last one.
func NewLatestTailer(store hv.KeyedStore, topic string, consumer Consumer, minInterval func() time.Duration, logger log.Logger) *Tailer {
	t := NewTailer(store, topic, consumer, minInterval, logger)
	t.latestOnly = true
	return t
}

// Run reads the topic until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := t.minInterval()
		if err := t.step(ctx); err != nil {
			pause = readRetryInterval
		}
		hvtick.Sleep(ctx, pause)
	}
}

func (t *Tailer) step(ctx context.Context) error {
	if err := t.load(ctx); err != nil {
		return t.recordResult(ctx, err)
	}
	from := t.consumer.Next()
	wait := readWait
	if t.failed {
		// The read only checks whether the store responds again, so it must not wait for
		// records.
		wait = 0
	}
	page, err := t.store.Read(ctx, t.topic, from, wait)
	return t.recordResult(ctx, t.handlePage(page, err))
}

// maxSyncLoads limits the loads of one Sync: records may expire again before they are read.
const maxSyncLoads = 3

// Sync reads up to the current end of the topic, page by page.
func (t *Tailer) Sync(ctx context.Context) error {
	end, loads := int64(-1), 0
	for {
		if err := t.load(ctx); err != nil {
			return err
		}
		from := t.consumer.Next()
		page, err := t.store.Read(ctx, t.topic, from, 0)
		expired := hv.KindOf(err) == hv.Expired
		if err := t.handlePage(page, err); err != nil {
			return err
		}
		if expired {
			if loads++; loads > maxSyncLoads {
				return failure("sync", hv.Unavailable, "records expire before they are read, from offset %d on", from)
			}
			continue
		}
		if err := t.load(ctx); err != nil {
			return err
		}
		if end < 0 {
			end = page.End
		}
		next := t.consumer.Next()
		if next >= end && !t.consumer.Loading() {
			return nil
		}
		if next <= from {
			return failure("sync", hv.Unavailable, "the store returned no record from offset %d on, the topic ends at %d", from, end)
		}
	}
}

func (t *Tailer) load(ctx context.Context) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.loaded {
		return nil
	}
	page, err := t.store.Newest(ctx, t.topic)
	if err != nil {
		return err
	}
	t.consumer.Load(page)
	t.loaded = true
	return nil
}

func (t *Tailer) handlePage(page hv.KeyedPage, err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.consumer.Apply(page)
		if t.latestOnly && page.Next < page.End {
			t.loaded = false
		}
	case hv.KindOf(err) == hv.Expired:
		// The store has dropped records that were not read yet, but it keeps the
		// newest of each key.
		_ = level.Info(t.logger).Log("msg", "records expired before they were read; loading the newest record of each key", "topic", t.topic, "next", t.consumer.Next())
		t.loaded = false
		return nil
	case hv.KindOf(err) == hv.NotFound:
		// The topic does not exist until its first record is appended.
		return nil
	}
	return err
}

// recordResult notes whether a read succeeded and logs when the store stops and
// starts responding.
func (t *Tailer) recordResult(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	if err != nil {
		t.consumer.ReadFailed()
	}
	if (err != nil) != t.failed {
		t.failed = err != nil
		if t.failed {
			_ = level.Warn(t.logger).Log("msg", "reading a topic from the store failed; retrying", "topic", t.topic, "next", t.consumer.Next(), "err", err)
		} else {
			_ = level.Info(t.logger).Log("msg", "reading a topic from the store works again", "topic", t.topic, "next", t.consumer.Next())
		}
	}
	return err
}
