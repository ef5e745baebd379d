// Package hvlogtest provides an in-memory log service with faults for tests.
package hvlogtest

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	hv "hibiscusvane.example/hibiscusvane"
	"hibiscusvane.example/hibiscusvane/hvlog"
)

// Faults are switched on together or one by one. The zero value has none.
type Faults struct {
	// Down refuses every call, so nothing is written.
	Down bool
	// FailReads refuses reads only.
	FailReads bool
	// Delay delays every append before the write and every read before the answer.
	Delay time.Duration
	// LoseBeforeWrite and After are the probabilities that the answer of an append is
	// lost before or after the write.
	LoseBeforeWrite, LoseAfterWrite float64
}

// Log implements hibiscusvane.Log in memory.
type Log struct {
	clock hv.Clock

	mu      sync.Mutex
	random  *rand.Rand
	faults  Faults
	streams map[string]*stream
	appends int
}

var _ hv.Log = (*Log)(nil)

type stream struct {
	first   hv.Offset
	records []hv.Record
	changed chan struct{}
}

func (s *stream) next() hv.Offset { return s.first + hv.Offset(len(s.records)) }

// New returns an empty log whose random faults come from a seed.
func New(clock hv.Clock, seed uint64) *Log {
	return &Log{clock: clock, random: rand.New(rand.NewPCG(seed, seed)), streams: map[string]*stream{}}
}

// SetFaults replaces the faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Expire removes the records before an offset.
func (l *Log) Expire(name string, before hv.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	if n := min(before, s.next()) - s.first; n > 0 {
		s.first, s.records = s.first+n, s.records[n:]
	}
}

// Records returns a copy of the records that have not expired.
func (l *Log) Records(name string) []hv.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]hv.Record(nil), l.stream(name).records...)
}

// Appends returns the number of append calls so far.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append implements hibiscusvane.Log. A slow append takes effect even when its
// caller no longer waits.
func (l *Log) Append(ctx context.Context, name string, rec hv.Record) (hv.Offset, error) {
	type answer struct {
		offset hv.Offset
		err    error
	}
	slow := l.current().Delay
	if slow <= 0 {
		return l.write(name, rec)
	}
	answers := make(chan answer, 1)
	time.AfterFunc(slow, func() {
		offset, err := l.write(name, rec)
		answers <- answer{offset, err}
	})
	select {
	case a := <-answers:
		return a.offset, a.err
	case <-ctx.Done():
		return 0, failure("append", hv.Uncertain, "the answer did not come in time")
	}
}

func (l *Log) write(name string, rec hv.Record) (hv.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	switch {
	case l.faults.Down:
		return 0, failure("append", hv.Unavailable, "down")
	case l.random.Float64() < l.faults.LoseBeforeWrite:
		return 0, failure("append", hv.Uncertain, "connection lost before the write")
	}
	s := l.stream(name)
	rec.Offset, rec.Time = s.next(), l.clock.Now()
	s.records = append(s.records, rec)
	close(s.changed)
	s.changed = make(chan struct{})
	if l.random.Float64() < l.faults.LoseAfterWrite {
		return 0, failure("append", hv.Uncertain, "connection lost after the write")
	}
	return rec.Offset, nil
}

// Read implements hibiscusvane.Log.
func (l *Log) Read(ctx context.Context, name string, from hv.Offset, limit int, wait time.Duration) (hv.Page, error) {
	page, err := l.poll(ctx, name, from, limit, wait)
	if sleep(ctx, l.current().Delay) != nil {
		return hv.Page{}, failure("read", hv.Unavailable, "the answer did not come in time")
	}
	return page, err
}

// poll waits for the first record.
func (l *Log) poll(ctx context.Context, name string, from hv.Offset, limit int, wait time.Duration) (hv.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.page(name, from, limit)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return hv.Page{}, failure("read", hv.Unavailable, "the answer did not come in time")
		}
	}
}

func (l *Log) page(name string, from hv.Offset, limit int) (hv.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := hv.Page{First: s.first, Next: s.next()}
	switch {
	case l.faults.Down || l.faults.FailReads:
		return hv.Page{}, nil, failure("read", hv.Unavailable, "down")
	case from < s.first:
		return page, nil, failure("read", hv.Expired, "records have expired")
	case from < page.Next:
		rest := s.records[from-s.first:]
		page.Records = append(page.Records, rest[:min(limit, len(rest))]...)
	}
	return page, s.changed, nil
}

func (l *Log) current() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *Log) stream(name string) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{first: hvlog.FirstOffset, changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func failure(op string, kind hv.ErrorKind, text string) error {
	return &hvlog.Error{Op: op, Kind: kind, Err: errors.New(text)}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
