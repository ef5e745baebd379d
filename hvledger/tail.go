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
	// tailWait is how long a read waits at the store; a store that has gone
	// silent is noticed after it and the time of a call.
	tailWait = 400 * time.Millisecond
	// tailRetry separates reads while the store does not answer.
	tailRetry = 150 * time.Millisecond
)

// Consumer takes what a Tail reads.
type Consumer interface {
	Load(page hv.KeyedPage)
	Apply(page hv.KeyedPage)
	Next() int64
	ReadFailed()
}

// Tailer follows one keyed topic.
type Tailer struct {
	store  hv.KeyedStore
	topic  string
	target Consumer
	logger log.Logger
	// Spacing returns the least time between two reads that returned records,
	// which bounds the calls to the store under load.
	spacing func() time.Duration

	// newest is true if older records of a key do not matter.
	newest bool

	// mu orders the reads of Run and Sync.
	mu     sync.Mutex
	loaded bool
	failed bool
}

// NewTailer returns a tail of a topic.
func NewTailer(store hv.KeyedStore, topic string, target Consumer, spacing func() time.Duration, logger log.Logger) *Tailer {
	return &Tailer{store: store, topic: topic, target: target, spacing: spacing, logger: logger}
}

// NewLatestTailer returns a tail of a topic of which only the newest record of each
// key matters. It does not read what it can pass over when it is behind: a
// series of large records takes longer over a thin link than the last one.
func NewLatestTailer(store hv.KeyedStore, topic string, target Consumer, spacing func() time.Duration, logger log.Logger) *Tailer {
	t := NewTailer(store, topic, target, spacing, logger)
	t.newest = true
	return t
}

// Run follows the topic until ctx ends.
func (t *Tailer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := t.spacing()
		if err := t.step(ctx); err != nil {
			pause = tailRetry
		}
		hvtick.Sleep(ctx, pause)
	}
}

func (t *Tailer) step(ctx context.Context) error {
	if err := t.load(ctx); err != nil {
		return t.note(ctx, err)
	}
	from := t.target.Next()
	wait := tailWait
	if t.failed {
		// The answer tells whether the store is back, so it must not wait.
		wait = 0
	}
	page, err := t.store.Read(ctx, t.topic, from, wait)
	return t.note(ctx, t.take(page, err))
}

// Sync reads what the topic holds now.
func (t *Tailer) Sync(ctx context.Context) error {
	if err := t.load(ctx); err != nil {
		return err
	}
	page, err := t.store.Read(ctx, t.topic, t.target.Next(), 0)
	if err := t.take(page, err); err != nil {
		return err
	}
	// Records that expired before they were read are loaded.
	return t.load(ctx)
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
	t.target.Load(page)
	t.loaded = true
	return nil
}

func (t *Tailer) take(page hv.KeyedPage, err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case err == nil:
		t.target.Apply(page)
		if t.newest && page.Next < page.End {
			t.loaded = false
		}
	case hv.KindOf(err) == hv.Expired:
		// Records that were not read are gone; the newest of each key are not.
		_ = level.Info(t.logger).Log("msg", "topic is loaded again", "topic", t.topic, "next", t.target.Next())
		t.loaded = false
		return nil
	case hv.KindOf(err) == hv.NotFound:
		// The topic is created by its first record.
		return nil
	}
	return err
}

// note logs the loss and the return of the store.
func (t *Tailer) note(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return err
	}
	if err != nil {
		t.target.ReadFailed()
	}
	if (err != nil) != t.failed {
		t.failed = err != nil
		if t.failed {
			_ = level.Warn(t.logger).Log("msg", "store is lost", "topic", t.topic, "next", t.target.Next(), "err", err)
		} else {
			_ = level.Info(t.logger).Log("msg", "store is back", "topic", t.topic, "next", t.target.Next())
		}
	}
	return err
}
