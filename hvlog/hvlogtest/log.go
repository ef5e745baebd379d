// Package hvlogtest provides an in-memory log service with injected faults for
// tests.
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

// Faults are the faults to inject, in any combination. The zero value has none.
type Faults struct {
	// Down fails every call; nothing is written.
	Down bool
	// FailReads fails reads only.
	FailReads bool
	// Delay delays every append before the write and every read before the
	// response.
	Delay time.Duration
	// LoseBeforeWrite and LoseAfterWrite are the probabilities that the connection
	// of an append is lost before or after the write.
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

// New returns an empty log. The seed determines its random faults.
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

// Append implements hibiscusvane.Log. A delayed append takes effect even if its
// caller has stopped waiting.
func (l *Log) Append(ctx context.Context, name string, rec hv.Record) (hv.Offset, error) {
	type result struct {
		offset hv.Offset
		err    error
	}
	delay := l.currentFaults().Delay
	if delay <= 0 {
		return l.write(name, rec)
	}
	results := make(chan result, 1)
	time.AfterFunc(delay, func() {
		offset, err := l.write(name, rec)
		results <- result{offset, err}
	})
	select {
	case r := <-results:
		return r.offset, r.err
	case <-ctx.Done():
		return 0, newError("append", hv.Uncertain, "no response before the context ended")
	}
}

func (l *Log) write(name string, rec hv.Record) (hv.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	switch {
	case l.faults.Down:
		return 0, newError("append", hv.Unavailable, "the log is down")
	case l.random.Float64() < l.faults.LoseBeforeWrite:
		return 0, newError("append", hv.Uncertain, "connection lost before the write")
	}
	s := l.stream(name)
	rec.Offset, rec.Time = s.next(), l.clock.Now()
	s.records = append(s.records, rec)
	close(s.changed)
	s.changed = make(chan struct{})
	if l.random.Float64() < l.faults.LoseAfterWrite {
		return 0, newError("append", hv.Uncertain, "connection lost after the write")
	}
	return rec.Offset, nil
}

// Read implements hibiscusvane.Log.
func (l *Log) Read(ctx context.Context, name string, from hv.Offset, limit int, wait time.Duration) (hv.Page, error) {
	page, err := l.waitForRecords(ctx, name, from, limit, wait)
	if sleep(ctx, l.currentFaults().Delay) != nil {
		return hv.Page{}, newError("read", hv.Unavailable, "no response before the context ended")
	}
	return page, err
}

// waitForRecords reads a page, and waits until it has at least one record or wait
// has passed.
func (l *Log) waitForRecords(ctx context.Context, name string, from hv.Offset, limit int, wait time.Duration) (hv.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, changed, err := l.readPage(name, from, limit)
		if err != nil || len(page.Records) > 0 {
			return page, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return hv.Page{}, newError("read", hv.Unavailable, "no response before the context ended")
		}
	}
}

func (l *Log) readPage(name string, from hv.Offset, limit int) (hv.Page, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page := hv.Page{First: s.first, Next: s.next()}
	switch {
	case l.faults.Down || l.faults.FailReads:
		return hv.Page{}, nil, newError("read", hv.Unavailable, "the log is down")
	case from < s.first:
		return page, nil, newError("read", hv.Expired, "records have expired")
	case from < page.Next:
		rest := s.records[from-s.first:]
		page.Records = append(page.Records, rest[:min(limit, len(rest))]...)
	}
	return page, s.changed, nil
}

func (l *Log) currentFaults() Faults {
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

func newError(op string, kind hv.ErrorKind, text string) error {
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
