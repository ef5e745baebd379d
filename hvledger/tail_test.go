package hvledger_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvledger"
)

// versions is a topic of many versions of one key that returns one in a read.
type versions struct {
	hv.KeyedStore
	count int64
	reads atomic.Int64
}

func (s *versions) page(at int64) hv.KeyedPage {
	rec := hv.KeyedRecord{Key: "config", Value: fmt.Append(nil, at), Offset: at}
	return hv.KeyedPage{Records: []hv.KeyedRecord{rec}, Next: at + 1, End: s.count}
}

func (s *versions) Read(_ context.Context, _ string, from int64, _ time.Duration) (hv.KeyedPage, error) {
	s.reads.Add(1)
	if from >= s.count {
		return hv.KeyedPage{Next: from, End: s.count}, nil
	}
	return s.page(from), nil
}

func (s *versions) Newest(context.Context, string) (hv.KeyedPage, error) {
	return s.page(s.count - 1), nil
}

// last keeps the last record that it was given.
type last struct {
	next int64
	rec  hv.KeyedRecord
}

func (l *last) Apply(p hv.KeyedPage) {
	for _, r := range p.Records {
		l.rec = r
	}
	l.next = p.Next
}
func (l *last) Load(p hv.KeyedPage) { l.Apply(p) }
func (l *last) Next() int64         { return l.next }
func (l *last) ReadFailed()         {}

// Guards against the pattern of many large versions in quick succession: a gate
// on a thin link that reads them one by one answers by an old one for seconds.
func TestNewestTailPassesOverOldVersions(t *testing.T) {
	store, target := &versions{count: 1}, &last{}
	tail := hvledger.NewLatestTailer(store, "keyed.op", target, func() time.Duration { return 0 }, log.NewNopLogger())
	if err := tail.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	store.count = 25
	before := store.reads.Load()
	if err := tail.Sync(t.Context()); err != nil {
		t.Fatal(err)
	}
	if got := string(target.rec.Value); got != "24" {
		t.Errorf("version %s is known after one read, want the newest, 24", got)
	}
	if n := store.reads.Load() - before; n != 1 {
		t.Errorf("%d reads, want 1", n)
	}
}
